"""Packets of callers on their way between instances."""
