"""TLS certificates and keys: loading, validation and replacement."""
