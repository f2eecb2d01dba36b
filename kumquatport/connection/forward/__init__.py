"""Forwarding of callers' QUIC packets between instances."""
