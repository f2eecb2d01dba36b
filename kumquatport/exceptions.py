"""Errors with stable codes, one root for all of them."""

import enum
import typing


class TlsReason(enum.StrEnum):
    """Why a certificate or key cannot be used."""

    UNREADABLE = 'unreadable'
    MALFORMED = 'malformed'
    MISMATCH = 'mismatch'
    NOT_YET_VALID = 'not-yet-valid'
    EXPIRED = 'expired'


class Fault(typing.NamedTuple):
    """One thing that is wrong in an input.

    Attributes:
        path: Where it is, for example ``services[0].entry_port``.
        reason: What was expected.
    """

    path: str
    reason: str


class KumquatportError(Exception):
    """Root of all errors; ``code`` is stable across releases."""

    code: typing.ClassVar[str] = 'KQ-0000'


class SettingsError(KumquatportError):
    """The settings file is missing, malformed or does not fit its schema."""

    code = 'KQ-1001'

    def __init__(self, file: str, line: int, key: str, expected: str) -> None:
        """Name the fault and its place.

        Args:
            file: Path of the settings file.
            line: Line from 1; 0 where the fault has no line.
            key: Dotted key, for example ``tls.key``; may be empty.
            expected: What was expected there.
        """
        place = f'{file}:{line}' if line else file
        where = f'{place}: {key}' if key else place
        super().__init__(f'{where}: {expected}')
        self.file = file
        self.line = line
        self.key = key
        self.expected = expected


class TlsMaterialError(KumquatportError):
    """A certificate or key cannot be read or does not fit the other."""

    code = 'KQ-1002'

    def __init__(self, reason: TlsReason, source: str) -> None:
        """Name the fault without any part of the material.

        Args:
            reason: What is wrong.
            source: The path or ``platform:KEY`` it came from.
        """
        super().__init__(f'{source}: {reason}')
        self.reason = reason
        self.source = source


class StartError(KumquatportError):
    """A process cannot take what it needs at start, such as a port."""

    code = 'KQ-1003'


class PlatformUnavailableError(KumquatportError):
    """The platform did not answer; a read that failed, nothing changed."""

    code = 'KQ-2001'


class VersionConflictError(KumquatportError):
    """A conditional update lost: the object has another version."""

    code = 'KQ-2002'


class OutcomeUnknownError(KumquatportError):
    """A write may or may not have taken effect: its answer was lost."""

    code = 'KQ-2003'


class ObjectMissingError(KumquatportError):
    """The platform holds no object under this key."""

    code = 'KQ-2004'


class PlatformRefusedError(PlatformUnavailableError):
    """The platform refused a write as malformed; nothing changed."""

    code = 'KQ-2005'


class HistoryGoneError(PlatformUnavailableError):
    """A watch began before the changes that the platform remembers."""

    code = 'KQ-2006'


class DocumentRejectedError(KumquatportError):
    """A document is not valid; it is rejected as a whole."""

    code = 'KQ-3001'

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Keep every fault.

        Args:
            faults: Everything wrong with the document, at least one.
        """
        lines = [f'{fault.path}: {fault.reason}' for fault in faults]
        super().__init__('; '.join(lines))
        self.faults = faults


class NotInDocumentError(KumquatportError):
    """The document has no service or failure domain of that name."""

    code = 'KQ-3002'


class HeartbeatRejectedError(KumquatportError):
    """A heartbeat of a backend server is malformed."""

    code = 'KQ-4006'


class FrameError(KumquatportError):
    """A control message or forward is malformed or not authentic."""

    code = 'KQ-4001'


class FrameTooLongError(FrameError):
    """A control message is longer, or shorter, than any can be."""

    code = 'KQ-4011'


class FrameVersionError(FrameError):
    """A control message is of a protocol version not spoken here."""

    code = 'KQ-4012'


class FrameKindError(FrameError):
    """A control message is of a kind not known here."""

    code = 'KQ-4013'


class FrameMacError(FrameError):
    """A control message was not made under the shared key."""

    code = 'KQ-4014'


class FramePayloadError(FrameError):
    """The payload of a control message is not what its kind says."""

    code = 'KQ-4015'


class PeerUnavailableError(KumquatportError):
    """Another instance did not answer a control message in time."""

    code = 'KQ-4002'


class PeerRefusedError(PeerUnavailableError):
    """Another instance answered a control message with an error.

    Attributes:
        peer_code: Stable code of the error at the peer.
    """

    code = 'KQ-4004'

    def __init__(self, endpoint: str, peer_code: str, reason: str) -> None:
        """Keep the peer's code.

        Args:
            endpoint: ``address:port`` of the peer.
            peer_code: Code in its answer.
            reason: Text in its answer.
        """
        super().__init__(f'{endpoint}: {peer_code} {reason}')
        self.peer_code = peer_code


class RegionMismatchError(KumquatportError):
    """An instance reports to a balancer of another region."""

    code = 'KQ-4005'


class ConnectionIdError(KumquatportError):
    """A connection ID was not issued under the shared key."""

    code = 'KQ-4003'


class RefusedError(KumquatportError):
    """A request was refused before any byte reached the backend server."""

    code = 'KQ-5001'


class OutcomeLostError(KumquatportError):
    """A request may have run; what became of it cannot be known."""

    code = 'KQ-5002'
