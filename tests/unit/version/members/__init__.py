"""Unit tests of the instance records."""
