"""Alternative placement algorithms for comparison with the one in use."""

import heapq
import math
import typing
from collections import abc

import xxhash

BUCKETS: typing.Final = 1024
MAGLEV_BUCKETS: typing.Final = 1021
HASH_RANGE: typing.Final = float(1 << 64)
LOAD_BOUND: typing.Final = 1.02

Weights = dict[str, float]
OwnerLookup = abc.Callable[[int], str]


def score(bucket: int, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a server for a bucket."""
    number = xxhash.xxh64_intdigest(f'{name}/{bucket}'.encode())
    return weight / -math.log((number + 0.5) / HASH_RANGE)


def bucket_rendezvous(weights: Weights) -> OwnerLookup:
    """Assign each bucket to the server with the highest score."""
    owners = [_highest(weights, bucket) for bucket in range(BUCKETS)]
    return lambda flow: owners[flow % BUCKETS]


def maglev(weights: Weights) -> OwnerLookup:
    """Assign buckets in turn, following a permutation per server."""
    names = sorted(weights)
    total = sum(weights.values())
    owners = ['' for _ in range(MAGLEV_BUCKETS)]
    steps = {name: _permutation(name) for name in names}
    turns = [(total / weights[name], name) for name in names]
    heapq.heapify(turns)
    for _ in range(MAGLEV_BUCKETS):
        due, name = heapq.heappop(turns)
        owners[_next_free_bucket(steps[name], owners)] = name
        heapq.heappush(turns, (due + total / weights[name], name))
    return lambda flow: owners[flow % MAGLEV_BUCKETS]


def bounded_rendezvous(weights: Weights) -> OwnerLookup:
    """Assign buckets to servers by score, up to a quota per server."""
    total = sum(weights.values())
    remaining = {
        name: math.ceil(LOAD_BOUND * BUCKETS * weight / total)
        for name, weight in weights.items()
    }
    scores = sorted(
        (
            (score(bucket, name, weight), bucket, name)
            for name, weight in weights.items()
            for bucket in range(BUCKETS)
        ),
        reverse=True,
    )
    owners: dict[int, str] = {}
    for _, bucket, name in scores:
        if bucket not in owners and remaining[name]:
            owners[bucket] = name
            remaining[name] -= 1
    return lambda flow: owners[flow % BUCKETS]


def _highest(weights: Weights, bucket: int) -> str:
    return max(weights, key=lambda name: score(bucket, name, weights[name]))


def _next_free_bucket(steps: abc.Iterator[int], owners: list[str]) -> int:
    return next(place for place in steps if not owners[place])


def _permutation(name: str) -> abc.Iterator[int]:
    offset = xxhash.xxh64_intdigest(name.encode(), 1) % MAGLEV_BUCKETS
    skip = xxhash.xxh64_intdigest(name.encode(), 2) % (MAGLEV_BUCKETS - 1) + 1
    for turn in range(MAGLEV_BUCKETS):
        yield (offset + turn * skip) % MAGLEV_BUCKETS
