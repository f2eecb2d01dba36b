"""Unit tests of the metrics of a process."""
