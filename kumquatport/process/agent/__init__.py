"""The agent: owns the flows of the backend server beside it."""
