"""Connection IDs that name the agent holding the connection."""
