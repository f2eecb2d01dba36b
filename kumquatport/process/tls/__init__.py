"""TLS certificates and keys: loading, checking and replacement."""
