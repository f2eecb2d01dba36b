"""Status of a process, served over HTTP."""
