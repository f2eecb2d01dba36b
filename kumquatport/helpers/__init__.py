"""Helpers shared by all subsystems."""
