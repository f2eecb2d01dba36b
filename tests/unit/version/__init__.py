"""Unit tests of documents, instance records and their tables."""
