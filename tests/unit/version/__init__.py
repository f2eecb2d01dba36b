"""Unit tests of what lives for one version."""
