"""Estimates for the flow models at the required size, not measured.

The estimates assume ten regions of equal size, packets that reach any
balancer of their region, and flows that end at the rate at which they open.
"""

import math
import typing
from collections import abc

from bench import figure, flow_models

REGIONS: typing.Final = 10
SERVICES: typing.Final = 16_000
BACKEND_SERVERS: typing.Final = 100_000
OPEN_FLOWS: typing.Final = 360_000_000
NEW_FLOWS_PER_S: typing.Final = 870_000
RESTARTS_PER_DAY: typing.Final = 22_000
DAY_S: typing.Final = 86_400
# A restarting server leaves the table and joins it again.
CHANGES_PER_RESTART: typing.Final = 2

FLOWS_PER_SERVER: typing.Final = OPEN_FLOWS / BACKEND_SERVERS
# Mean number of moves of a flow's bucket per day.
MOVES_PER_DAY: typing.Final = (
    CHANGES_PER_RESTART * RESTARTS_PER_DAY / BACKEND_SERVERS
)


def estimates() -> abc.Iterator[figure.Figure]:
    """Yield the estimates for all models."""
    yield from _copied()
    yield from _previous()
    yield from _registered()
    yield from _in_connection_id()


def _copied() -> abc.Iterator[figure.Figure]:
    entries = 2 * NEW_FLOWS_PER_S / REGIONS
    state = OPEN_FLOWS / REGIONS * flow_models.ENTRY_BYTES
    yield _plain('copied.state_of_a_balancer', state, 'B')
    yield _plain(
        'copied.control_of_a_balancer',
        entries * flow_models.ENTRY_BYTES,
        'B/s',
    )
    yield _plain(
        'copied.messages_to_a_balancer',
        entries / flow_models.ENTRIES_PER_MESSAGE,
        'messages/s',
    )
    yield _plain(
        'copied.refill_of_a_new_balancer',
        state / flow_models.CONTROL_BYTES_PER_S,
        's',
    )


def _previous() -> abc.Iterator[figure.Figure]:
    owners = 2 * flow_models.BUCKETS * SERVICES / REGIONS
    yield _plain(
        'previous.state_of_a_balancer',
        owners * flow_models.OWNER_BYTES,
        'B',
    )
    yield _plain(
        'previous.all_day_flows_broken_a_day',
        _moved_twice(MOVES_PER_DAY),
        'share',
    )
    lifetime_days = OPEN_FLOWS / NEW_FLOWS_PER_S / DAY_S
    yield _plain(
        'previous.flows_broken_a_day',
        NEW_FLOWS_PER_S * DAY_S * _moved_twice(MOVES_PER_DAY * lifetime_days),
        'flows',
    )


def _registered() -> abc.Iterator[figure.Figure]:
    burst = FLOWS_PER_SERVER * flow_models.REGISTRATION_BYTES
    takes_s = burst / flow_models.CONTROL_BYTES_PER_S
    late = max(1 - flow_models.LOSS_NOTICE_LIMIT_S / takes_s, 0)
    displaced = CHANGES_PER_RESTART * RESTARTS_PER_DAY * FLOWS_PER_SERVER
    yield _plain('registered.burst_of_a_leaving_agent', burst, 'B')
    yield _plain('registered.burst_takes', takes_s, 's')
    yield _plain(
        'registered.messages_of_a_burst',
        math.ceil(FLOWS_PER_SERVER / flow_models.ENTRIES_PER_MESSAGE),
        'messages',
    )
    yield _plain(
        'registered.control_of_all_agents',
        displaced * flow_models.REGISTRATION_BYTES / DAY_S,
        'B/s',
    )
    yield _plain(
        'registered.flows_broken_a_day',
        RESTARTS_PER_DAY * FLOWS_PER_SERVER * late,
        'flows',
    )
    yield _plain(
        'registered.extra_hops',
        MOVES_PER_DAY * OPEN_FLOWS / NEW_FLOWS_PER_S / DAY_S,
        'hops/packet',
    )


def _in_connection_id() -> abc.Iterator[figure.Figure]:
    yield _plain('connection_id.state_of_a_balancer', 0, 'B')
    yield figure.at_most(
        'ways.connection_id.letter.control_of_a_balancer',
        0,
        'B/s',
        flow_models.CONTROL_BYTES_PER_S,
    )


def _plain(name: str, value: float, unit: str) -> figure.Figure:
    model, _, rest = name.partition('.')
    return figure.unbounded(f'ways.{model}.letter.{rest}', value, unit)


def _moved_twice(moves: float) -> float:
    """Return the share of flows that move at least twice.

    Moves are assumed to be independent, with the given mean.
    """
    return -math.expm1(-moves) - moves * math.exp(-moves)
