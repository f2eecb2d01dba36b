"""Connection IDs that identify the agent holding the connection."""
