"""QUIC connections of callers, and the headers that any instance may read."""
