"""Unit tests of the helpers."""
