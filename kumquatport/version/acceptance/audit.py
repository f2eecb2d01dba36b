"""Audit log: one object in the platform's store per accepted document."""

import asyncio
import datetime
import typing
from collections import abc

import msgspec
import structlog

from kumquatport import exceptions, objects
from kumquatport.helpers import decoding
from kumquatport.version import document
from kumquatport.version.acceptance import const, model, retries
from kumquatport.version.document import const as document_const

_LOGGER = structlog.get_logger(__name__)


async def async_record(
    client: objects.ObjectStore,
    accepted: model.Accepted,
) -> bool:
    """Write the audit entry of an acceptance, and a missing preceding one.

    A failure is logged and not raised: the document is in force either way,
    and the next accepted document fills in the missing entry.

    Args:
        client: Object store of the platform.
        accepted: Result of the acceptance.

    Returns:
        Whether the entry has been written.
    """
    if accepted.replacement is None:
        return True
    before, after = accepted.replacement
    changes = document.change_lines(
        document.compare(before.document, after.document)
    )
    written = await _async_write(client, build_entry(after, changes), None)
    if before.version:
        await _async_write(client, build_entry(before, None), 0)
    return written


def build_entry(
    in_force: model.DocumentInForce, changes: abc.Sequence[str] | None
) -> model.AuditEntry:
    """Return the audit entry of a document.

    Args:
        in_force: The document and its version.
        changes: One line for each change; None when they are unknown.
    """
    accepted_document = in_force.document
    return {
        'version': in_force.version,
        'base_version': accepted_document['base_version'],
        'identifier': accepted_document['identifier'],
        'operator': accepted_document['operator'],
        'comment': accepted_document['comment'],
        'submitted_s': accepted_document['submitted_s'],
        'changes': None if changes is None else _truncate(changes),
    }


def entry_lines(entry: model.AuditEntry) -> list[str]:
    """Format an entry as text: a heading, then one line for each change."""
    when = datetime.datetime.fromtimestamp(
        entry['submitted_s'], datetime.UTC
    ).isoformat(' ', 'seconds')
    heading = f'{entry["version"]} {when} {entry["operator"] or "-"}'
    if entry['comment']:
        heading = f'{heading}: {entry["comment"]}'
    changes = entry['changes']
    if changes is None:
        return [heading, '  changes not recorded']
    return [heading, *(f'  {line}' for line in changes)]


async def async_read_entry(
    client: objects.ObjectStore, version: int
) -> model.AuditEntry | None:
    """Return the audit entry of a version, or None if there is none.

    Raises:
        PlatformUnavailableError: The platform did not answer.
    """
    try:
        stored = await client.async_get(_key(version))
    except exceptions.ObjectMissingError:
        return None
    try:
        return msgspec.json.decode(stored.value, type=model.AuditEntry)
    except decoding.MALFORMED as error:
        _LOGGER.warning('malformed audit entry', key=stored.key, error=error)
    return None


async def async_read_history(
    client: objects.ObjectStore,
    in_force: model.DocumentInForce,
    count: int = const.DEFAULT_HISTORY_COUNT,
) -> list[model.AuditEntry]:
    """Return the latest audit entries, newest first.

    Args:
        client: Object store of the platform.
        in_force: The document in force; its entry is built from it if the
            stored one is missing.
        count: Maximum number of versions to read, one call each.

    Raises:
        PlatformUnavailableError: The platform did not answer.
    """
    lowest = max(in_force.version - count, 0)
    versions = range(in_force.version, lowest, -1)
    found = await asyncio.gather(
        *(async_read_entry(client, version) for version in versions)
    )
    entries = [entry for entry in found if entry is not None]
    if in_force.version and found[0] is None:
        entries.insert(0, build_entry(in_force, None))
    return entries


async def _async_write(
    client: objects.ObjectStore,
    entry: model.AuditEntry,
    expected: int | None,
) -> bool:
    """Write an audit entry with retries; the write is idempotent."""
    key = _key(entry['version'])
    failure: typing.Any = None
    async for attempt in retries.async_attempts(const.READ_RETRY_WINDOW_S):
        try:
            await client.async_put(key, msgspec.json.encode(entry), expected)
        except exceptions.VersionConflictError:
            return True
        except (
            exceptions.OutcomeUnknownError,
            exceptions.PlatformUnavailableError,
        ) as error:
            failure = error
        else:
            return True
        if attempt + 1 >= const.AUDIT_ATTEMPTS:
            break
    _LOGGER.warning('audit entry not written', key=key, error=repr(failure))
    return False


def _truncate(changes: abc.Sequence[str]) -> list[str]:
    """Truncate the lines to the size limits of an entry."""
    kept = [line[: const.MAX_AUDIT_LINE_CHARS] for line in changes]
    if len(kept) <= const.MAX_AUDIT_LINES:
        return kept
    omitted = len(kept) - const.MAX_AUDIT_LINES
    return [*kept[: const.MAX_AUDIT_LINES], f'and {omitted} more']


def _key(version: int) -> str:
    """Return the object key of a version's audit entry."""
    return f'{document_const.AUDIT_PREFIX}{version}'
