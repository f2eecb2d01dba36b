"""Deployments of real balancer and agent processes on the loopback."""
