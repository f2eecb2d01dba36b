"""Metrics of a process: counters, gauges and histograms, sent by statsd."""
