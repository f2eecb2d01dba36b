"""kumquatportctl: command-line tool for operators."""
