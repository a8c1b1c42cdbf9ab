"""The adapter to the users' platform: its names and encodings, and nothing decided."""
