"""Forwards requests to the backend server and answers to callers."""
