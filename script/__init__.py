"""Tasks of the project's upkeep."""
