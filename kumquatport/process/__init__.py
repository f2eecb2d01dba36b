"""What lives for a whole process."""
