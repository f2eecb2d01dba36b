"""Tests, with their stand-ins, builders, deployments and features."""
