"""Unit tests of kumquatport-console."""
