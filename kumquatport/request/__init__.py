"""Request handling of the agent, independent of the transport."""
