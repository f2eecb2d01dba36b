"""kumquatportctl: the operators' verbs from a shell."""
