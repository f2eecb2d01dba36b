"""Tests of what lives for one connection."""
