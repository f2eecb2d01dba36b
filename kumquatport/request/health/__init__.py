"""Health reports of the backend server, which are hints only."""
