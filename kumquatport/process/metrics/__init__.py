"""Metrics of a process: counters, gauges and histograms, sent to statsd."""
