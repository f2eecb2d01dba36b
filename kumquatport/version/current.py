"""The document in force in this process."""

import typing
from collections import abc

import structlog

from kumquatport.helpers import listeners

_LOGGER = structlog.get_logger(__name__)


class Versioned(typing.NamedTuple):
    """A document and the version that it took effect with.

    Attributes:
        version: Version of the platform's object, 0 for none.
        encoded: The object's bytes.
        document: The same, parsed; ``None`` for none.
    """

    version: int
    encoded: bytes
    document: typing.Any


Listener = abc.Callable[[Versioned], None]
Parser = abc.Callable[[bytes], typing.Any]

NOTHING: typing.Final = Versioned(0, b'', None)


class Current:
    """The highest version that this process has seen; never goes back."""

    def __init__(self, parse: Parser) -> None:
        """Start without a document.

        Args:
            parse: Turns the object's bytes into a document, or raises
                ``DocumentRejectedError``.
        """
        self._parse = parse
        self._held = NOTHING
        self._listeners: listeners.Listeners[Listener] = listeners.Listeners()

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._held.version

    @property
    def document(self) -> typing.Any:
        """Return the document in force, ``None`` before the first."""
        return self._held.document

    @property
    def held(self) -> Versioned:
        """Return version, bytes and document together."""
        return self._held

    def offer(self, version: int, encoded: bytes) -> bool:
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
        if version <= self._held.version:
            return False
        return self.take(Versioned(version, encoded, self._parse(encoded)))

    def take(self, offered: Versioned) -> bool:
        """Take a document that is parsed, if it is above the one held.

        Returns:
            Whether it was taken.
        """
        if offered.version <= self._held.version:
            return False
        self._held = offered
        _LOGGER.info('document in force', version=offered.version)
        self._listeners.notify(offered)
        return True

    def subscribe(self, callback: Listener) -> abc.Callable[[], None]:
        """Call back with each document that comes into force.

        Returns:
            A function that ends the subscription.
        """
        return self._listeners.subscribe(callback)
