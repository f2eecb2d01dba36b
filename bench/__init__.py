"""Measurements of the subsystems, each printed as JSON lines."""
