"""Unit tests of the settings files."""
