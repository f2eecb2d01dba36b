"""In-memory platform with scripted faults, for unit tests."""

import typing
from collections import abc

from kumquatport import exceptions, objects
from kumquatport.version.document import const

NO_FAULT = 'done'
ANSWER_LOST = 'lost'
REQUEST_UNSENT = 'unsent'
REQUEST_LOST = 'vanished'
REQUEST_DELAYED = 'late'
DELAYED_DELIVERED = 'late ones arrive'
REQUEST_DUPLICATED = 'repeated'
CONCURRENT_BEFORE = 'other before'
CONCURRENT_AFTER = 'other after, lost'
FAULTS = (
    NO_FAULT,
    ANSWER_LOST,
    REQUEST_UNSENT,
    REQUEST_LOST,
    REQUEST_DELAYED,
    DELAYED_DELIVERED,
    REQUEST_DUPLICATED,
    CONCURRENT_BEFORE,
    CONCURRENT_AFTER,
)


class Update(typing.NamedTuple):
    """A conditional update of the document."""

    value: bytes
    expected: int | None


class MemoryPlatform:
    """Stores objects in memory and applies one scripted fault per call."""

    def __init__(
        self,
        script: abc.Iterable[str] = (),
        concurrent_document: abc.Callable[[int, bytes], bytes] | None = None,
    ) -> None:
        """Create an empty store.

        Args:
            script: Faults of the next calls; later calls have none.
            concurrent_document: Builds the document that another operator
                writes after a given version, from that version and its
                value.
        """
        self.objects: dict[str, objects.StoredObject] = {}
        self.applied_versions: dict[bytes, int] = {}
        self._script = iter(script)
        self._concurrent_document = concurrent_document
        self._delayed: list[Update] = []

    async def async_get(self, key: str) -> objects.StoredObject:
        fault = next(self._script, NO_FAULT)
        if fault in {ANSWER_LOST, REQUEST_UNSENT, REQUEST_LOST}:
            raise exceptions.PlatformUnavailableError(fault)
        if fault == DELAYED_DELIVERED:
            self.deliver_delayed_updates()
        if key not in self.objects:
            raise exceptions.ObjectMissingError(key)
        return self.objects[key]

    async def async_put(
        self, key: str, value: bytes, expected: int | None
    ) -> int:
        if key != const.DOCUMENT_KEY:
            return self._write(key, value)
        return self._put_document(
            next(self._script, NO_FAULT), Update(value, expected)
        )

    def deliver_delayed_updates(self) -> None:
        """Apply the updates that were delayed after a broken connection."""
        delayed, self._delayed = self._delayed, []
        for update in delayed:
            self._apply(update)

    def put_concurrent_document(self) -> None:
        """Write a document of another operator after the current version."""
        stored = self.objects.get(const.DOCUMENT_KEY)
        version = 0 if stored is None else stored.version
        value = b'' if stored is None else stored.value
        if self._concurrent_document is not None:
            self._apply(
                Update(self._concurrent_document(version, value), version)
            )

    def _put_document(self, fault: str, update: Update) -> int:
        if fault == REQUEST_UNSENT:
            raise exceptions.PlatformUnavailableError(fault)
        if fault == REQUEST_DELAYED:
            self._delayed.append(update)
        version = self._deliver(fault, update)
        if fault in {
            REQUEST_DELAYED,
            REQUEST_LOST,
            ANSWER_LOST,
            CONCURRENT_AFTER,
        }:
            raise exceptions.OutcomeUnknownError(fault)
        if not version:
            raise exceptions.VersionConflictError(const.DOCUMENT_KEY)
        return version

    def _deliver(self, fault: str, update: Update) -> int:
        """Apply an update as the fault allows; return 0 if it was not."""
        if fault in {REQUEST_DELAYED, REQUEST_LOST}:
            return 0
        if fault == CONCURRENT_BEFORE:
            self.put_concurrent_document()
        if fault == REQUEST_DUPLICATED:
            self._apply(update)
        version = self._apply(update)
        if fault == CONCURRENT_AFTER:
            self.put_concurrent_document()
        return version

    def _apply(self, update: Update) -> int:
        """Apply a conditional update; return 0 on a version conflict."""
        stored = self.objects.get(const.DOCUMENT_KEY)
        version = 0 if stored is None else stored.version
        if update.expected not in {None, version}:
            return 0
        version = self._write(const.DOCUMENT_KEY, update.value)
        self.applied_versions[update.value] = version
        return version

    def _write(self, key: str, value: bytes) -> int:
        stored = self.objects.get(key)
        version = 1 if stored is None else stored.version + 1
        self.objects[key] = objects.StoredObject(key, version, value)
        return version
