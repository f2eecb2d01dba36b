"""Keys for one purpose each, derived from the shared key."""

import hashlib

SHARED_KEY_BYTES = 32


def derive(shared_key: bytes, purpose: bytes, size: int) -> bytes:
    """Derive a key that serves one purpose only.

    Args:
        shared_key: The key that all instances share, 32 bytes.
        purpose: Name of the use, at most 8 bytes.
        size: Length of the derived key in bytes, at most 32.

    Returns:
        The derived key.
    """
    digest = hashlib.blake2s(key=shared_key, person=purpose, digest_size=size)
    return digest.digest()
