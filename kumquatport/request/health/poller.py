"""Polls the backend server's health report.

Reports lag and sometimes mislead. Two things of them are believed: that a
backend server is leaving, and that nothing listens. That it is cold only
lowers the weight announced. The load is only shown.
"""

import typing
from collections import abc

import aiohttp
import mode
import structlog

from kumquatport.request import errors
from kumquatport.request.health import const
from kumquatport.request.proxy import client

_LOGGER = structlog.get_logger(__name__)
_POLL_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    errors.RequestLostError,
    errors.BackendServerUnreachableError,
)


class Report(typing.NamedTuple):
    """What the backend server said last.

    Attributes:
        state: ``cold``, ``ready``, ``leaving``, or empty if unknown.
        load: 0 to 1.
        at: When it said so, on the handler's clock.
    """

    state: str
    load: float
    at: float


class HealthPoller(mode.Service):
    """Keeps the last report."""

    def __init__(
        self,
        server: client.BackendServerClient,
        clock: abc.Callable[[], float],
        **options: typing.Any,
    ) -> None:
        """Know nothing yet."""
        super().__init__(**options)
        self._server = server
        self._clock = clock
        self._report: Report | None = None
        self._refused_polls = 0
        self._is_failing = False

    @property
    def report(self) -> Report | None:
        """The last report, None before the first."""
        return self._report

    @property
    def reachable(self) -> bool:
        """Whether something listens; a late answer does not count against."""
        return self._refused_polls < const.UNREACHABLE_POLLS

    @property
    def leaving(self) -> bool:
        """Whether the backend server said that it is leaving."""
        report = self._report
        return report is not None and report.state == const.STATE_LEAVING

    @property
    def cold(self) -> bool:
        """Whether a fresh report says that the backend server is cold."""
        report = self._report
        if report is None or self._clock() - report.at > const.MAX_REPORT_AGE_S:
            return False
        return report.state == const.STATE_COLD

    async def async_poll(self) -> None:
        """Ask once."""
        try:
            answer = await self._server.async_get_json(
                const.PATH, const.POLL_TIMEOUT_S
            )
        except aiohttp.ClientConnectorError:
            self._note_refused()
            return
        except TimeoutError:
            return
        except _POLL_ERRORS as fault:
            self._note_failure(fault)
            return
        self._store_report(answer)

    @mode.Service.task
    async def _async_poll_loop(self) -> None:
        while not self.should_stop:
            await self.async_poll()
            await self.sleep(const.POLL_INTERVAL_S)

    def _store_report(self, answer: typing.Any) -> None:
        if not self.reachable:
            _LOGGER.info('Backend server is back')
        if self._is_failing:
            _LOGGER.info('Health reports are back')
        self._is_failing = False
        self._refused_polls = 0
        if not isinstance(answer, dict):
            return
        load = answer.get('load')
        self._report = Report(
            state=str(answer.get('state', '')),
            load=float(load) if isinstance(load, (int, float)) else 0,
            at=self._clock(),
        )

    def _note_failure(self, fault: Exception) -> None:
        if not self._is_failing:
            _LOGGER.warning('Health report failed', fault=repr(fault))
        self._is_failing = True

    def _note_refused(self) -> None:
        self._refused_polls += 1
        self._report = None
        if self._refused_polls == const.UNREACHABLE_POLLS:
            _LOGGER.warning('Nothing listens at the backend server')
