"""What an agent tells the registrars of its flows.

Load pattern: many flows that last for one request, and some that stay open.
Only the latter are told; the others are over before they could move.
"""

import typing
from collections import abc

from kumquatport.connection.packets import held, registrars

# Age in seconds from which a flow is told; most short ones end before.
MIN_AGE_S: typing.Final = 0.5

_Batches = dict[str, list[bytes]]


class News(typing.NamedTuple):
    """What is to be told to registrars, by their name.

    Attributes:
        held: Flows that are open here.
        ended: Flows told before that are not open any more.
    """

    held: _Batches
    ended: _Batches


class Registration:
    """What the registrars have been told."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._told: dict[bytes, tuple[str, ...]] = {}

    def forget(self, registrar: str) -> None:
        """Note that a registrar has started without what it was told."""
        for flow, names in self._told.items():
            if registrar in names:
                left = tuple(name for name in names if name != registrar)
                self._told[flow] = left

    def news(
        self,
        flows: abc.Iterable[tuple[bytes, held.Flow]],
        chosen: registrars.Registrars,
        before: float,
    ) -> News:
        """Return what has not been told yet, and take it as told.

        Args:
            flows: Those open here.
            chosen: Knows the registrars of each.
            before: Monotonic seconds; flows opened later are left out.
        """
        found = News({}, {})
        told = {}
        for flow, state in flows:
            if state.opened_at > before and flow not in self._told:
                continue
            names = chosen.of(flow)
            known = self._told.pop(flow, ())
            told[flow] = names
            if names != known:
                _add(found.held, set(names).difference(known), flow)
        for flow, names in self._told.items():
            _add(found.ended, names, flow)
        self._told = told
        return found


def _add(batches: _Batches, names: abc.Iterable[str], flow: bytes) -> None:
    for name in names:
        batches.setdefault(name, []).append(flow)
