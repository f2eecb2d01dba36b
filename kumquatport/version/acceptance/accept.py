"""Put a document in force with a single conditional update."""

import time
import uuid
from collections import abc

from kumquatport import exceptions, objects
from kumquatport.version import document
from kumquatport.version.acceptance import (
    confirmation,
    const,
    model,
    outcomes,
    predecessors,
    store,
)
from kumquatport.version.document import const as document_const

Edit = abc.Callable[[document.Document], document.Document]
Check = abc.Callable[
    [model.DocumentInForce, document.Document], abc.Awaitable[None]
]


def new_identifier() -> str:
    """Return a new unique identifier for an attempt."""
    return uuid.uuid4().hex


async def async_accept(
    client: objects.ObjectStore,
    submitted: document.Document,
    check: confirmation.Check,
    identifier: str = '',
) -> model.Accepted:
    """Put a document in force atomically.

    The caller writes the audit entry with ``audit.async_record`` after it has
    reported the result to the operator.

    Args:
        client: Object store of the platform.
        submitted: The validated document; its ``base_version`` is the version
            that the operator edited.
        check: Raises when the document must not be put in force.
        identifier: Identifier of an attempt that may already have been sent;
            empty for a new attempt.

    Raises:
        AcceptanceConflictError: Another version is in force; nothing changed.
        AcceptanceUnknownError: The outcome is not known yet; query it by the
            identifier.
        PlatformUnavailableError: Nothing was sent, nothing changed.
        DocumentRejectedError: The document does not fit into one object.
    """
    if not identifier:
        before = await store.async_read_in_force(client)
        if before.version != submitted['base_version']:
            raise model.AcceptanceConflictError(before, submitted)
        await check(before, submitted)
        return await _async_write(client, before, prepare(before, submitted))
    try:
        return await _async_repeat(client, submitted, check, identifier)
    except exceptions.PlatformUnavailableError as error:
        # An earlier call with this identifier may have been sent.
        raise model.AcceptanceUnknownError(
            identifier, submitted['base_version']
        ) from error


async def async_change(
    client: objects.ObjectStore,
    edit: Edit,
    check: confirmation.Check,
) -> model.Accepted:
    """Apply an edit to the document in force, retrying on conflicts.

    An edit without effect is accepted without a write.

    Args:
        client: Object store of the platform.
        edit: Returns an edited copy of a document.
        check: Raises when the edited document must not be put in force.

    Raises:
        AcceptanceConflictError: Every attempt conflicted with another write.
        AcceptanceUnknownError: The outcome is not known yet.
        PlatformUnavailableError: Nothing was sent, nothing changed.
    """
    for _ in range(const.MAX_CONFLICTS):
        before = await store.async_read_in_force(client)
        changed = edit(before.document)
        if not document.compare(before.document, changed):
            return model.Accepted(
                before.version, before.document['identifier'], before.version
            )
        await check(before, changed)
        try:
            return await _async_write(client, before, prepare(before, changed))
        except model.AcceptanceConflictError as error:
            last_conflict = error
    raise last_conflict


def prepare(
    before: model.DocumentInForce,
    submitted: document.Document,
    identifier: str = '',
) -> document.Document:
    """Return the document with the metadata of this attempt filled in.

    Args:
        before: The document in force.
        submitted: The new document.
        identifier: Identifier of the attempt; a new one is made when empty.
    """
    prepared = submitted.copy()
    prepared['identifier'] = identifier or new_identifier()
    prepared['base_version'] = before.version
    prepared['submitted_s'] = round(time.time(), 3)
    prepared['predecessors'] = predecessors.next_predecessors(before)
    return prepared


async def _async_repeat(
    client: objects.ObjectStore,
    submitted: document.Document,
    check: confirmation.Check,
    identifier: str,
) -> model.Accepted:
    """Repeat an attempt, unless its base version is no longer in force."""
    before = await store.async_read_in_force(client)
    base_version = submitted['base_version']
    if before.version != base_version:
        return await outcomes.async_read_outcome(
            client, identifier, base_version, submitted
        )
    await check(before, submitted)
    prepared = prepare(before, submitted, identifier)
    return await _async_write(client, before, prepared)


async def _async_write(
    client: objects.ObjectStore,
    before: model.DocumentInForce,
    prepared: document.Document,
) -> model.Accepted:
    """Write a prepared document; resolve the outcome if it is not certain."""
    stored = document.encode(prepared)
    try:
        version = await client.async_put(
            document_const.DOCUMENT_KEY, stored, before.version
        )
    except (
        exceptions.OutcomeUnknownError,
        exceptions.VersionConflictError,
    ):
        # A conflict does not prove that this write failed: a proxy on the way
        # may have repeated an update that took effect.
        accepted = await outcomes.async_resolve_outcome(client, prepared)
    else:
        accepted = model.Accepted(version, prepared['identifier'], version)
    after = model.DocumentInForce(accepted.version, prepared, stored)
    return accepted._replace(replacement=model.Replacement(before, after))
