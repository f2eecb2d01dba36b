"""The document in force in this process."""

import typing
from collections import abc

import structlog

from kumquatport.helpers import listeners

_LOGGER = structlog.get_logger(__name__)


class VersionedDocument(typing.NamedTuple):
    """A document and the version that it took effect with.

    Attributes:
        version: Version of the platform's object, 0 for none.
        encoded: The object's bytes.
        document: The same, parsed; ``None`` for none.
    """

    version: int
    encoded: bytes
    document: typing.Any


Listener = abc.Callable[[VersionedDocument], None]
Parser = abc.Callable[[bytes], typing.Any]

NO_DOCUMENT: typing.Final = VersionedDocument(0, b'', None)


class CurrentDocument:
    """The highest version that this process has seen; never goes back."""

    def __init__(self, parse: Parser) -> None:
        """Start without a document.

        Args:
            parse: Turns the object's bytes into a document, or raises
                ``DocumentRejectedError``.
        """
        self._parse = parse
        self._snapshot = NO_DOCUMENT
        self._listeners: listeners.Listeners[Listener] = listeners.Listeners()

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._snapshot.version

    @property
    def document(self) -> typing.Any:
        """Return the document in force, ``None`` before the first."""
        return self._snapshot.document

    @property
    def snapshot(self) -> VersionedDocument:
        """Return version, bytes and document together."""
        return self._snapshot

    def update(self, version: int, encoded: bytes) -> bool:
        """Take a document if its version is above the one held.

        Args:
            version: Version of the platform's object.
            encoded: The object's bytes.

        Returns:
            Whether it was taken.

        Raises:
            DocumentRejectedError: It is newer but not valid; what was in
                force stays so.
        """
        if version <= self._snapshot.version:
            return False
        return self.update_parsed(
            VersionedDocument(version, encoded, self._parse(encoded))
        )

    def update_parsed(self, candidate: VersionedDocument) -> bool:
        """Take a document that is parsed, if it is above the one held.

        Returns:
            Whether it was taken.
        """
        if candidate.version <= self._snapshot.version:
            return False
        self._snapshot = candidate
        _LOGGER.info('document in force', version=candidate.version)
        self._listeners.notify(candidate)
        return True

    def subscribe(self, callback: Listener) -> abc.Callable[[], None]:
        """Call back with each document that comes into force.

        Returns:
            A function that ends the subscription.
        """
        return self._listeners.subscribe(callback)
