"""Forwarding of clients' QUIC packets between instances."""
