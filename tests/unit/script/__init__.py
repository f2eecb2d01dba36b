"""Unit tests of the development scripts."""
