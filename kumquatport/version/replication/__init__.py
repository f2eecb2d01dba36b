"""Replication of records and documents between the processes."""
