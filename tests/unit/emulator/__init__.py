"""Histories of the emulator."""
