"""Tests of the judge of real processes."""
