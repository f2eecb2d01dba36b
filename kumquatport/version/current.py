"""The document in force in this process."""

import typing
from collections import abc

import structlog

from kumquatport.helpers import listeners

_LOGGER = structlog.get_logger(__name__)


class VersionedDocument(typing.NamedTuple):
    """A document with its version.

    Attributes:
        version: Version of the platform's object, 0 if there is none.
        encoded: The object's bytes.
        document: The parsed document, ``None`` if there is none.
    """

    version: int
    encoded: bytes
    document: typing.Any


Listener = abc.Callable[[VersionedDocument], None]
Parser = abc.Callable[[bytes], typing.Any]

NO_DOCUMENT: typing.Final = VersionedDocument(0, b'', None)


class CurrentDocument:
    """The document with the highest version seen by this process.

    The version never decreases.
    """

    def __init__(self, parse: Parser) -> None:
        """Initialize without a document.

        Args:
            parse: Parses the object's bytes into a document, or raises
                ``DocumentRejectedError``.
        """
        self._parse = parse
        self._snapshot = NO_DOCUMENT
        self._listeners: listeners.Listeners[Listener] = listeners.Listeners()

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none yet."""
        return self._snapshot.version

    @property
    def document(self) -> typing.Any:
        """Return the document in force, ``None`` if there is none yet."""
        return self._snapshot.document

    @property
    def snapshot(self) -> VersionedDocument:
        """Return the document in force with its version and bytes."""
        return self._snapshot

    def update(self, version: int, encoded: bytes) -> bool:
        """Parse a document and put it in force if its version is higher.

        Args:
            version: Version of the platform's object.
            encoded: The object's bytes.

        Returns:
            Whether the document was put in force.

        Raises:
            DocumentRejectedError: It is newer but not valid; the document in
                force is unchanged.
        """
        if version <= self._snapshot.version:
            return False
        return self.update_parsed(
            VersionedDocument(version, encoded, self._parse(encoded))
        )

    def update_parsed(self, candidate: VersionedDocument) -> bool:
        """Put a parsed document in force if its version is higher.

        Returns:
            Whether the document was put in force.
        """
        if candidate.version <= self._snapshot.version:
            return False
        self._snapshot = candidate
        _LOGGER.info('document in force', version=candidate.version)
        self._listeners.notify(candidate)
        return True

    def subscribe(self, callback: Listener) -> abc.Callable[[], None]:
        """Register a callback for each new document in force.

        Returns:
            A function that cancels the subscription.
        """
        return self._listeners.subscribe(callback)
