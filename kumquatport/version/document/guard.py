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


def concerns(
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
    found = []
    for name in lookup.services_named(before):
        reason = _reason(name, before, after, loads)
        if reason:
            found.append(Concern(name, reason))
    return tuple(found)


def _reason(
    name: str,
    before: model.Document,
    after: model.Document,
    loads: abc.Sequence[DomainLoad],
) -> str:
    """Return why the change endangers one service, or an empty string."""
    own = [load for load in loads if load.service == name]
    busy = sum(load.busy for load in own)
    if name not in lookup.services_named(after):
        return f'removed with {busy:g} requests in progress' if busy else ''
    if _loses_last_domain(name, before, after):
        return 'no failure domain is left to take its work'
    room = _room(name, after, own)
    if busy > room and room < _room(name, before, own):
        return f'the rest has {room:g} slots for {busy:g} in use'
    return ''


def _loses_last_domain(
    name: str, before: model.Document, after: model.Document
) -> bool:
    """Tell whether a service that had failure domains has none left."""
    had = lookup.failure_domains_of(before, name)
    has = lookup.failure_domains_of(after, name)
    return bool(had) and not has


def _room(
    name: str, document: model.Document, loads: abc.Sequence[DomainLoad]
) -> int:
    """Return the slots of the backend servers that may take work."""
    slots = lookup.service(document, name)['limits']['slots']
    domains = lookup.failure_domains_of(document, name)
    return sum(
        load.backend_servers * slots
        for load in loads
        if load.failure_domain in domains
    )
