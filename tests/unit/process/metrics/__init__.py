"""Unit tests of a process's metrics."""
