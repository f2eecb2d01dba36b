"""Verbs that read, validate and apply whole documents."""

import asyncio
import pathlib
import sys
import typing

import msgspec

from kumquatport import exceptions, objects
from kumquatport.process.ctl import const, output
from kumquatport.process.load import domain_load
from kumquatport.version import acceptance, document


class CommandContext(typing.NamedTuple):
    """Clients and settings that the online verbs use.

    Attributes:
        client: Client of the platform.
        operator: Operator name for the audit entry.
        instances: Root URLs of the status servers of instances.
        emit: Prints a report.
    """

    client: objects.ObjectStore
    operator: str
    instances: tuple[str, ...]
    emit: output.Emit


class AcceptedAnswer(typing.TypedDict):
    """JSON output of an accepted document."""

    accepted: bool
    version: int
    latest_version: int
    identifier: str


class ValidAnswer(typing.TypedDict):
    """JSON output of ``validate`` for a valid document."""

    valid: bool


class DiffAnswer(typing.TypedDict):
    """JSON output of ``diff``."""

    version: int
    base_version: int
    changes: list[document.Change]


class ShowAnswer(typing.TypedDict):
    """JSON output of ``show``."""

    version: int
    document: document.Document


class HistoryAnswer(typing.TypedDict):
    """JSON output of ``history``, newest entry first."""

    version: int
    entries: list[acceptance.AuditEntry]


def read_document(file: str) -> document.Document:
    """Read and validate a document from a file or standard input.

    Raises:
        DocumentRejectedError: The file cannot be read or the document is not
            valid; lists every fault.
    """
    try:
        if file == const.FILE_STANDARD_INPUT:
            return document.parse(sys.stdin.buffer.read())
        return document.parse(pathlib.Path(file).read_bytes())
    except OSError as error:
        fault = exceptions.Fault(file, f'expected a readable file: {error}')
        raise exceptions.DocumentRejectedError((fault,)) from error


def validate(file: str) -> output.Report:
    """Validate a document without access to the platform."""
    read_document(file)
    return output.Report(
        const.EXIT_DONE, (f'{file}: valid',), ValidAnswer(valid=True)
    )


async def async_diff(context: CommandContext, file: str) -> int:
    """Show the differences between a document and the one in force."""
    submitted = read_document(file)
    in_force = await acceptance.async_read_in_force(context.client)
    changes = document.compare(in_force.document, submitted)
    lines = document.change_lines(changes) or ['no difference']
    answer: DiffAnswer = {
        'version': in_force.version,
        'base_version': submitted['base_version'],
        'changes': list(changes),
    }
    context.emit(output.Report(const.EXIT_DONE, tuple(lines), answer))
    return const.EXIT_DONE


async def async_apply(
    context: CommandContext,
    file: str,
    identifier: str,
    comment: str | None,
    confirmed: bool,
) -> int:
    """Put a document in force."""
    parsed = read_document(file)
    if comment is None:
        comment = parsed['comment']
    submitted = document.with_submission(
        parsed, context.operator, comment, identifier
    )
    accepted = await acceptance.async_accept(
        context.client,
        submitted,
        start_load_check(context, confirmed=confirmed),
        identifier,
    )
    return await async_report_and_record(context, accepted)


async def async_report_and_record(
    context: CommandContext, accepted: acceptance.Accepted
) -> int:
    """Report the acceptance without delay, then write its audit entry."""
    answer: AcceptedAnswer = {
        'accepted': True,
        'version': accepted.version,
        'latest_version': accepted.latest_version,
        'identifier': accepted.identifier,
    }
    line = f'accepted as version {accepted.version}'
    if accepted.latest_version != accepted.version:
        line = f'{line}; version {accepted.latest_version} followed'
    context.emit(output.Report(const.EXIT_DONE, (line,), answer))
    await acceptance.async_record(context.client, accepted)
    return const.EXIT_DONE


async def async_show(context: CommandContext) -> int:
    """Print the document in force as a draft for editing."""
    in_force = await acceptance.async_read_in_force(context.client)
    draft = document.draft(in_force.document, in_force.version)
    text = msgspec.json.format(msgspec.json.encode(draft)).decode()
    answer: ShowAnswer = {'version': in_force.version, 'document': draft}
    context.emit(output.Report(const.EXIT_DONE, (text,), answer))
    return const.EXIT_DONE


async def async_history(context: CommandContext, count: int) -> int:
    """List the accepted documents, newest first."""
    in_force = await acceptance.async_read_in_force(context.client)
    entries = await acceptance.async_read_history(
        context.client, in_force, count
    )
    lines: list[str] = []
    for entry in entries:
        lines.extend(acceptance.entry_lines(entry))
    answer: HistoryAnswer = {'version': in_force.version, 'entries': entries}
    context.emit(output.Report(const.EXIT_DONE, tuple(lines), answer))
    return const.EXIT_DONE


async def async_outcome(
    context: CommandContext, identifier: str, base_version: int
) -> int:
    """Query whether an attempt took effect."""
    accepted = await acceptance.async_read_outcome(
        context.client, identifier, base_version
    )
    return await async_report_and_record(context, accepted)


def start_load_check(
    context: CommandContext, *, confirmed: bool
) -> acceptance.Check:
    """Start querying the current load; return the guard rail check on it."""
    if confirmed:
        return acceptance.async_skip_check
    loads_task = asyncio.create_task(domain_load.async_query(context.instances))
    return acceptance.guard_rail_check(loads_task)
