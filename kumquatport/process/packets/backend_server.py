"""What an agent knows of the backend server beside it."""

import collections
import math
import typing

import structlog

from kumquatport.helpers import clock
from kumquatport.process.packets import models

_LOGGER = structlog.get_logger(__name__)

# Heartbeats that may be missing before a backend server counts as silent.
MISSED_HEARTBEATS: typing.Final = 2.5

# Seconds within which a backend server answers an opening packet, unless it
# is gone: both run on one machine.
OPENING_TIMEOUT_S: typing.Final = 0.12

# Opening packets without an answer, one after the other, that show that it is
# gone or stands still.
UNANSWERED_LIMIT: typing.Final = 2

# Seconds between the opening packets that test a silent backend server.
PROBE_INTERVAL_S: typing.Final = 0.5

# Sequence of the first heartbeat of an incarnation.
FIRST_SEQUENCE: typing.Final = 1

# Heartbeats that the known incarnation must miss before one that says that it
# is older takes its place.
TAKEOVER_HEARTBEATS: typing.Final = 1.5

# Incarnations whose late heartbeats are known as such.
MAX_FORMER: typing.Final = 64


class NewIncarnation(typing.NamedTuple):
    """A new incarnation of the backend server.

    Attributes:
        previous_heartbeat_at: Monotonic seconds of the last heartbeat of the one
            before it; minus infinity if none was heard. Times of day say
            nothing here: they differ between machines and are set.
        is_first_heartbeat: Whether it has sent none before, so that it has
            just started.
    """

    previous_heartbeat_at: float
    is_first_heartbeat: bool


class BackendServer:
    """State of the backend server, from its heartbeats and its packets."""

    def __init__(self, heartbeat_s: float) -> None:
        """Start without a heartbeat.

        Args:
            heartbeat_s: Seconds between two heartbeats.
        """
        self.report: models.BackendServerReport | None = None
        self.is_gone = False
        self._was_draining = False
        self.heartbeat_s = heartbeat_s
        self._last_active_at = clock.now()
        self._last_report_at = -math.inf
        self._older_candidates: dict[str, int] = {}
        self._cold_until = -math.inf
        self._former_identifiers: collections.deque[str] = collections.deque(
            maxlen=MAX_FORMER
        )
        self._pending_openings: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._unanswered = 0
        self._probed_at = -math.inf
        self._was_answering = True
        self._presence_checked_at = -math.inf
        self._has_bounced = False
        self._absent_at = math.inf

    @property
    def is_draining(self) -> bool:
        """Tell whether it is about to leave, or is gone."""
        if self.report is None:
            return self._was_draining
        return self.is_gone or self.report.is_draining

    @property
    def is_cold(self) -> bool:
        """Tell whether it bears just a few new flows."""
        return clock.now() < self._cold_until

    @property
    def is_warm(self) -> bool:
        """Tell whether it has reported, and bears full load."""
        return self.report is not None and not self.is_cold

    @property
    def slots(self) -> int:
        """Return the requests that it works on at a time."""
        return self.report.slots if self.report else 1

    def update(
        self, report: models.BackendServerReport
    ) -> NewIncarnation | None:
        """Take a heartbeat; one of a former incarnation is left out.

        Returns:
            What is new, if an incarnation is heard for the first time.
        """
        held = self.report
        is_same = held is not None and _is_same(held, report)
        if not is_same and self._is_of_former(held, report):
            return None
        if held is not None and is_same and report.sequence < held.sequence:
            return None
        now = clock.now()
        former_until = self._last_report_at
        self._last_report_at = now
        self._last_active_at = now
        self._unanswered = 0
        self._cold_until = now + report.cold_left_s
        self._log_changes(held, report)
        self.report = report
        if is_same:
            self._revoke_absence(now)
            return None
        self.is_gone = False
        self._absent_at = math.inf
        if held is not None and held.identifier != report.identifier:
            self._former_identifiers.append(held.identifier)
        return NewIncarnation(former_until, report.sequence <= FIRST_SEQUENCE)

    def note_reported_draining(self) -> None:
        """Note that it was draining before this process started.

        Its next heartbeat settles it; until then peers know more.
        """
        if self.report is None and not self._was_draining:
            self._was_draining = True
            _LOGGER.info('backend server drains, as peers say')

    def note_exit(self, identifier: str) -> bool:
        """Note that the backend server has said that it exits.

        Returns:
            Whether it was the one that is known.
        """
        if self.report is not None and identifier != self.report.identifier:
            self._former_identifiers.append(identifier)
            return False
        self.is_gone = True
        self._was_draining = True
        _LOGGER.info('backend server gone', backend_server=identifier)
        return True

    def should_check_presence(self) -> bool:
        """Tell whether to find out now if its process is there; notes that.

        It may have ended if it has not reported yet, is silent, or packets
        for it came back. Once in a heartbeat is enough.
        """
        now = clock.now()
        if self.is_gone or now - self._presence_checked_at < self.heartbeat_s:
            return False
        is_doubtful = (
            self.report is None or self._has_bounced or not self.is_answering()
        )
        if is_doubtful:
            self._presence_checked_at = now
            self._has_bounced = False
        return is_doubtful

    def note_absent(self, looked_at: float) -> bool:
        """Note that no process of it ran at a moment.

        Args:
            looked_at: Monotonic seconds of that moment.

        Returns:
            Whether it is gone; one that has reported since is not.
        """
        if self._last_report_at > looked_at:
            return False
        self.is_gone = True
        self._absent_at = clock.now()
        _LOGGER.info(
            'backend server absent',
            backend_server=self.report and self.report.identifier,
            silent_s=round(self._absent_at - self._last_active_at, 3),
        )
        return True

    def note_bounce(self) -> None:
        """Note that a packet came back that it should have taken."""
        self._has_bounced = True

    def note_opening(self, flow: bytes) -> None:
        """Note an opening packet that was delivered."""
        self._pending_openings.setdefault(flow, clock.now())

    def note_packet(self, flow: bytes) -> None:
        """Note a packet from the backend server."""
        self._last_active_at = clock.now()
        self._unanswered = 0
        self._pending_openings.pop(flow, None)

    def is_answering(self) -> bool:
        """Tell whether it has answered of late; count what it did not."""
        if self.is_gone:
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
        is_answering = not is_silent and self._unanswered < UNANSWERED_LIMIT
        if is_answering != self._was_answering:
            self._was_answering = is_answering
            _LOGGER.info(
                'backend server answers'
                if is_answering
                else 'backend server silent',
                silent_s=round(silent_s, 3),
                unanswered=self._unanswered,
            )
        return is_answering

    def admit_probe(self) -> bool:
        """Tell whether one more opening packet may test it; notes that."""
        now = clock.now()
        if self.is_gone or now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def _revoke_absence(self, now: float) -> None:
        """Take back that it is absent if its heartbeats go on.

        One that was sent before it ended may come late.
        """
        if now - self._absent_at > TAKEOVER_HEARTBEATS * self.heartbeat_s:
            self.is_gone = False
            self._absent_at = math.inf
            _LOGGER.warning('backend server not absent')

    def _is_of_former(
        self,
        held: models.BackendServerReport | None,
        report: models.BackendServerReport,
    ) -> bool:
        """Tell whether a heartbeat is of an incarnation that has ended.

        One that says that it is older may be late, or may have started after
        the time of day was set back: it goes on while the other is silent.
        """
        if report.identifier in self._former_identifiers:
            return True
        if held is None or not _is_older(report, held):
            return False
        before = self._older_candidates.get(report.identifier)
        self._older_candidates = {report.identifier: report.sequence}
        silent_s = clock.now() - self._last_report_at
        goes_on = before is not None and report.sequence > before
        return not goes_on or silent_s < TAKEOVER_HEARTBEATS * self.heartbeat_s

    def _log_changes(
        self,
        held: models.BackendServerReport | None,
        report: models.BackendServerReport,
    ) -> None:
        is_new = held is None or not _is_same(held, report)
        if is_new or (held and held.is_draining != report.is_draining):
            _LOGGER.info(
                'backend server state',
                backend_server=report.identifier,
                draining=report.is_draining,
                slots=report.slots,
                cold_left_s=report.cold_left_s,
                sequence=report.sequence,
                born_ms=report.born_ms,
            )


def _is_same(
    held: models.BackendServerReport, report: models.BackendServerReport
) -> bool:
    if held.identifier != report.identifier:
        return False
    return held.born_ms == report.born_ms


def _is_older(
    report: models.BackendServerReport, held: models.BackendServerReport
) -> bool:
    """Tell whether a heartbeat is of an incarnation before the one held."""
    return bool(report.born_ms) and report.born_ms < held.born_ms
