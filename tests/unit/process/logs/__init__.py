"""Unit tests of the logging of a process."""
