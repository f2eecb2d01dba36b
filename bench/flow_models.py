"""Models of four ways to keep flows on their agent across table changes.

Each flow sends at least one packet through every balancer between two table
changes, and no flow ends. A flow counts as broken once one of its packets
reaches an agent that does not hold it and cannot find the holder within
``LOSS_NOTICE_LIMIT_S``, the time within which a caller must be told that its
flow is lost.
"""

import collections
import math
import random
import typing
from collections import abc

from bench import flow_scenarios
from kumquatport.connection.connection_id import codec
from kumquatport.helpers import tags
from kumquatport.version import table

LOSS_NOTICE_LIMIT_S: typing.Final = 2.0
CONTROL_BYTES_PER_S: typing.Final = 25_000
ENTRY_BYTES: typing.Final = 28
REGISTRATION_BYTES: typing.Final = 36
OWNER_BYTES: typing.Final = 2
BUCKETS: typing.Final = 1024
ENTRIES_PER_MESSAGE: typing.Final = 40
_FIRST_PORT: typing.Final = 7100

Flows = abc.Iterable[flow_scenarios.Flow]


class Outcome(typing.NamedTuple):
    """Result of a model for a whole scenario.

    Attributes:
        broken: Number of broken flows.
        state_bytes: Maximum state of one balancer or agent.
        messages: Control messages of all processes.
        control_bytes: Bytes of these messages.
        hops: Mean number of extra instances that a packet passed through.
    """

    broken: int
    state_bytes: int
    messages: int
    control_bytes: int
    hops: float


def replicate_flows(scenario: flow_scenarios.Scenario) -> Outcome:
    """Simulate a flow table replicated to every balancer.

    A restarted balancer receives packets immediately, as the network fabric
    does not wait, while its table is refilled at the bandwidth available for
    control traffic.
    """
    intact = set(flow_scenarios.flows(scenario))
    rng = random.Random(flow_scenarios.SEED)
    refilled_in_time = LOSS_NOTICE_LIMIT_S * CONTROL_BYTES_PER_S / ENTRY_BYTES
    sent = flow_scenarios.FLOWS * (flow_scenarios.BALANCERS - 1)
    for place, built in enumerate(scenario.tables):
        if place in scenario.balancer_replacements:
            missing = 1 - min(refilled_in_time / len(intact), 1)
            sent += len(intact)
            intact -= {
                flow
                for flow in _displaced(sorted(intact), built)
                if rng.random() < missing
            }
    return Outcome(
        flow_scenarios.FLOWS - len(intact),
        flow_scenarios.FLOWS * ENTRY_BYTES,
        math.ceil(sent / ENTRIES_PER_MESSAGE),
        sent * ENTRY_BYTES,
        0,
    )


def remember_previous_owner(scenario: flow_scenarios.Scenario) -> Outcome:
    """Simulate tables that also store the previous owner of each bucket.

    The previous owner is tried if the current one does not hold the flow. A
    replaced balancer gets the whole table from another one.
    """
    owners = [_bucket_owners(built) for built in scenario.tables]
    first = owners[0]
    intact = collections.Counter(
        flow.number % BUCKETS for flow in flow_scenarios.flows(scenario)
    )
    before = list(first)
    hops = 0
    packets = 0
    for place, now in enumerate(owners[1:], start=1):
        lagging = owners[max(place - scenario.max_lag, 0)]
        before = _update_previous_owners(before, owners[place - 1], now)
        tried = zip(first, lagging, now, before, strict=True)
        for bucket, (holder, *places) in enumerate(tried):
            if holder not in places:
                intact.pop(bucket, 0)
            packets += intact[bucket]
            hops += intact[bucket] * _extra_hops(holder, places[1:])
    size = BUCKETS * OWNER_BYTES * 2
    replaced = len(scenario.balancer_replacements)
    return Outcome(
        flow_scenarios.FLOWS - intact.total(),
        size,
        replaced,
        replaced * size,
        hops / packets,
    )


def register_displaced_flows(scenario: flow_scenarios.Scenario) -> Outcome:
    """Simulate holders that register displaced flows with each new owner."""
    intact = set(flow_scenarios.flows(scenario))
    rng = random.Random(flow_scenarios.SEED)
    in_time = int(
        LOSS_NOTICE_LIMIT_S * CONTROL_BYTES_PER_S / REGISTRATION_BYTES
    )
    owners: dict[flow_scenarios.Flow, str] = {}
    hops = 0
    packets = 0
    sent = 0
    max_registrations = 0
    messages = 0
    for built in scenario.tables[1:]:
        displaced = list(_displaced(sorted(intact), built))
        due = collections.defaultdict(list)
        for flow in displaced:
            owner = flow_scenarios.owner(built, flow.number)
            if owners.get(flow) != owner:
                due[flow.holder].append(flow)
            owners[flow] = owner
        for pending in due.values():
            rng.shuffle(pending)
            intact.difference_update(pending[in_time:])
            sent += len(pending)
            messages += math.ceil(len(pending) / ENTRIES_PER_MESSAGE)
        kept = collections.Counter(owners[flow] for flow in displaced)
        max_registrations = max(max_registrations, *kept.values(), 0)
        packets += len(intact)
        hops += len(displaced)
    return Outcome(
        flow_scenarios.FLOWS - len(intact),
        max_registrations * REGISTRATION_BYTES,
        messages,
        sent * REGISTRATION_BYTES,
        hops / packets,
    )


def encode_in_connection_id(scenario: flow_scenarios.Scenario) -> Outcome:
    """Simulate connection IDs that name the agent, without any flow state."""
    key = bytes(32)
    decode = codec.make_decoder(key)
    ports = {
        candidate.instance: _FIRST_PORT + place
        for place, candidate in enumerate(scenario.tables[0].candidates)
    }
    issue = {name: _make_issuer(key, port) for name, port in ports.items()}
    broken = sum(
        decode(issue[flow.holder]()).port != ports[flow.holder]
        for flow in flow_scenarios.flows(scenario)
    )
    return Outcome(broken, 0, 0, 0, 0)


def _make_issuer(key: bytes, port: int) -> abc.Callable[[], bytes]:
    return codec.make_issuer(
        key,
        ('127.0.0.1', port),
        tags.service_tag(flow_scenarios.SERVICE),
        tags.failure_domain_tag('accra-a'),
    )


def _displaced(flows: Flows, built: table.Table) -> Flows:
    return (
        flow
        for flow in flows
        if flow_scenarios.owner(built, flow.number) != flow.holder
    )


def _bucket_owners(built: table.Table) -> list[str]:
    rng = random.Random(flow_scenarios.SEED)
    numbers = [rng.getrandbits(64) for _ in range(BUCKETS)]
    return [flow_scenarios.owner(built, number) for number in numbers]


def _update_previous_owners(
    before: list[str],
    old: list[str],
    new: list[str],
) -> list[str]:
    return [
        was if was != now else remembered
        for remembered, was, now in zip(before, old, new, strict=True)
    ]


def _extra_hops(holder: str, tried: list[str]) -> int:
    return tried.index(holder) if holder in tried else 0
