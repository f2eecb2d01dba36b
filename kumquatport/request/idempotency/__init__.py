"""Idempotency key claims, replicated between the agents of a service."""
