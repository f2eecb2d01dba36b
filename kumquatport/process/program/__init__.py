"""Command line, startup and shutdown that the programs share."""
