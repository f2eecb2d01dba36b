"""Small functions shared by every subsystem."""
