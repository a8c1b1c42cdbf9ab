"""Clients of the platform's services. Each outcome is a value."""
