"""Registration of an agent's flows with their registrars.

Many flows last for a single request and some stay open. Only flows of a
minimum age are registered; most others close before they could move to another
balancer.
"""

import typing
from collections import abc

from kumquatport.connection.packets import flow_table, registrars

# Minimum age in seconds of a registered flow; most short flows close before.
MIN_AGE_S: typing.Final = 0.5

_Batches = dict[str, list[bytes]]


class RegistrationChanges(typing.NamedTuple):
    """Changes to send to registrars, by the name of the registrar.

    Attributes:
        held: Flows that are open here.
        ended: Registered flows that are not open any more.
    """

    held: _Batches
    ended: _Batches


class FlowRegistration:
    """Tracks the flows that are registered, and where."""

    def __init__(self) -> None:
        """Start without registered flows."""
        self._registered: dict[bytes, tuple[str, ...]] = {}

    def forget_registrar(self, registrar: str) -> None:
        """Register all flows of a registrar again, since it has restarted.

        Args:
            registrar: Name of the registrar.
        """
        for flow, names in self._registered.items():
            if registrar in names:
                remaining = tuple(name for name in names if name != registrar)
                self._registered[flow] = remaining

    def collect_changes(
        self,
        flows: abc.Iterable[tuple[bytes, flow_table.FlowState]],
        selector: registrars.Registrars,
        before: float,
    ) -> RegistrationChanges:
        """Return the changes since the last call and mark them as sent.

        Args:
            flows: Open flows.
            selector: Selects the registrars of each flow.
            before: Monotonic time in seconds; flows opened later are left out.
        """
        changes = RegistrationChanges({}, {})
        registered = {}
        for flow, state in flows:
            if state.opened_at > before and flow not in self._registered:
                continue
            names = selector.of_flow(flow)
            known = self._registered.pop(flow, ())
            registered[flow] = names
            if names != known:
                _add(changes.held, set(names).difference(known), flow)
        for flow, names in self._registered.items():
            _add(changes.ended, names, flow)
        self._registered = registered
        return changes


def _add(batches: _Batches, names: abc.Iterable[str], flow: bytes) -> None:
    for name in names:
        batches.setdefault(name, []).append(flow)
