"""Versioned state: configuration documents, instances and their tables."""
