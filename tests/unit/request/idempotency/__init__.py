"""Tests of the claims of idempotency keys."""
