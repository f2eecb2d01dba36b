"""Entries of another writer that are well-formed and still unusable."""

DEPTH = 100_000
DEEP_JSON = b'[' * DEPTH + b']' * DEPTH
LARGE_NUMBERS = (b'9' * 30, b'9' * 5000, b'1e300', b'1e400')
PORTS = (-1, 0, 65_536, 70_000, 10**30)
