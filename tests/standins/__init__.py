"""Stand-ins for the external systems that the tests need."""
