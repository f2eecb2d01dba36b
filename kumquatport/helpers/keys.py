"""Derivation of purpose-specific keys from the shared key."""

import hashlib

SHARED_KEY_BYTES = 32


def derive(shared_key: bytes, purpose: bytes, size: int) -> bytes:
    """Derive a key for a single purpose.

    Args:
        shared_key: Key shared by all instances, 32 bytes.
        purpose: Name of the purpose, at most 8 bytes.
        size: Length of the derived key in bytes, at most 32.

    Returns:
        The derived key.
    """
    digest = hashlib.blake2s(key=shared_key, person=purpose, digest_size=size)
    return digest.digest()
