"""Unit tests of the rendezvous tables."""
