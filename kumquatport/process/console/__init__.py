"""kumquatport-console: web forms for operators."""
