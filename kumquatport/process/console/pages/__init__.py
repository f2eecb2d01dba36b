"""Pages of the console."""
