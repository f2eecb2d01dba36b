"""Constants of the rendezvous tables."""

import typing

HASH_BITS: typing.Final = 64
HASH_BYTES: typing.Final = 8
HASH_MASK: typing.Final = (1 << HASH_BITS) - 1
HASH_RANGE: typing.Final = float(1 << HASH_BITS)
