"""The ``placement`` verb: where balancers would send a flow now, and why."""

import asyncio
import typing
from collections import abc

import aiohttp
import msgspec

from kumquatport import exceptions
from kumquatport.connection.packets import packet as packets
from kumquatport.helpers import decoding
from kumquatport.process.ctl import const, output
from kumquatport.process.packets import placement_view

QUERY_TIMEOUT_S: typing.Final = 2.0

_STATUS_OK: typing.Final = 200


class BalancerSilentError(exceptions.KumquatportError):
    """A balancer did not answer, or its answer is malformed."""

    code = 'KQ-6015'


class BalancerAnswer(typing.TypedDict):
    """Answer of one balancer.

    ``view`` is None if it did not answer; ``error`` and ``message`` are then
    the code and the reason, and empty otherwise.
    """

    url: str
    view: placement_view.PlacementView | None
    error: str
    message: str


class PlacementAnswer(typing.TypedDict):
    """JSON output of ``placement``."""

    flow: str
    balancers: list[BalancerAnswer]


# Returns the body of a balancer's answer to a flow; raises
# ``BalancerSilentError``.
Fetch = abc.Callable[[str, str], abc.Awaitable[bytes]]


async def async_fetch(url: str, flow: str) -> bytes:
    """Return the answer of a balancer.

    Args:
        url: Root URL of its metrics server.
        flow: Both ends of the flow.

    Raises:
        BalancerSilentError: It did not answer, or refused the query.
    """
    root = url.rstrip('/')
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
    query = {placement_view.FIELD_FLOW: flow}
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                f'{root}{placement_view.PATH}', params=query
            ) as response,
        ):
            body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        raise BalancerSilentError(f'{type(error).__name__} {error}') from error
    if response.status != _STATUS_OK:
        raise BalancerSilentError(f'HTTP status {response.status}')
    return body


def placement(
    flow: str,
    urls: abc.Sequence[str],
    codec: packets.Codec,
    fetch: Fetch = async_fetch,
) -> output.Report:
    """Ask balancers where a packet of a flow would be sent.

    Args:
        flow: Both ends of the flow, ``CLIENT:PORT>SERVICE:PORT``.
        urls: Root URLs of the metrics servers of balancers.
        codec: Packet codec, which knows how flows are named.
        fetch: Returns the answer of a balancer.

    Raises:
        FlowNameError: The text does not name a flow.
    """
    if codec.parse_flow(flow) is None:
        raise exceptions.FlowNameError(
            f'{flow}: expected CLIENT:PORT>SERVICE:PORT'
        )
    answers = asyncio.run(_async_query(flow, urls, fetch))
    lines = [line for answer in answers for line in _format_answer(answer)]
    is_complete = all(answer['view'] is not None for answer in answers)
    answer: PlacementAnswer = {'flow': flow, 'balancers': answers}
    return output.Report(
        const.EXIT_DONE if is_complete else const.EXIT_UNAVAILABLE,
        tuple(lines),
        answer,
    )


async def _async_query(
    flow: str, urls: abc.Sequence[str], fetch: Fetch
) -> list[BalancerAnswer]:
    return await asyncio.gather(
        *(_async_query_one(flow, url, fetch) for url in urls)
    )


async def _async_query_one(flow: str, url: str, fetch: Fetch) -> BalancerAnswer:
    try:
        view = _decode(await fetch(url, flow))
    except BalancerSilentError as error:
        return {
            'url': url,
            'view': None,
            'error': error.code,
            'message': str(error),
        }
    return {'url': url, 'view': view, 'error': '', 'message': ''}


def _decode(body: bytes) -> placement_view.PlacementView:
    try:
        return msgspec.json.decode(body, type=placement_view.PlacementView)
    except decoding.MALFORMED as error:
        raise BalancerSilentError(f'malformed answer: {error}') from error


def _format_answer(answer: BalancerAnswer) -> abc.Iterator[str]:
    view = answer['view']
    if view is None:
        yield f'{answer["url"]}: {answer["error"]}: {answer["message"]}'
        return
    target = view['chosen'] or ', '.join(view['sent_to']) or 'no agent'
    yield f'{view["balancer"]}: {view["outcome"]}: {target}'
    yield f'  {_format_route(view)}'
    yield (
        f'  routes version {view["routes_version"]}, confirmed'
        f' {view["configuration_age_s"]:.3f} s ago; link wait'
        f' {view["link_wait_s"]:.3f} s'
    )
    exhaustion = view['exhaustion']
    if exhaustion is not None:
        yield (
            f'  shortest wait {exhaustion["wait_s"]:.3f} s of'
            f' {exhaustion["agents"]} agents,'
            f' {exhaustion["left_s"]:.3f} s left'
        )
    for agent in view['agents']:
        yield f'  {_format_agent(agent, view["basis"] or "")}'


def _format_route(view: placement_view.PlacementView) -> str:
    route = view['route']
    if route is None:
        return 'no route'
    shares = ', '.join(
        f'{share["service"]} {share["weight"]:g}' for share in route['services']
    )
    text = f'service {view["service"]} of {shares}'
    if route['objective_s'] is None:
        return f'{text}; no terms'
    return (
        f'{text}; priority {route["priority"]},'
        f' objective {route["objective_s"]:g} s,'
        f' deadline {route["deadline_s"]:g} s'
    )


def _format_agent(agent: placement_view.AgentView, basis: str) -> str:
    score = agent['score']
    parts = [
        f'{agent["agent"]} ({agent["failure_domain"]}):',
        'not compared' if score is None else f'{basis} {score:.4f}',
        f'[{", ".join(agent["states"])}]',
    ]
    if agent['candidate'] is not None:
        parts.extend(_format_fields(agent['candidate']))
    if agent['report_age_s'] is not None:
        parts.append(f'report_age_s={agent["report_age_s"]:.3f}')
    return ' '.join(parts)


def _format_fields(
    candidate: placement_view.CandidateView,
) -> abc.Iterator[str]:
    """Yield the fields that are known and, if they are flags, set."""
    for field, known in candidate.items():
        if isinstance(known, float):
            yield f'{field}={known:.4g}'
        elif known is not None and known is not False:
            yield f'{field}={known}'
