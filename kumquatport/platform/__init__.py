"""Adapter to the users' platform: its names, formats and API calls.

Balancing decisions are made outside this package.
"""
