"""Bodies of pull responses, determined by name and size alone."""

import functools
import hashlib
from collections import abc

CHUNK_BYTES = 64 * 1024


def chunks(name: str, size: int) -> abc.Iterator[bytes]:
    """Yield the body in chunks."""
    for index, offset in enumerate(range(0, size, CHUNK_BYTES)):
        seed = f'{name}/{index}'.encode()
        length = min(CHUNK_BYTES, size - offset)
        yield hashlib.shake_128(seed).digest(length)


@functools.lru_cache(maxsize=256)
def checksum(name: str, size: int) -> str:
    """Return the SHA-256 of the whole body, in hexadecimal."""
    digest = hashlib.sha256()
    for chunk in chunks(name, size):
        digest.update(chunk)
    return digest.hexdigest()
