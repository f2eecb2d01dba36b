"""Unit tests of a process's tls."""
