"""The last few documents, from which updates are made."""

import collections

from kumquatport.version import current as currents
from kumquatport.version.replication import const, delta


class UpdateCache:
    """Documents that were in force here lately, and updates between them."""

    def __init__(self) -> None:
        """Start empty."""
        self._kept: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._updates: dict[int, delta.Update] = {}

    def add_document(self, held: currents.VersionedDocument) -> None:
        """Keep a document that came into force."""
        self._updates.clear()
        self._kept[held.version] = held.encoded
        while len(self._kept) > const.KEPT_VERSIONS:
            self._kept.popitem(last=False)

    def get_update(
        self, base: int, version: int, encoded: bytes
    ) -> delta.Update:
        """Return the update to a document, made once for all who ask.

        Args:
            base: Version that the receiver holds; 0 for none.
            version: Version of the document.
            encoded: Its bytes.
        """
        found = self._updates.get(base)
        if found is not None and found.version == version:
            return found
        kept = self._kept.get(base)
        if kept is None:
            found = delta.full_update(version, encoded)
        else:
            found = delta.diff(base, kept, version, encoded)
        self._updates[base] = found
        return found
