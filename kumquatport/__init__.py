"""Layer-4 load balancer whose established flows outlive planned changes."""

__version__ = '0.1.0'
