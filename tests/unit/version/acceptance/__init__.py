"""Unit tests of document acceptance."""
