"""Unit tests of the project's own tasks."""
