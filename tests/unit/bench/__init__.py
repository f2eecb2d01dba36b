"""Unit tests of the measurements' frame."""
