"""Putting one document in force by one conditional update."""

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
    """Return an identifier for one attempt."""
    return uuid.uuid4().hex


async def async_accept(
    client: objects.ObjectStore,
    submitted: document.Document,
    check: confirmation.Check,
    identifier: str = '',
) -> model.Accepted:
    """Put a document in force as a whole, or leave everything as it is.

    The caller writes the audit with ``audit.async_record`` once it has told
    its operator.

    Args:
        client: Access to the platform.
        submitted: The checked document; its ``base_version`` is the version
            that the operator started from.
        check: Raises when the document must not be put in force.
        identifier: Of an attempt that may have been sent before; a fresh one
            otherwise.

    Raises:
        AcceptanceConflictError: Another version is in force; nothing changed.
        AcceptanceUnknownError: Not known yet; ask again by its identifier.
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
        return await _async_again(client, submitted, check, identifier)
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
    """Apply one small change to whatever is in force, over conflicts.

    A change that is already in force is accepted without a write.

    Args:
        client: Access to the platform.
        edit: Returns the changed copy of a document.
        check: Raises when the change must not be made.

    Raises:
        AcceptanceConflictError: Others were faster each time.
        AcceptanceUnknownError: Not known yet.
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
            last = error
    raise last


def prepare(
    before: model.DocumentInForce,
    submitted: document.Document,
    identifier: str = '',
) -> document.Document:
    """Return the document as it is sent on top of the one in force.

    Args:
        before: The document in force.
        submitted: The new document.
        identifier: Of the attempt; a fresh one when empty.
    """
    prepared = submitted.copy()
    prepared['identifier'] = identifier or new_identifier()
    prepared['base_version'] = before.version
    prepared['submitted_s'] = round(time.time(), 3)
    prepared['predecessors'] = predecessors.next_predecessors(before)
    return prepared


async def _async_again(
    client: objects.ObjectStore,
    submitted: document.Document,
    check: confirmation.Check,
    identifier: str,
) -> model.Accepted:
    """Send a document that may have been sent, unless its base has passed."""
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
    """Send a prepared document and settle a lost answer."""
    stored = document.encode(prepared)
    try:
        version = await client.async_put(
            document_const.DOCUMENT_KEY, stored, before.version
        )
    except (
        exceptions.OutcomeUnknownError,
        exceptions.VersionConflictError,
    ):
        # A conflict is settled too: something between us and the platform
        # may have repeated an update that took effect.
        accepted = await outcomes.async_resolve_outcome(client, prepared)
    else:
        accepted = model.Accepted(version, prepared['identifier'], version)
    after = model.DocumentInForce(accepted.version, prepared, stored)
    return accepted._replace(replacement=model.Replacement(before, after))
