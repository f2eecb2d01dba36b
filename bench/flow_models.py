"""Models of four ways of carrying established flows over table changes.

Each flow sends at least one packet through every balancer between two table
changes, and none ends. A flow counts as broken once a packet of it reaches an
agent that does not hold it and cannot find who does within ``GRACE_S``, the
time within which a caller must learn that a flow is lost.
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
    """What a way did over a whole plan.

    Attributes:
        broken: Flows broken.
        state_bytes: Most that one balancer or agent kept for it.
        messages: Control messages of all processes.
        control_bytes: Their bytes.
        hops: Extra instances that a packet went through, on average.
    """

    broken: int
    state_bytes: int
    messages: int
    control_bytes: int
    hops: float


def replicate_flows(plan: flow_scenarios.Scenario) -> Outcome:
    """Every balancer keeps every flow's holder, copied to it by another.

    A balancer that is restarted is handed packets at once, as the fabric does,
    and is filled again at the rate that is left for control.
    """
    intact = set(flow_scenarios.flows(plan))
    source = random.Random(flow_scenarios.SEED)
    at_once = LOSS_NOTICE_LIMIT_S * CONTROL_BYTES_PER_S / ENTRY_BYTES
    sent = flow_scenarios.FLOWS * (flow_scenarios.BALANCERS - 1)
    for place, built in enumerate(plan.tables):
        if place in plan.balancer_replacements:
            missing = 1 - min(at_once / len(intact), 1)
            sent += len(intact)
            intact -= {
                flow
                for flow in _displaced(sorted(intact), built)
                if source.random() < missing
            }
    return Outcome(
        flow_scenarios.FLOWS - len(intact),
        flow_scenarios.FLOWS * ENTRY_BYTES,
        math.ceil(sent / ENTRIES_PER_MESSAGE),
        sent * ENTRY_BYTES,
        0,
    )


def remember_previous_owner(plan: flow_scenarios.Scenario) -> Outcome:
    """Tables remember the previous owner of each bucket; it is asked next.

    A replaced balancer gets the whole table from another one.
    """
    owners = [_bucket_owners(built) for built in plan.tables]
    first = owners[0]
    intact = collections.Counter(
        flow.number % BUCKETS for flow in flow_scenarios.flows(plan)
    )
    before = list(first)
    hops = 0
    packets = 0
    for place, now in enumerate(owners[1:], start=1):
        late = owners[max(place - plan.max_lag, 0)]
        before = _update_previous_owners(before, owners[place - 1], now)
        asked = zip(first, late, now, before, strict=True)
        for bucket, (holder, *places) in enumerate(asked):
            if holder not in places:
                intact.pop(bucket, 0)
            packets += intact[bucket]
            hops += intact[bucket] * _extra_hops(holder, places[1:])
    size = BUCKETS * OWNER_BYTES * 2
    replaced = len(plan.balancer_replacements)
    return Outcome(
        flow_scenarios.FLOWS - intact.total(),
        size,
        replaced,
        replaced * size,
        hops / packets,
    )


def register_displaced_flows(plan: flow_scenarios.Scenario) -> Outcome:
    """The holder of a displaced flow tells the owner, anew at each change."""
    intact = set(flow_scenarios.flows(plan))
    source = random.Random(flow_scenarios.SEED)
    in_time = int(
        LOSS_NOTICE_LIMIT_S * CONTROL_BYTES_PER_S / REGISTRATION_BYTES
    )
    owners: dict[flow_scenarios.Flow, str] = {}
    hops = 0
    packets = 0
    sent = 0
    fullest = 0
    messages = 0
    for built in plan.tables[1:]:
        displaced = list(_displaced(sorted(intact), built))
        due = collections.defaultdict(list)
        for flow in displaced:
            owner = flow_scenarios.owner(built, flow.number)
            if owners.get(flow) != owner:
                due[flow.holder].append(flow)
            owners[flow] = owner
        for waiting in due.values():
            source.shuffle(waiting)
            intact.difference_update(waiting[in_time:])
            sent += len(waiting)
            messages += math.ceil(len(waiting) / ENTRIES_PER_MESSAGE)
        kept = collections.Counter(owners[flow] for flow in displaced)
        fullest = max(fullest, *kept.values(), 0)
        packets += len(intact)
        hops += len(displaced)
    return Outcome(
        flow_scenarios.FLOWS - len(intact),
        fullest * REGISTRATION_BYTES,
        messages,
        sent * REGISTRATION_BYTES,
        hops / packets,
    )


def encode_in_connection_id(plan: flow_scenarios.Scenario) -> Outcome:
    """The connection ID names the agent; balancers and agents keep nothing."""
    key = bytes(32)
    decode = codec.make_decoder(key)
    ports = {
        candidate.instance: _FIRST_PORT + place
        for place, candidate in enumerate(plan.tables[0].candidates)
    }
    issue = {name: _make_issuer(key, port) for name, port in ports.items()}
    broken = sum(
        decode(issue[flow.holder]()).port != ports[flow.holder]
        for flow in flow_scenarios.flows(plan)
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
    source = random.Random(flow_scenarios.SEED)
    numbers = [source.getrandbits(64) for _ in range(BUCKETS)]
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


def _extra_hops(holder: str, asked: list[str]) -> int:
    return asked.index(holder) if holder in asked else 0
