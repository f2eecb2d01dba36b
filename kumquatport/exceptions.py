"""Exceptions with stable error codes."""

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
    """A validation error in an input.

    Attributes:
        path: Path of the value, for example ``services[0].entry_port``.
        reason: Description of the error.
    """

    path: str
    reason: str


class KumquatportError(Exception):
    """Base class of all errors; ``code`` is stable across releases."""

    code: typing.ClassVar[str] = 'KQ-0000'


class SettingsError(KumquatportError):
    """The settings file is missing, malformed or violates its schema."""

    code = 'KQ-1001'

    def __init__(self, file: str, line: int, key: str, expected: str) -> None:
        """Store the error and its location.

        Args:
            file: Path of the settings file.
            line: Line number from 1; 0 if the error has no line.
            key: Dotted key, for example ``tls.key``; may be empty.
            expected: Description of the expected value.
        """
        location = f'{file}:{line}' if line else file
        prefix = f'{location}: {key}' if key else location
        super().__init__(f'{prefix}: {expected}')
        self.file = file
        self.line = line
        self.key = key
        self.expected = expected


class TlsMaterialError(KumquatportError):
    """A certificate or key cannot be read, or the two do not match."""

    code = 'KQ-1002'

    def __init__(self, reason: TlsReason, source: str) -> None:
        """Store the error without any part of the key material.

        Args:
            reason: Why the certificate or key cannot be used.
            source: Path or ``platform:KEY`` that it was read from.
        """
        super().__init__(f'{source}: {reason}')
        self.reason = reason
        self.source = source


class StartError(KumquatportError):
    """A process cannot acquire a resource at startup, such as a port."""

    code = 'KQ-1003'


class FlowNameError(KumquatportError):
    """A text does not name a flow as ``CLIENT:PORT>SERVICE:PORT``."""

    code = 'KQ-6014'


class PlatformUnavailableError(KumquatportError):
    """The platform did not answer, or a read failed; nothing changed."""

    code = 'KQ-2001'


class VersionConflictError(KumquatportError):
    """A conditional update failed because the object has another version."""

    code = 'KQ-2002'


class OutcomeUnknownError(KumquatportError):
    """A write may or may not have taken effect; its response was lost."""

    code = 'KQ-2003'


class ObjectMissingError(KumquatportError):
    """The platform has no object with this key."""

    code = 'KQ-2004'


class PlatformRefusedError(PlatformUnavailableError):
    """The platform rejected a write; nothing changed."""

    code = 'KQ-2005'


class HistoryGoneError(PlatformUnavailableError):
    """A watch starts before the history that the platform retains."""

    code = 'KQ-2006'


class DocumentRejectedError(KumquatportError):
    """A document is invalid and rejected as a whole."""

    code = 'KQ-3001'

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Store the faults.

        Args:
            faults: All faults of the document, at least one.
        """
        lines = [f'{fault.path}: {fault.reason}' for fault in faults]
        super().__init__('; '.join(lines))
        self.faults = faults


class NotInDocumentError(KumquatportError):
    """The document has no service or failure domain with this name."""

    code = 'KQ-3002'


class HeartbeatRejectedError(KumquatportError):
    """A heartbeat is malformed, or of another backend server."""

    code = 'KQ-4006'


class FrameError(KumquatportError):
    """A control message or forward is malformed or not authentic."""

    code = 'KQ-4001'


class FrameTooLongError(FrameError):
    """The length of a control message is out of range."""

    code = 'KQ-4011'


class FrameVersionError(FrameError):
    """A control message has an unsupported protocol version."""

    code = 'KQ-4012'


class FrameKindError(FrameError):
    """A control message is of an unknown kind."""

    code = 'KQ-4013'


class FrameMacError(FrameError):
    """A control message is not authenticated with the shared key."""

    code = 'KQ-4014'


class FramePayloadError(FrameError):
    """The payload of a control message does not match its kind."""

    code = 'KQ-4015'


class PeerUnavailableError(KumquatportError):
    """Another instance did not answer a control message in time."""

    code = 'KQ-4002'


class PeerRefusedError(PeerUnavailableError):
    """Another instance answered a control message with an error.

    Attributes:
        peer_code: Stable error code reported by the peer.
    """

    code = 'KQ-4004'

    def __init__(self, endpoint: str, peer_code: str, reason: str) -> None:
        """Store the peer's error code.

        Args:
            endpoint: ``address:port`` of the peer.
            peer_code: Error code in the peer's response.
            reason: Error message in the peer's response.
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
    """A request was rejected before any byte reached the backend server."""

    code = 'KQ-5001'


class OutcomeLostError(KumquatportError):
    """A request may have been executed; its outcome cannot be determined."""

    code = 'KQ-5002'
