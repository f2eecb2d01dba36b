"""Adaptive limits on requests in progress at the backend server."""
