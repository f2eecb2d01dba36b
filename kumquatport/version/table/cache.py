"""Cache of rendezvous tables, each built on first use."""

import typing
from collections import abc

from kumquatport.version.members import record as records
from kumquatport.version.members import registry as registries
from kumquatport.version.table import candidates, rendezvous


class _Rules(typing.NamedTuple):
    domains_out: frozenset[str]
    weights: dict[str, dict[str, float]]


class TableCache:
    """Tables by service; a record change invalidates only its services."""

    def __init__(self, registry: registries.Registry) -> None:
        """Subscribe to the registry until ``close`` is called.

        Args:
            registry: Source of the agents' records.
        """
        self._registry = registry
        self._tables: dict[str, rendezvous.Table] = {}
        self._rules = _Rules(frozenset(), {})
        self._unsubscribe = registry.subscribe(self._invalidate)

    @property
    def domains_out(self) -> frozenset[str]:
        """Return the names of the failure domains that are taken out."""
        return self._rules.domains_out

    def table(self, service: str) -> rendezvous.Table:
        """Return the table of a service; empty if it has no candidates."""
        cached = self._tables.get(service)
        if cached is None:
            cached = self._build(service)
            self._tables[service] = cached
        return cached

    def apply(self, document: abc.Mapping[str, typing.Any]) -> None:
        """Apply failure domains and rules of a document.

        Args:
            document: A valid document; see ``kumquatport.version.document``.
        """
        out = frozenset(
            domain['name']
            for domain in document['failure_domains']
            if domain['out']
        )
        weights: dict[str, dict[str, float]] = {}
        for rule in document.get('rules', ()):
            by_domain = weights.setdefault(rule['service'], {})
            by_domain[rule['failure_domain']] = rule['weight']
        self._rules = _Rules(out, weights)
        self._tables.clear()

    def close(self) -> None:
        """Unsubscribe from the registry."""
        self._unsubscribe()

    def _build(self, service: str) -> rendezvous.Table:
        selected = candidates.select_candidates(
            self._registry.agents(service),
            self._rules.domains_out,
            self._rules.weights.get(service, {}),
        )
        return rendezvous.build(service, selected)

    def _invalidate(
        self,
        record: records.InstanceRecord,
        previous: records.InstanceRecord | None,
    ) -> None:
        self._tables.pop(record.service, None)
        if previous is not None:
            self._tables.pop(previous.service, None)
