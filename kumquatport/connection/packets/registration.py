"""What an agent tells the registrars of its flows.

Load pattern: many flows that last for one request, and some that stay open.
Only the latter are told; the others are over before they could move.
"""

import typing
from collections import abc

from kumquatport.connection.packets import flow_table, registrars

# Age in seconds from which a flow is told; most short ones end before.
MIN_AGE_S: typing.Final = 0.5

_Batches = dict[str, list[bytes]]


class RegistrationChanges(typing.NamedTuple):
    """What is to be told to registrars, by their name.

    Attributes:
        held: Flows that are open here.
        ended: Flows told before that are not open any more.
    """

    held: _Batches
    ended: _Batches


class FlowRegistration:
    """What the registrars have been told."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._registered: dict[bytes, tuple[str, ...]] = {}

    def forget_registrar(self, registrar: str) -> None:
        """Note that a registrar has started without what it was told."""
        for flow, names in self._registered.items():
            if registrar in names:
                left = tuple(name for name in names if name != registrar)
                self._registered[flow] = left

    def collect_changes(
        self,
        flows: abc.Iterable[tuple[bytes, flow_table.FlowState]],
        chosen: registrars.Registrars,
        before: float,
    ) -> RegistrationChanges:
        """Return what has not been told yet, and take it as told.

        Args:
            flows: Those open here.
            chosen: Knows the registrars of each.
            before: Monotonic seconds; flows opened later are left out.
        """
        found = RegistrationChanges({}, {})
        told = {}
        for flow, state in flows:
            if state.opened_at > before and flow not in self._registered:
                continue
            names = chosen.of_flow(flow)
            known = self._registered.pop(flow, ())
            told[flow] = names
            if names != known:
                _add(found.held, set(names).difference(known), flow)
        for flow, names in self._registered.items():
            _add(found.ended, names, flow)
        self._registered = told
        return found


def _add(batches: _Batches, names: abc.Iterable[str], flow: bytes) -> None:
    for name in names:
        batches.setdefault(name, []).append(flow)
