"""What the platform's object API answers."""

import typing


class StoredObject(typing.NamedTuple):
    """One object of the platform at one version.

    Attributes:
        key: Name of the object.
        version: Counts up from 1 for each object, and goes on after a delete.
        value: The bytes held; empty when deleted.
        deleted: Whether this version is a delete (watches only).
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


class Listing(typing.NamedTuple):
    """Objects under a prefix at one revision of the platform.

    Attributes:
        revision: Count of all writes of the platform when it answered.
        objects: The objects in the answer's order.
    """

    revision: int
    objects: tuple[StoredObject, ...]
