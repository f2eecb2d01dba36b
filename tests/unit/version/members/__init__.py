"""Unit tests of members."""
