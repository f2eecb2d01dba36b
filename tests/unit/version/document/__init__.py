"""Unit tests of the configuration document."""
