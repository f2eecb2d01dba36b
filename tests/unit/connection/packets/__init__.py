"""Unit tests of stateful packet forwarding."""
