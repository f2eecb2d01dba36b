"""Interface to the platform's store of versioned objects."""

import typing


class StoredObject(typing.NamedTuple):
    """An object of the store at one version.

    Attributes:
        key: Kind and name, joined by a slash.
        version: Count of this project's writes of the object, from 1; the
            revision for an object that others write.
        value: Bytes that this project wrote, or the JSON text of an object
            that others wrote.
        deleted: Whether this version is a deletion (watches only).
        revision: Revision of the store at which the object last changed.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False
    revision: int = 0

    @property
    def name(self) -> str:
        """Return the name of the object without its kind."""
        return self.key.partition('/')[2]


class Listing(typing.NamedTuple):
    """Objects of a kind at one revision of the store.

    Attributes:
        revision: Revision of the store at the time of the response.
        objects: The objects in the order of the response.
        has_more: Whether the response is followed by further pages.
        era: Incremented each time the store is restored from an older copy,
            after which it assigns revisions again; 0 if it does not say.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    has_more: bool = False
    era: int = 0


class ObjectStore(typing.Protocol):
    """Persistent store of versioned objects.

    A restored store has lost the latest writes. Whoever compares revisions
    compares the eras first.

    Nothing is retried: callers know which calls may be repeated and how long
    they can wait. Reads raise ``PlatformUnavailableError``, and
    ``ObjectMissingError`` if there is no such object. Writes raise
    ``VersionConflictError``, ``OutcomeUnknownError`` if the response was lost,
    and ``PlatformUnavailableError`` if nothing changed.
    """

    async def async_get(self, key: str) -> StoredObject:
        """Read an object."""

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        """Write an object and return its new version."""

    async def async_delete(self, key: str, expected: int | None) -> None:
        """Delete an object."""

    async def async_list(self, prefix: str) -> Listing:
        """Read all objects whose keys start with the prefix.

        Raises ``HistoryGoneError`` if the store was restored meanwhile.
        """

    async def async_page(self, kind: str, after: str) -> Listing:
        """Read one page of the objects of a kind, ordered by name."""

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> Listing:
        """Wait for writes since a revision.

        Raises ``HistoryGoneError`` if the history since then is not retained.
        """
