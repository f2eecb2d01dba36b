"""Processes that carry packets."""
