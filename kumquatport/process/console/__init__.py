"""kumquatport-console: the operators' forms in a browser."""
