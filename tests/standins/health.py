"""Health reports of a backend server: true, late, frozen or inverted.

A late report gives the state of some time ago, a frozen one never changes,
and an inverted one swaps cold with ready and high with low load.
"""

import collections
import typing
from collections import abc

from tests import clocks

MODES = ('true', 'late', 'frozen', 'inverted')
HISTORY_SAMPLES = 10000


class Report(typing.NamedTuple):
    """Fields of the response to ``GET /health``."""

    state: str
    load: float


class Reporter:
    """Reports the state and load of a backend server, falsified by mode."""

    def __init__(self, current: abc.Callable[[], Report]) -> None:
        self._read_current = current
        self._mode = 'true'
        self._delay_s = 0.0
        self._frozen_report = current()
        self._history: collections.deque[tuple[float, Report]] = (
            collections.deque(maxlen=HISTORY_SAMPLES)
        )

    def set_mode(self, mode: str, delay_s: float) -> None:
        if mode not in MODES:
            raise ValueError(mode)
        self._mode = mode
        self._delay_s = delay_s
        self._frozen_report = self._read_current()

    def sample(self) -> None:
        """Record the current report; called a few times a second."""
        self._history.append((clocks.now(), self._read_current()))

    def report(self) -> Report:
        if self._mode == 'frozen':
            return self._frozen_report
        if self._mode == 'late':
            return self._delayed_report()
        report = self._read_current()
        if self._mode == 'inverted':
            state = {'cold': 'ready', 'ready': 'cold'}.get(report.state)
            return Report(state or report.state, 1 - report.load)
        return report

    def _delayed_report(self) -> Report:
        horizon = clocks.now() - self._delay_s
        latest = self._history[0][1] if self._history else self._read_current()
        for moment, report in self._history:
            if moment > horizon:
                break
            latest = report
        return latest
