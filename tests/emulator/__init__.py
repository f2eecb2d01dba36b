"""Several instances on a simulated network and clock, run by a seed."""
