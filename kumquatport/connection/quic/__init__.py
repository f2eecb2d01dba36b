"""QUIC connections of callers, and what any instance may read of them."""
