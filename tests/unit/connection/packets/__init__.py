"""Packets and decisions about flows."""
