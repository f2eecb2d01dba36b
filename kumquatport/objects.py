"""Versioned objects that outlive every process, as the project needs them."""

import typing


class StoredObject(typing.NamedTuple):
    """One object of the platform at one version.

    Attributes:
        key: Kind and name, joined by a slash.
        version: Counts this project's writes of the object from 1; for an
            object that others write, the revision.
        value: The bytes that this project wrote, or the JSON text of an
            object that others wrote.
        deleted: Whether this version is a delete (watches only).
        revision: Revision of the store at which the object last changed.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False
    revision: int = 0

    @property
    def name(self) -> str:
        """Return the key without the kind."""
        return self.key.partition('/')[2]


class Listing(typing.NamedTuple):
    """Objects of a kind at one revision of the platform.

    Attributes:
        revision: Revision of the store when it answered.
        objects: The objects in the answer's order.
        has_more: Whether the answer was cut before the last object.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    has_more: bool = False


class ObjectStore(typing.Protocol):
    """Versioned objects that outlive every process.

    Nothing is retried: callers know which calls may be repeated and how long
    they can wait. Reads raise ``PlatformUnavailableError``, and
    ``ObjectMissingError`` where there is no such object; writes raise
    ``VersionConflictError``, ``OutcomeUnknownError`` when the answer was lost,
    and ``PlatformUnavailableError`` when nothing changed.
    """

    async def async_get(self, key: str) -> StoredObject:
        """Read one object."""

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        """Write one object; return its new version."""

    async def async_delete(self, key: str, expected: int | None) -> None:
        """Delete one object."""

    async def async_list(self, prefix: str) -> Listing:
        """Read all objects whose keys start with the prefix."""

    async def async_page(self, kind: str, after: str) -> Listing:
        """Read some objects of a kind, in the order of names."""

    async def async_watch(
        self, prefix: str, since: int, timeout: float
    ) -> Listing:
        """Wait for writes; raise ``HistoryGoneError`` if they are forgotten."""
