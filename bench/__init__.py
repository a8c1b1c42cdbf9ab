"""Measurements; see docs/MEASUREMENTS.md."""
