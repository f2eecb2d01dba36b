"""What the programs have in common: command line, start and stop."""
