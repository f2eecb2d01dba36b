"""Unit tests of the agent."""
