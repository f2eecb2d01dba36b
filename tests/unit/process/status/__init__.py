"""Unit tests of a process's status."""
