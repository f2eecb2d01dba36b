"""Unit tests of the balancer and agent processes."""
