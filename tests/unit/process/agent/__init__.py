"""Unit tests of the agent's process."""
