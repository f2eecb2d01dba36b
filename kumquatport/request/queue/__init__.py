"""Bounded fair queue of requests that wait for a slot."""
