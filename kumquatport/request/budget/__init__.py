"""How many retries the agent may make."""
