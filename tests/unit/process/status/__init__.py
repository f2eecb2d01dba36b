"""Unit tests of the status server."""
