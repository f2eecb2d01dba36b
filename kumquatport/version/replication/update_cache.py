"""Cache of recent documents and of the updates between them."""

import collections

from kumquatport.version import current as currents
from kumquatport.version.replication import const, delta


class UpdateCache:
    """Documents recently in force here, and updates to the newest one."""

    def __init__(self) -> None:
        """Initialize an empty cache."""
        self._documents: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._updates: dict[int, delta.Update] = {}

    def add_document(self, document: currents.VersionedDocument) -> None:
        """Add a document that came into force."""
        self._updates.clear()
        self._documents[document.version] = document.encoded
        while len(self._documents) > const.KEPT_VERSIONS:
            self._documents.popitem(last=False)

    def get_update(
        self, base: int, version: int, encoded: bytes
    ) -> delta.Update:
        """Return the update to a document, computed once for all receivers.

        Args:
            base: Version that the receiver holds; 0 for none.
            version: Version of the document.
            encoded: Bytes of the document.
        """
        update = self._updates.get(base)
        if update is not None and update.version == version:
            return update
        base_document = self._documents.get(base)
        if base_document is None:
            update = delta.full_update(version, encoded)
        else:
            update = delta.diff(base, base_document, version, encoded)
        self._updates[base] = update
        return update
