"""Time until a document or a record has reached all instances.

Balancers and agents run in one process over real sockets, with the platform in
memory. In the second round a tenth of the balancers does not respond.
"""

import asyncio
import logging
import time
import typing
from collections import abc

import structlog

from bench import figure
from kumquatport import exceptions
from kumquatport.version.replication import const
from tests import network
from tests.builders import memberships

BALANCERS = 30
AGENTS = 60
UNRESPONSIVE_BALANCERS = 3
SERVICE = 'storefront'
SETTLE_LIMIT_S = 40.0
PROPAGATION_BOUND_S = 4.0
LAPSE_BOUND_S = 5.0
POLL_S = 0.02


class Fleet(typing.NamedTuple):
    """All instances and the platform that they share."""

    platform: memberships.MemoryPlatform
    balancers: list[typing.Any]
    agents: list[typing.Any]

    @property
    def instances(self) -> list[typing.Any]:
        """Return balancers and agents."""
        return [*self.balancers, *self.agents]


def run() -> abc.Iterator[figure.Figure]:
    """Measure with all balancers responding, then with some unresponsive."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
    )
    yield from asyncio.run(_async_measure())


async def _async_measure() -> list[figure.Figure]:
    networks = (network.Network(), network.Network())
    fleet = await _async_start(*(each.prefix for each in networks))
    try:
        return await _async_figures(fleet)
    finally:
        await asyncio.gather(*(each.stop() for each in fleet.instances))
        for each in networks:
            each.close()


async def _async_start(balancers: str, agents: str) -> Fleet:
    platform = memberships.MemoryPlatform()
    await platform.async_put(const.KEY_DOCUMENT, memberships.document(1), 0)
    seeds = (f'{balancers}.1:7000', f'{balancers}.2:7000')
    fleet = Fleet(
        platform,
        [
            memberships.balancer(number + 1, platform, seeds, balancers)
            for number in range(BALANCERS)
        ],
        [
            memberships.agent(number + 1, platform, seeds, agents)
            for number in range(AGENTS)
        ],
    )
    for each in fleet.instances:
        await each.start()
        each.announcer.update(state='ready')
    await _async_wait_until(lambda: _is_settled(fleet), SETTLE_LIMIT_S)
    return fleet


def _is_settled(fleet: Fleet) -> bool:
    return all(
        each.current.version
        and each.freshness.is_fresh()
        and len(each.registry.agents(SERVICE)) == AGENTS
        for each in fleet.instances
    )


async def _async_figures(fleet: Fleet) -> list[figure.Figure]:
    figures = await _async_document(fleet, 2, fleet.balancers, 'all')
    fleet.agents[0].announcer.update(weight=0.5)
    figures.append(
        figure.at_most(
            'spread.record_at_balancers',
            await _async_wait_until(
                lambda: _is_weight_known(fleet), PROPAGATION_BOUND_S * 2
            ),
            's',
            PROPAGATION_BOUND_S,
        ),
    )
    for each in fleet.balancers[-UNRESPONSIVE_BALANCERS:]:
        _isolate(each, fleet)
    responsive = fleet.balancers[:-UNRESPONSIVE_BALANCERS]
    figures += await _async_document(fleet, 3, responsive, 'with_tenth_mute')
    return [*figures, await _async_crash(fleet, responsive)]


def _is_weight_known(fleet: Fleet) -> bool:
    name = fleet.agents[0].announcer.own.instance
    return all(each.registry.get(name).weight < 1 for each in fleet.balancers)


async def _async_document(
    fleet: Fleet,
    version: int,
    balancers: list[typing.Any],
    label: str,
) -> list[figure.Figure]:
    content = memberships.document(version)
    await fleet.platform.async_put(const.KEY_DOCUMENT, content, version - 1)
    started = time.monotonic()
    await _async_wait_until(
        lambda: _all_hold(balancers, version), PROPAGATION_BOUND_S * 3
    )
    at_balancers = time.monotonic() - started
    await _async_wait_until(
        lambda: _all_hold(fleet.agents, version), PROPAGATION_BOUND_S * 3
    )
    everywhere = time.monotonic() - started
    name = f'spread.document_{label}'
    return [
        figure.at_most(
            f'{name}_balancers', at_balancers, 's', PROPAGATION_BOUND_S
        ),
        figure.at_most(
            f'{name}_everywhere', everywhere, 's', PROPAGATION_BOUND_S
        ),
    ]


def _all_hold(processes: list[typing.Any], version: int) -> bool:
    return all(each.current.version == version for each in processes)


async def _async_crash(
    fleet: Fleet,
    balancers: list[typing.Any],
) -> figure.Figure:
    """Stop an agent without notice; measure until all balancers lapse it."""
    lost = fleet.agents.pop()
    lost.announcer._own.superseded = True
    name = lost.announcer.own.instance
    started = time.monotonic()
    await lost.stop()
    await _async_wait_until(
        lambda: all(
            each.registry.get(name).state == 'lapsed' for each in balancers
        ),
        LAPSE_BOUND_S * 3,
    )
    elapsed_s = time.monotonic() - started
    return figure.at_most(
        'spread.crash_to_lapsed', elapsed_s, 's', LAPSE_BOUND_S
    )


def _isolate(isolated: typing.Any, fleet: Fleet) -> None:
    """Block all requests from and to a balancer."""
    endpoint = isolated.announcer.own.endpoint
    for each in fleet.instances:
        _block_requests(each, endpoint)
    for each in fleet.instances:
        _block_requests(isolated, each.announcer.own.endpoint)


def _block_requests(client_instance: typing.Any, endpoint: str) -> None:
    original_ask = client_instance._client.async_ask

    async def async_ask(
        target: str,
        message: typing.Any,
        timeout: float,
    ) -> typing.Any:
        if target == endpoint:
            await asyncio.sleep(timeout)
            raise exceptions.PeerUnavailableError(target)
        return await original_ask(target, message, timeout)

    client_instance._client.async_ask = async_ask


async def _async_wait_until(
    check: abc.Callable[[], bool],
    limit_s: float,
) -> float:
    """Wait for a condition, at most for the limit; return the seconds."""
    started = time.monotonic()
    while not check() and time.monotonic() - started < limit_s:
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started
