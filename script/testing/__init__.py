"""Test runner for the unit tests and the behave features."""
