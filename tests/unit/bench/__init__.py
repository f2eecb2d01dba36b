"""Unit tests of the benchmark runner and models."""
