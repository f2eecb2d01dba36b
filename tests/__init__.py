"""Tests: stand-ins, builders, deployments, features."""
