"""Small stand-ins for the platform, the fabric and other outsiders."""
