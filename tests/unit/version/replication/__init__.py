"""Unit tests of the spread."""
