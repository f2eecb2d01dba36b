"""Stateful packet forwarding of flows that are not terminated here."""
