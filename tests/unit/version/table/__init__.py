"""Unit tests of tables."""
