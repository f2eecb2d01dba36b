"""Determine the outcome of an attempt whose response was lost."""

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

_UNKNOWN_OUTCOME_ERRORS = (
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
    """Determine the outcome of an attempt without writing.

    While the base version is in force, a request in flight may still take
    effect, so the outcome is unknown.

    Args:
        client: Object store of the platform.
        identifier: Identifier of the attempt.
        base_version: Base version of the attempt.
        submitted: The document, attached to a conflict error.

    Raises:
        AcceptanceConflictError: It did not and never will take effect.
        AcceptanceUnknownError: The outcome is not known yet.
    """
    try:
        in_force = await store.async_read_once(client)
        found = await _async_find_accepted(
            client, in_force, identifier, base_version
        )
    except (
        exceptions.PlatformUnavailableError,
        exceptions.DocumentRejectedError,
    ) as error:
        raise model.AcceptanceUnknownError(identifier, base_version) from error
    if found is not None:
        return found
    if predecessors.is_base_superseded(in_force, base_version):
        raise model.AcceptanceConflictError(in_force, submitted)
    if await _async_is_other_attempt(client, identifier, base_version):
        raise model.AcceptanceConflictError(in_force, submitted)
    raise model.AcceptanceUnknownError(identifier, base_version)


async def async_resolve_outcome(
    client: objects.ObjectStore,
    submitted: document.Document,
    retry_window_s: float = const.RESOLVE_RETRY_WINDOW_S,
) -> model.Accepted:
    """Retry an attempt with a lost response until its outcome is known.

    While the base version is in force, the same bytes are sent again under the
    same condition. That is idempotent, and it invalidates a copy that is still
    in flight: whichever arrives first changes the version.

    Args:
        client: Object store of the platform.
        submitted: The document as it was sent.
        retry_window_s: Time after which the outcome is reported as unknown, in
            seconds.

    Raises:
        AcceptanceConflictError: It did not and never will take effect.
        AcceptanceUnknownError: The outcome is not known yet.
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
    """Send the same update again; return 0 if its outcome is still unknown."""
    try:
        return await client.async_put(
            document_const.DOCUMENT_KEY,
            document.encode(submitted),
            submitted['base_version'],
        )
    except _UNKNOWN_OUTCOME_ERRORS:
        return 0


async def _async_find_accepted(
    client: objects.ObjectStore,
    in_force: model.DocumentInForce,
    identifier: str,
    base_version: int,
) -> model.Accepted | None:
    """Return the acceptance from the predecessor list or the audit log."""
    found = predecessors.find_accepted(in_force, identifier)
    if found is not None or in_force.version <= base_version:
        return found
    if predecessors.is_base_superseded(in_force, base_version):
        return None
    entry = await audit.async_read_entry(client, base_version + 1)
    if entry is None or entry['identifier'] != identifier:
        return None
    return model.Accepted(base_version + 1, identifier, in_force.version)


async def _async_is_other_attempt(
    client: objects.ObjectStore, identifier: str, base_version: int
) -> bool:
    """Return whether the audit log has another attempt on the base version."""
    try:
        entry = await audit.async_read_entry(client, base_version + 1)
    except exceptions.PlatformUnavailableError:
        return False
    if entry is None or entry['base_version'] != base_version:
        return False
    return entry['identifier'] != identifier
