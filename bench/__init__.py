"""Benchmarks of the subsystems, with figures printed as JSON lines."""
