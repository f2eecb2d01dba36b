"""Claims of idempotency keys, agreed between the agents of a service."""
