"""Layer-4 load balancer that preserves established flows on planned changes."""

__version__ = '0.1.0'
