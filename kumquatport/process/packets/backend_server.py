"""State of the backend server that an agent serves."""

import collections
import math
import typing

import structlog

from kumquatport import exceptions
from kumquatport.helpers import clock
from kumquatport.process.packets import models

_LOGGER = structlog.get_logger(__name__)

# Heartbeat periods without a heartbeat or packet after which a backend server
# is silent.
MISSED_HEARTBEATS: typing.Final = 2.5

# Seconds within which a running backend server answers an opening packet; it
# runs on the same host as the agent.
OPENING_TIMEOUT_S: typing.Final = 0.12

# Consecutive unanswered opening packets after which a backend server counts as
# gone or frozen.
UNANSWERED_LIMIT: typing.Final = 2

# Seconds between the opening packets that probe a silent backend server.
PROBE_INTERVAL_S: typing.Final = 0.5

# Sequence number of the first heartbeat of an incarnation.
FIRST_SEQUENCE: typing.Final = 1

# Heartbeat periods per heartbeat that a backend server has sent at most, since
# the periods vary.
MAX_PERIODS_PER_HEARTBEAT: typing.Final = 1.5

# Heartbeat periods of silence of the current incarnation after which one with
# an earlier start time replaces it.
TAKEOVER_HEARTBEATS: typing.Final = 1.5

# Seconds between the checks while the listener of a backend server that is
# leaving is closed: its process may end at any moment.
CLOSED_CHECK_INTERVAL_S: typing.Final = 0.25

_MS_PER_S: typing.Final = 1000

# Maximum number of identifiers of former incarnations stored to recognize late
# heartbeats.
MAX_FORMER: typing.Final = 64


class NewIncarnation(typing.NamedTuple):
    """A new incarnation of the backend server.

    Attributes:
        started_after: Monotonic seconds after which it has certainly started;
            minus infinity if nothing tells.
        previous_heartbeat_at: Monotonic seconds of the last heartbeat of the
            previous incarnation, which may have been late; minus infinity if
            there was none.
        stated_start: Monotonic seconds of the start time that it states by the
            clock of its host; minus infinity if it states none.
    """

    started_after: float
    previous_heartbeat_at: float
    stated_start: float = -math.inf


class BackendServer:
    """Tracks a backend server by its heartbeats and packets.

    Attributes:
        report: Latest heartbeat; None before the first.
        is_gone: Whether its process is absent.
        is_listener_closed: Whether its listener refused the last connection
            although its process may still serve its open flows.
        heartbeat_s: Seconds between two heartbeats.
    """

    def __init__(self, heartbeat_s: float) -> None:
        """Start without a report.

        Args:
            heartbeat_s: Seconds between two heartbeats.
        """
        self.report: models.BackendServerReport | None = None
        self.is_gone = False
        self.is_listener_closed = False
        self._was_draining = False
        self.heartbeat_s = heartbeat_s
        self._last_active_at = clock.now()
        self._started_at = clock.now()
        self._last_report_at = -math.inf
        self._has_successor = False
        self._earlier_candidates: dict[tuple[str, int], int] = {}
        self._cold_until = -math.inf
        # Latest start time of the former incarnations of each identifier.
        self._former_born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pending_openings: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._unanswered = 0
        self._probed_at = -math.inf
        self._was_responsive = True
        self._presence_checked_at = -math.inf
        self._has_bounced = False
        self._absent_at = math.inf
        self._exit_noticed_at = math.inf
        # Identifier of the last exit notice that may be its own.
        self._exit_announced_by = ''
        self._is_absence_assumed = False

    @property
    def is_exiting(self) -> bool:
        """Return whether it has said that it exits, which is not confirmed."""
        return math.isfinite(self._exit_noticed_at)

    @property
    def is_draining(self) -> bool:
        """Return whether it is draining, exiting or gone."""
        if self.is_listener_closed:
            return True
        if self.report is None:
            return self._was_draining
        return self.is_gone or self.is_exiting or self.report.is_draining

    @property
    def last_active_at(self) -> float:
        """Return the monotonic seconds of its last heartbeat or packet."""
        return self._last_active_at

    @property
    def is_cold(self) -> bool:
        """Return whether it accepts only a limited rate of new flows."""
        return clock.now() < self._cold_until

    @property
    def is_warm(self) -> bool:
        """Return whether it has reported and is not cold."""
        return self.report is not None and not self.is_cold

    @property
    def slots(self) -> int:
        """Return the number of requests that it processes concurrently."""
        return self.report.slots if self.report else 1

    def update(
        self, report: models.BackendServerReport
    ) -> NewIncarnation | None:
        """Apply a heartbeat, unless it is late.

        Returns:
            The incarnation, if this is the first heartbeat received from it.
        """
        current = self.report
        is_same = current is not None and _is_same_incarnation(current, report)
        if not is_same and self._is_from_former(current, report):
            return None
        if (
            current is not None
            and is_same
            and report.sequence < current.sequence
        ):
            return None
        now = clock.now()
        previous_heartbeat_at = self._last_report_at
        self._last_report_at = now
        self._last_active_at = now
        self._unanswered = 0
        self._has_successor = False
        self._cold_until = now + report.cold_left_s
        self._log_change(current, report)
        self.report = report
        if is_same:
            self._revoke_end(now)
            return None
        self._clear_end()
        self.is_listener_closed = False
        if current is not None:
            self._exit_announced_by = ''
            self._note_former(current.identifier, current.born_ms)
        return NewIncarnation(
            now - self._max_uptime_s(report, previous_heartbeat_at),
            previous_heartbeat_at,
            now - _stated_age_s(report),
        )

    def is_current(self, report: models.BackendServerReport) -> bool:
        """Return whether a heartbeat is of the current incarnation."""
        return self.report is not None and _is_same_incarnation(
            self.report, report
        )

    def note_reported_draining(self) -> bool:
        """Mark it as draining because a peer reports that it was.

        The agent has restarted since then. Once the backend server has
        reported, its own heartbeats decide.

        Returns:
            Whether this revokes its absence, of which its closed listener was
            the only sign.
        """
        if self.report is not None or self._was_draining:
            return False
        self._was_draining = True
        _LOGGER.info('peers report that the backend server was draining')
        if not self._is_absence_assumed:
            return False
        self._clear_end()
        self.is_listener_closed = True
        return True

    def note_other_service(self, report: models.BackendServerReport) -> None:
        """Handle a heartbeat that names another service.

        After the backend server has fallen silent, one for its own port comes
        from the next backend server there, whose packets are no sign of life.
        Flows are kept: another writer may have sent it.

        Args:
            report: Heartbeat for the port of the backend server.
        """
        silent_since = max(self._last_report_at, self._started_at)
        silent_s = clock.now() - silent_since
        if self._has_successor or silent_s < (
            TAKEOVER_HEARTBEATS * self.heartbeat_s
        ):
            return
        self._has_successor = True
        _LOGGER.warning(
            'backend server of another service at the port',
            backend_server=report.identifier,
            service=report.service,
            silent_s=round(silent_s, 3),
        )

    def note_exit(self, identifier: str) -> bool:
        """Handle the exit notice of an incarnation.

        A notice names no start time, so it may be a late one of an earlier
        incarnation with the same identifier. Until its process is found
        absent, the backend server keeps its flows and gets no new ones.

        Args:
            identifier: Identifier of the incarnation.

        Returns:
            Whether the current incarnation has this identifier.
        """
        if self.report is None:
            self._exit_announced_by = identifier
            return False
        if identifier != self.report.identifier:
            self._note_former(identifier, self.report.born_ms)
            return False
        self._exit_noticed_at = clock.now()
        self._exit_announced_by = identifier
        _LOGGER.info('backend server exits', backend_server=identifier)
        return True

    def should_check_presence(self) -> bool:
        """Return whether to check now that its process exists.

        It may have ended if it has not reported yet, is silent, has bounced
        packets, or has closed its listener. True is returned at most once per
        heartbeat period, more often after the listener was closed, and counts
        as a check.
        """
        now = clock.now()
        period_s = (
            CLOSED_CHECK_INTERVAL_S
            if self.is_listener_closed
            else self.heartbeat_s
        )
        if self.is_gone or now - self._presence_checked_at < period_s:
            return False
        may_have_ended = (
            self.is_listener_closed
            or self.report is None
            or self._has_bounced
            or not self.is_responsive()
        )
        if may_have_ended:
            self._presence_checked_at = now
            self._has_bounced = False
        return may_have_ended

    def may_serve_without_listener(self, *, is_socket_bound: bool) -> bool:
        """Return whether it may serve open flows after it closed its listener.

        It may once it drains or has said that it exits, also if heartbeats
        have revoked that: the notice was its own or one of an earlier start.
        While nothing has been heard from it, as after a restart of all
        instances, nobody knows whether it has said so; then its socket counts,
        although another process may have bound the port.

        Args:
            is_socket_bound: Whether a UDP socket is known to be bound at its
                port.
        """
        if self.is_gone:
            return False
        if self.is_listener_closed:
            return True
        if self.report is None:
            return (
                is_socket_bound
                or self._was_draining
                or bool(self._exit_announced_by)
            )
        return (
            self._exit_announced_by == self.report.identifier
            or self.report.is_draining
        )

    def note_listening(self) -> None:
        """Record that its listener has not refused a connection."""
        self.is_listener_closed = False

    def note_listener_closed(self, checked_at: float) -> None:
        """Record that its listener is closed while it is leaving.

        It opens no new flows, and its open flows are kept.

        Args:
            checked_at: Monotonic seconds of the check.
        """
        if self.is_listener_closed or self._last_report_at > checked_at:
            return
        self.is_listener_closed = True
        _LOGGER.info(
            'backend server listener closed',
            backend_server=self.report and self.report.identifier,
            exiting=self.is_exiting,
            silent_s=round(clock.now() - self._last_active_at, 3),
        )

    def note_absent(
        self, checked_at: float, *, is_assumed: bool = False
    ) -> bool:
        """Mark it as gone, unless it has reported since it was found absent.

        Args:
            checked_at: Monotonic seconds at which its process was absent.
            is_assumed: Whether its closed listener is the only sign of that.

        Returns:
            Whether it is gone.
        """
        if self._last_report_at > checked_at:
            return False
        now = clock.now()
        self.is_gone = True
        self._is_absence_assumed = is_assumed
        self.is_listener_closed = False
        # No heartbeat revokes an exit that it has announced.
        self._absent_at = math.inf if self.is_exiting else now
        self._exit_noticed_at = math.inf
        _LOGGER.info(
            'backend server absent',
            backend_server=self.report and self.report.identifier,
            silent_s=round(now - self._last_active_at, 3),
        )
        return True

    def note_bounce(self) -> None:
        """Record that it bounced a packet that it should have accepted."""
        self._has_bounced = True

    def note_opening(self, flow: bytes) -> None:
        """Record the delivery of an opening packet."""
        self._pending_openings.setdefault(flow, clock.now())

    def note_packet(self, flow: bytes) -> None:
        """Record a packet from the backend server."""
        self._last_active_at = clock.now()
        self._unanswered = 0
        self._pending_openings.pop(flow, None)

    def is_responsive(self) -> bool:
        """Return whether it responds; count overdue opening packets."""
        if self.is_gone or self._has_successor:
            return False
        now = clock.now()
        while self._pending_openings:
            flow, delivered_at = next(iter(self._pending_openings.items()))
            if now - delivered_at < OPENING_TIMEOUT_S:
                break
            self._pending_openings.pop(flow)
            self._unanswered += delivered_at >= self._last_active_at
        silent_s = now - self._last_active_at
        is_silent = silent_s > MISSED_HEARTBEATS * self.heartbeat_s
        is_responsive = not is_silent and self._unanswered < UNANSWERED_LIMIT
        if is_responsive != self._was_responsive:
            self._was_responsive = is_responsive
            _LOGGER.info(
                'backend server answers'
                if is_responsive
                else 'backend server silent',
                silent_s=round(silent_s, 3),
                unanswered=self._unanswered,
            )
        return is_responsive

    def admit_probe(self) -> bool:
        """Return whether a probe is allowed now; True counts as a probe."""
        now = clock.now()
        if self.is_gone or self._has_successor:
            return False
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def _max_uptime_s(
        self, report: models.BackendServerReport, previous_heartbeat_at: float
    ) -> float:
        """Return the longest time for which an incarnation can have run.

        The number of its heartbeats tells, unless it stood still or the
        heartbeat is late. Its start time tells, unless the clock was set
        meanwhile. The larger one is on the safe side. Without a start time
        the first heartbeat that is received tells nothing.
        """
        later_heartbeats = max(report.sequence - FIRST_SEQUENCE, 0)
        counted_s = (
            later_heartbeats * MAX_PERIODS_PER_HEARTBEAT * self.heartbeat_s
        )
        if report.born_ms:
            return max(counted_s, _stated_age_s(report))
        if math.isinf(previous_heartbeat_at):
            return math.inf
        return counted_s

    def _revoke_end(self, now: float) -> None:
        """Mark it as present again if its heartbeats continue.

        A single heartbeat may have been sent before the process ended, so one
        soon after its exit notice or absence is not enough.
        """
        ended_at = min(self._absent_at, self._exit_noticed_at)
        if now - ended_at > TAKEOVER_HEARTBEATS * self.heartbeat_s:
            self._clear_end()
            _LOGGER.warning('backend server is present again')

    def _clear_end(self) -> None:
        self.is_gone = False
        self._is_absence_assumed = False
        self._absent_at = math.inf
        self._exit_noticed_at = math.inf

    def _is_from_former(
        self,
        current: models.BackendServerReport | None,
        report: models.BackendServerReport,
    ) -> bool:
        """Return whether a heartbeat is from a former incarnation.

        An identifier may be used again by a later start. A heartbeat with an
        earlier start time is either late, or from a new incarnation that
        started after the wall clock was set back. In the second case its
        heartbeats continue while those of the current incarnation stop.
        """
        former_born_ms = self._former_born_ms.get(report.identifier)
        if former_born_ms is not None and not report.born_ms:
            return True
        is_earlier = current is not None and _started_earlier(report, current)
        if former_born_ms is not None and report.born_ms <= former_born_ms:
            is_earlier = True
        if not is_earlier:
            return False
        key = (report.identifier, report.born_ms)
        previous_sequence = self._earlier_candidates.get(key)
        self._earlier_candidates = {key: report.sequence}
        silent_s = clock.now() - self._last_report_at
        continues = (
            previous_sequence is not None
            and report.sequence > previous_sequence
        )
        return (
            not continues or silent_s < TAKEOVER_HEARTBEATS * self.heartbeat_s
        )

    def _note_former(self, identifier: str, born_ms: int) -> None:
        """Record that incarnations which started until a time have ended."""
        latest_ms = max(self._former_born_ms.pop(identifier, 0), born_ms)
        self._former_born_ms[identifier] = latest_ms
        if len(self._former_born_ms) > MAX_FORMER:
            self._former_born_ms.popitem(last=False)

    def _log_change(
        self,
        current: models.BackendServerReport | None,
        report: models.BackendServerReport,
    ) -> None:
        is_new = current is None or not _is_same_incarnation(current, report)
        if is_new or (current and current.is_draining != report.is_draining):
            _LOGGER.info(
                'backend server state',
                backend_server=report.identifier,
                draining=report.is_draining,
                slots=report.slots,
                cold_left_s=report.cold_left_s,
                sequence=report.sequence,
                born_ms=report.born_ms,
            )


def check_writer(
    report: models.BackendServerReport,
    current: models.BackendServerReport | None,
    settings: models.Settings,
) -> None:
    """Check that a heartbeat is of the backend server beside the agent.

    Others may write heartbeats too. One that was taken for a new incarnation
    would end the flows of the backend server and silence it.

    Args:
        report: The heartbeat.
        current: Latest heartbeat of the backend server; None before the first.
        settings: Settings of the agent.

    Raises:
        HeartbeatRejectedError: It is of another writer.
    """
    expected = {
        'service': settings.service or report.service,
        'endpoint': settings.backend_server,
        'failure_domain': settings.failure_domain,
    }
    for field, expected_value in expected.items():
        found = getattr(report, field)
        if found != expected_value:
            raise exceptions.HeartbeatRejectedError(
                f'{report.identifier}: expected {field} {expected_value},'
                f' got {found}'
            )
    if current is not None and current.born_ms and not report.born_ms:
        raise exceptions.HeartbeatRejectedError(
            f'{report.identifier}: expected a start time'
        )


def is_of_other_service(
    report: models.BackendServerReport, settings: models.Settings
) -> bool:
    """Return whether a heartbeat differs from the agent in its service only.

    Args:
        report: The heartbeat.
        settings: Settings of the agent.
    """
    return (
        bool(settings.service)
        and report.service != settings.service
        and report.endpoint == settings.backend_server
        and report.failure_domain == settings.failure_domain
    )


def _is_same_incarnation(
    current: models.BackendServerReport, report: models.BackendServerReport
) -> bool:
    if current.identifier != report.identifier:
        return False
    return current.born_ms == report.born_ms


def _stated_age_s(report: models.BackendServerReport) -> float:
    """Return the seconds since the stated start, infinity if none is stated."""
    if not report.born_ms:
        return math.inf
    return (clock.unix_ms() - report.born_ms) / _MS_PER_S


def _started_earlier(
    report: models.BackendServerReport, current: models.BackendServerReport
) -> bool:
    """Return whether a heartbeat has an earlier start time than another."""
    return bool(report.born_ms) and report.born_ms < current.born_ms
