"""Deterministic simulation of a deployment: network, clock and faults."""
