"""Balancer and agent processes, which forward packets."""
