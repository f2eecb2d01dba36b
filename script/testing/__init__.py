"""Run all tests and add up what passed and failed."""
