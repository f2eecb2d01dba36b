"""Deterministic rankings by rendezvous hashing, equal in every process.

They determine observers, broadcast trees and watchers.
"""

import functools
from collections import abc

import xxhash

_SCORE_RANGE = float(1 << 64)


def score(key: str, name: str) -> int:
    """Return the 64-bit rendezvous score of a name under a key."""
    return xxhash.xxh64_intdigest(name.encode(), _seed(key))


def normalized_score(key: str, name: str) -> float:
    """Return the score scaled to the range from 0 to 1."""
    return score(key, name) / _SCORE_RANGE


def rank(key: str, names: abc.Iterable[str]) -> list[str]:
    """Return the names from the highest score to the lowest."""
    seed = _seed(key)
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(name.encode(), seed),
        reverse=True,
    )


def broadcast_tree(origin: str, names: abc.Iterable[str]) -> list[str]:
    """Return the broadcast tree of an origin as an implicit array.

    ``children`` finds the child nodes of a position.

    Args:
        origin: Name of the root, whether or not it is among the names.
        names: Names of all instances to reach.
    """
    others = rank(origin, (name for name in names if name != origin))
    return [origin, *others]


def children(tree: abc.Sequence[str], position: int, fanout: int) -> list[str]:
    """Return the child nodes of a position in a broadcast tree."""
    first = fanout * position + 1
    return list(tree[first : first + fanout])


@functools.lru_cache(maxsize=65536)
def _seed(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
