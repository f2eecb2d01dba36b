"""Guard rails: changes that are valid but that an operator may regret."""

import typing
from collections import abc

from kumquatport.version.document import lookup, model


class DomainLoad(typing.NamedTuple):
    """Present work of a service in one failure domain.

    Attributes:
        service: Name of the service.
        failure_domain: Where the backend servers are.
        backend_servers: How many take work now.
        busy: Requests in progress that hold a slot.
    """

    service: str
    failure_domain: str
    backend_servers: int
    busy: float


class Concern(typing.NamedTuple):
    """One reason why a document has to be confirmed a second time.

    Attributes:
        service: Whose work is at stake.
        reason: What would happen.
    """

    service: str
    reason: str


def find_concerns(
    before: model.Document,
    after: model.Document,
    loads: abc.Sequence[DomainLoad],
) -> tuple[Concern, ...]:
    """Return what should be confirmed before the document takes effect.

    Only what the document makes worse counts, so an operator who repairs one
    service is not held up by another that was already short.

    Args:
        before: The document in force.
        after: The new document.
        loads: Present work; empty when it is not known.
    """
    old = _index(before)
    new = _index(after)
    by_service: dict[str, list[DomainLoad]] = {}
    for load in loads:
        by_service.setdefault(load.service, []).append(load)
    found = []
    for name in old.services:
        reason = _reason(name, old, new, by_service.get(name, []))
        if reason:
            found.append(Concern(name, reason))
    return tuple(found)


class _Index(typing.NamedTuple):
    """A document's services and where they may run, by name."""

    services: dict[str, model.Service]
    domains: dict[str, dict[str, float]]


def _index(document: model.Document) -> _Index:
    return _Index(
        lookup.services_by_name(document),
        lookup.failure_domain_weights_by_service(document),
    )


def _reason(
    name: str, old: _Index, new: _Index, loads: abc.Sequence[DomainLoad]
) -> str:
    """Return why the change endangers one service, or an empty string."""
    busy = sum(load.busy for load in loads)
    if name not in new.services:
        return f'removed with {busy:g} requests in progress' if busy else ''
    if old.domains[name] and not new.domains[name]:
        return 'no failure domain is left to take its work'
    room = _room(name, new, loads)
    had_room = _room(name, old, loads)
    if had_room and not room:
        return 'no backend server is left to take its work'
    if busy > room and room < had_room:
        return f'the rest has {room:g} slots for {busy:g} in use'
    return ''


def _room(name: str, index: _Index, loads: abc.Sequence[DomainLoad]) -> int:
    """Return the slots of the backend servers that may take work."""
    slots = index.services[name]['limits']['slots']
    return sum(
        load.backend_servers * slots
        for load in loads
        if load.failure_domain in index.domains[name]
    )
