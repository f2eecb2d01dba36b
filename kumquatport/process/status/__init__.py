"""Local status of a process over HTTP."""
