"""Orders that every process computes alike: observers, trees, watchers."""

import functools
from collections import abc

import xxhash

_SCORE_RANGE = float(1 << 64)


def score(key: str, name: str) -> int:
    """Return the 64-bit rendezvous score of a name under a key."""
    return xxhash.xxh64_intdigest(name.encode(), _seed(key))


def normalized_score(key: str, name: str) -> float:
    """Return the score as a number from 0 up to 1."""
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
    """Return the order of the tree by which the origin reaches all names.

    Args:
        origin: Name of the root, whether or not it is among the names.
        names: All that are to be reached.
    """
    rest = rank(origin, (name for name in names if name != origin))
    return [origin, *rest]


def children(tree: abc.Sequence[str], position: int, fanout: int) -> list[str]:
    """Return the names just below a place of a tree."""
    first = fanout * position + 1
    return list(tree[first : first + fanout])


@functools.lru_cache(maxsize=65536)
def _seed(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
