"""What the backend server says of itself: a hint, and no more."""
