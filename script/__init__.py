"""Development scripts: linters, environment setup and the test runner."""
