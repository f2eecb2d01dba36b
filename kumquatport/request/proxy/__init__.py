"""Carries one request to the backend server and its answer back."""
