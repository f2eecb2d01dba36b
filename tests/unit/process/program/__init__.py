"""Unit tests of the entry point that the programs share."""
