"""Unit tests of TLS certificates and keys."""
