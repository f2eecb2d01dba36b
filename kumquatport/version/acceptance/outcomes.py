"""Finding out what became of an attempt whose answer was lost."""

from kumquatport import exceptions, objects
from kumquatport.version import document
from kumquatport.version.acceptance import (
    audit,
    const,
    model,
    predecessors,
    retries,
    store,
)
from kumquatport.version.document import const as document_const

_OPEN_ERRORS = (
    exceptions.OutcomeUnknownError,
    exceptions.PlatformUnavailableError,
    exceptions.VersionConflictError,
)


async def async_read_outcome(
    client: objects.ObjectStore,
    identifier: str,
    base_version: int,
    submitted: document.Document | None = None,
) -> model.Accepted:
    """Find out, by reading alone, what became of an attempt.

    While the base is still in force an attempt on its way may yet take
    effect, so its outcome stays unknown.

    Args:
        client: Access to the platform.
        identifier: Of the attempt.
        base_version: Version the attempt was made on.
        submitted: The document, to be shown with a conflict.

    Raises:
        AcceptanceConflictError: It did not and never will take effect.
        AcceptanceUnknownError: Not known yet.
    """
    try:
        in_force = await store.async_read_once(client)
        found = await _async_found(client, in_force, identifier, base_version)
    except (
        exceptions.PlatformUnavailableError,
        exceptions.DocumentRejectedError,
    ) as error:
        raise model.AcceptanceUnknownError(identifier, base_version) from error
    if found is not None:
        return found
    if predecessors.is_base_superseded(in_force, base_version):
        raise model.AcceptanceConflictError(in_force, submitted)
    if await _async_is_other(client, identifier, base_version):
        raise model.AcceptanceConflictError(in_force, submitted)
    raise model.AcceptanceUnknownError(identifier, base_version)


async def async_resolve_outcome(
    client: objects.ObjectStore,
    submitted: document.Document,
    retry_window_s: float = const.RESOLVE_RETRY_WINDOW_S,
) -> model.Accepted:
    """Bring an attempt whose answer was lost to its end.

    As long as the base is in force the same bytes are sent again under the
    same condition. That is idempotent, and it closes the door on a copy that
    is still on its way: whichever arrives first changes the version.

    Args:
        client: Access to the platform.
        submitted: The document as it was sent.
        retry_window_s: Seconds after which the outcome is left open.

    Raises:
        AcceptanceConflictError: It did not and never will take effect.
        AcceptanceUnknownError: Not known yet.
    """
    identifier = submitted['identifier']
    base_version = submitted['base_version']
    async for _ in retries.async_attempts(retry_window_s):
        try:
            return await async_read_outcome(
                client, identifier, base_version, submitted
            )
        except model.AcceptanceUnknownError:
            version = await _async_resend(client, submitted)
        if version:
            return model.Accepted(version, identifier, version)
    raise model.AcceptanceUnknownError(identifier, base_version)


async def _async_resend(
    client: objects.ObjectStore, submitted: document.Document
) -> int:
    """Send the same update again; 0 when its outcome is still open."""
    try:
        return await client.async_put(
            document_const.DOCUMENT_KEY,
            document.encode(submitted),
            submitted['base_version'],
        )
    except _OPEN_ERRORS:
        return 0


async def _async_found(
    client: objects.ObjectStore,
    in_force: model.DocumentInForce,
    identifier: str,
    base_version: int,
) -> model.Accepted | None:
    """Return the acceptance, from the lineage or the audit."""
    found = predecessors.find_accepted(in_force, identifier)
    if found is not None or in_force.version <= base_version:
        return found
    if predecessors.is_base_superseded(in_force, base_version):
        return None
    entry = await audit.async_read_entry(client, base_version + 1)
    if entry is None or entry['identifier'] != identifier:
        return None
    return model.Accepted(base_version + 1, identifier, in_force.version)


async def _async_is_other(
    client: objects.ObjectStore, identifier: str, base_version: int
) -> bool:
    """Tell whether the audit shows another attempt on the same base."""
    try:
        entry = await audit.async_read_entry(client, base_version + 1)
    except exceptions.PlatformUnavailableError:
        return False
    if entry is None or entry['base_version'] != base_version:
        return False
    return entry['identifier'] != identifier
