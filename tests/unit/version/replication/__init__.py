"""Unit tests of the replication."""
