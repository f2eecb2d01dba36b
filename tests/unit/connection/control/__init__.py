"""Unit tests of control messages."""
