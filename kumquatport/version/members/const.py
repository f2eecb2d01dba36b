"""Constants of the instance records and their registry."""

import typing

KIND_AGENT: typing.Final = 'agent'
KIND_BALANCER: typing.Final = 'balancer'
KINDS: typing.Final = frozenset((KIND_AGENT, KIND_BALANCER))

# Largest values of a record, below the limits of the fields on the wire by more
# than an owner adds to outrank another record.
MAX_INCARNATION: typing.Final = 2**62
MAX_SEQUENCE: typing.Final = 2**31

STATE_STARTING: typing.Final = 'starting'
STATE_READY: typing.Final = 'ready'
# An agent without a running backend server.
STATE_VACANT: typing.Final = 'vacant'
STATE_LEAVING: typing.Final = 'leaving'
STATE_GONE: typing.Final = 'gone'
STATE_LAPSED: typing.Final = 'lapsed'

DEPARTED_STATES: typing.Final = frozenset((STATE_GONE, STATE_LAPSED))
STATES: typing.Final = frozenset(
    (
        STATE_STARTING,
        STATE_READY,
        STATE_VACANT,
        STATE_LEAVING,
        STATE_GONE,
        STATE_LAPSED,
    )
)

TOMBSTONE_S: typing.Final = 300.0
LAPSED_TOMBSTONE_S: typing.Final = 3600.0
DIGEST_BUCKETS: typing.Final = 256
