"""The agent: terminates the flows of one co-located backend server."""
