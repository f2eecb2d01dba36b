"""Flows whose two ends are not ours: packets are carried, never ended."""
