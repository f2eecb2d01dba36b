"""Polls the backend server's health report.

Reports lag and can be wrong. Only two of their results take the backend server
out of use: it reports that it is leaving, or nothing listens at its address.
A report that it is cold only lowers the announced weight, and the reported
load is only shown.
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
    """The latest health report of the backend server.

    Attributes:
        state: ``cold``, ``ready``, ``leaving``, or empty if unknown.
        load: Reported load, 0 to 1.
        at: When it was received, on the handler's clock.
    """

    state: str
    load: float
    at: float


class HealthPoller(mode.Service):
    """Polls periodically and keeps the latest report."""

    def __init__(
        self,
        server: client.BackendServerClient,
        clock: abc.Callable[[], float],
        **options: typing.Any,
    ) -> None:
        """Start without a report.

        Args:
            server: Client of the backend server.
            clock: Returns monotonic seconds.
            options: Options of ``mode.Service``.
        """
        super().__init__(**options)
        self._server = server
        self._clock = clock
        self._report: Report | None = None
        self._refused_polls = 0
        self._is_failing = False

    @property
    def report(self) -> Report | None:
        """The latest report, None before the first."""
        return self._report

    @property
    def reachable(self) -> bool:
        """Whether something listens at its address; timeouts don't count."""
        return self._refused_polls < const.UNREACHABLE_POLLS

    @property
    def leaving(self) -> bool:
        """Whether the latest report says that the backend server is leaving."""
        report = self._report
        return report is not None and report.state == const.STATE_LEAVING

    @property
    def cold(self) -> bool:
        """Whether a recent report says that the backend server is cold."""
        report = self._report
        if report is None or self._clock() - report.at > const.MAX_REPORT_AGE_S:
            return False
        return report.state == const.STATE_COLD

    async def async_poll(self) -> None:
        """Poll the health report once."""
        try:
            body = await self._server.async_get_json(
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
        self._store_report(body)

    @mode.Service.task
    async def _async_poll_loop(self) -> None:
        while not self.should_stop:
            await self.async_poll()
            await self.sleep(const.POLL_INTERVAL_S)

    def _store_report(self, body: typing.Any) -> None:
        if not self.reachable:
            _LOGGER.info('Backend server reachable again')
        if self._is_failing:
            _LOGGER.info('Health reports available again')
        self._is_failing = False
        self._refused_polls = 0
        if not isinstance(body, dict):
            return
        load = body.get('load')
        self._report = Report(
            state=str(body.get('state', '')),
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
            _LOGGER.warning('Cannot connect to the backend server')
