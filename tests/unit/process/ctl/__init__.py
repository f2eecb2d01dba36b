"""Unit tests of kumquatportctl."""
