"""Unit tests of a process's settings."""
