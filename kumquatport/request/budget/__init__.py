"""Budget that limits the retries made by the agent."""
