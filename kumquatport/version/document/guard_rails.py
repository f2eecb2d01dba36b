"""Guard rails: detect valid but risky changes of a document."""

import typing
from collections import abc

from kumquatport.version.document import lookup, model


class DomainLoad(typing.NamedTuple):
    """Current load of a service in one failure domain.

    Attributes:
        service: Name of the service.
        failure_domain: Failure domain of the backend servers.
        backend_servers: Number of backend servers whose agents are ready.
        busy: Requests in progress that hold a slot.
    """

    service: str
    failure_domain: str
    backend_servers: int
    busy: float


class Concern(typing.NamedTuple):
    """A reason why a document has to be confirmed a second time.

    Attributes:
        service: Name of the service at risk.
        reason: What the change would cause.
    """

    service: str
    reason: str


def find_concerns(
    before: model.Document,
    after: model.Document,
    loads: abc.Sequence[DomainLoad],
) -> tuple[Concern, ...]:
    """Return the concerns to be confirmed before the document takes effect.

    Only what the document makes worse counts, so a fix of one service needs no
    confirmation because another one was already short of slots.

    Args:
        before: The document in force.
        after: The new document.
        loads: Current load; empty if it is unknown.
    """
    old = _index(before)
    new = _index(after)
    by_service: dict[str, list[DomainLoad]] = {}
    for load in loads:
        by_service.setdefault(load.service, []).append(load)
    found = []
    for name in old.services:
        reason = _find_reason(name, old, new, by_service.get(name, []))
        if reason:
            found.append(Concern(name, reason))
    return tuple(found)


class _Index(typing.NamedTuple):
    """A document's services and failure domain weights, by service name."""

    services: dict[str, model.Service]
    domains: dict[str, dict[str, float]]


def _index(document: model.Document) -> _Index:
    return _Index(
        lookup.services_by_name(document),
        lookup.failure_domain_weights_by_service(document),
    )


def _find_reason(
    name: str, old: _Index, new: _Index, loads: abc.Sequence[DomainLoad]
) -> str:
    """Return why the change puts a service at risk, or an empty string."""
    busy = sum(load.busy for load in loads)
    if name not in new.services:
        return f'removed with {busy:g} requests in progress' if busy else ''
    if old.domains[name] and not new.domains[name]:
        return 'no failure domain is left to take its work'
    slots_after = _available_slots(name, new, loads)
    slots_before = _available_slots(name, old, loads)
    if slots_before and not slots_after:
        return 'no backend server is left to take its work'
    if busy > slots_after and slots_after < slots_before:
        return f'the rest has {slots_after:g} slots for {busy:g} in use'
    return ''


def _available_slots(
    name: str, index: _Index, loads: abc.Sequence[DomainLoad]
) -> int:
    """Return the total slots in the failure domains that serve the service."""
    slots = index.services[name]['limits']['slots']
    return sum(
        load.backend_servers * slots
        for load in loads
        if load.failure_domain in index.domains[name]
    )
