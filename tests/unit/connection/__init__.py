"""Unit tests of connections and flows."""
