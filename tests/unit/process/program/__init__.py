"""Unit tests of a process's program."""
