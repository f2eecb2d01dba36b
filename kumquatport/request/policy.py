"""Policy for the requests of one service, from the current document."""

import types
import typing
from collections import abc

from kumquatport.request import const, messages

Section: typing.TypeAlias = abc.Mapping[str, typing.Any]


class RequestClass(typing.NamedTuple):
    """One class of requests.

    Attributes:
        name: Unique within the service.
        methods: Matching methods, empty for all.
        path_prefix: Prefix of matching paths.
        repeatable: Whether a request may run twice.
        holds_slot: Whether it holds a slot until its answer ends; feeds don't
            and release their turn once the answer has begun.
        deadline_s: Longest time until the answer begins, in seconds.
    """

    name: str = const.DEFAULT_CLASS
    methods: frozenset[str] = frozenset()
    path_prefix: str = ''
    repeatable: bool = False
    holds_slot: bool = True
    deadline_s: float = const.DEFAULT_DEADLINE_S


class Limits(typing.NamedTuple):
    """Limits of one backend server of the service.

    Attributes:
        slots: Maximum number of requests in progress.
        connections: Maximum number of connections.
        queue_s: Maximum wait for a slot, in seconds.
        queue_length: Maximum number of waiting requests.
        retry_budget: Retries per request, 0 to 1.
        start_share: Share of the slots that a slow start begins with.
        double_s: Shortest time in which the concurrency limit may double, in
            seconds.
    """

    slots: int = const.DEFAULT_SLOTS
    connections: int = const.DEFAULT_CONNECTIONS
    queue_s: float = const.DEFAULT_QUEUE_S
    queue_length: int = const.DEFAULT_QUEUE_LENGTH
    retry_budget: float = const.DEFAULT_RETRY_BUDGET
    start_share: float = const.DEFAULT_START_SHARE
    double_s: float = const.DEFAULT_DOUBLE_S


class Policy(typing.NamedTuple):
    """What the request handler needs of its service's entry.

    Attributes:
        service: Name of the service.
        classes: Request classes in matching order.
        shares: Share of each client account.
        limits: Limits of one backend server.
    """

    service: str
    classes: tuple[RequestClass, ...]
    shares: abc.Mapping[str, float]
    limits: Limits


_SAFE = frozenset(('GET', 'HEAD', 'OPTIONS'))
_OTHER_SAFE = RequestClass(repeatable=True)
_OTHER = RequestClass()


def build(service: Section) -> Policy:
    """Build the policy of a service of the document.

    Args:
        service: An entry of the document's ``services``, already validated.

    Returns:
        The policy, with defaults for values missing in the entry.
    """
    shares = {
        client_account['name']: float(client_account['share'])
        for client_account in service.get('client_accounts', ())
    }
    shares.setdefault(const.DEFAULT_CLIENT_ACCOUNT, 1.0)
    return Policy(
        service=service['name'],
        classes=tuple(map(_build_class, service.get('classes', ()))),
        shares=types.MappingProxyType(shares),
        limits=_build_limits(service),
    )


def classify(policy: Policy, head: messages.RequestHead) -> RequestClass:
    """Return the first class that matches the request.

    A request without a matching class is repeatable only if its method is
    safe.
    """
    for candidate in policy.classes:
        if candidate.methods and head.method not in candidate.methods:
            continue
        if head.path.startswith(candidate.path_prefix):
            return candidate
    return _OTHER_SAFE if head.method in _SAFE else _OTHER


def client_account_of(policy: Policy, headers: messages.Headers) -> str:
    """Return the client account; unknown ones share the default one."""
    for name, value in headers:
        if name == const.HEADER_CLIENT_ACCOUNT and value in policy.shares:
            return value
    return const.DEFAULT_CLIENT_ACCOUNT


def _build_class(section: Section) -> RequestClass:
    defaults = RequestClass()
    return RequestClass(
        name=section['name'],
        methods=frozenset(section.get('methods', ())),
        path_prefix=section.get('path_prefix', ''),
        repeatable=section.get('repeatable', defaults.repeatable),
        holds_slot=section.get('holds_slot', defaults.holds_slot),
        deadline_s=_deadline_s(section),
    )


def _deadline_s(section: Section) -> float:
    deadline_s = section.get('deadline_s', const.DEFAULT_DEADLINE_S)
    return const.MAX_DEADLINE_S if deadline_s is None else float(deadline_s)


def _build_limits(service: Section) -> Limits:
    known = set(Limits._fields)
    sections = {**service.get('limits', {}), **service.get('ramp', {})}
    return Limits(
        **{name: value for name, value in sections.items() if name in known}
    )
