"""Unit tests of a process's logs."""
