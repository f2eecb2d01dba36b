"""Who may go to the backend server now, who waits, and who is refused."""
