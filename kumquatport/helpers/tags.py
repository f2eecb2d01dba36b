"""Hash names to short numeric tags for use in packets."""

import functools

import xxhash

_FAILURE_DOMAIN_TAG_MASK = 0xFFFF


@functools.lru_cache(maxsize=65536)
def service_tag(service: str) -> int:
    """Return the 32-bit tag of a service's name."""
    return xxhash.xxh32_intdigest(service.encode())


@functools.lru_cache(maxsize=4096)
def failure_domain_tag(failure_domain: str) -> int:
    """Return the 16-bit tag of a failure domain's name."""
    return (
        xxhash.xxh32_intdigest(failure_domain.encode())
        & _FAILURE_DOMAIN_TAG_MASK
    )
