"""Verbs about whole documents: check, compare, apply, show, history."""

import asyncio
import pathlib
import sys
import typing

import msgspec

from kumquatport import exceptions, objects
from kumquatport.process.ctl import const, output
from kumquatport.process.load import source
from kumquatport.version import acceptance, document


class CommandContext(typing.NamedTuple):
    """One call of the command line, ready to run.

    Attributes:
        client: Access to the platform.
        operator: Name for the audit.
        instances: Roots of instances' status servers.
        emit: Prints a report.
    """

    client: objects.ObjectStore
    operator: str
    instances: tuple[str, ...]
    emit: output.Emit


class AcceptedAnswer(typing.TypedDict):
    """An acceptance, for scripts."""

    accepted: bool
    version: int
    latest_version: int
    identifier: str


class ValidAnswer(typing.TypedDict):
    """A valid document, for scripts."""

    valid: bool


class DiffAnswer(typing.TypedDict):
    """Differences against what is in force, for scripts."""

    version: int
    base_version: int
    changes: list[document.Change]


class ShowAnswer(typing.TypedDict):
    """The document in force, for scripts."""

    version: int
    document: document.Document


class HistoryAnswer(typing.TypedDict):
    """What was accepted, newest first, for scripts."""

    version: int
    entries: list[acceptance.AuditEntry]


def read_document(file: str) -> document.Document:
    """Read and check a document from a file or standard input.

    Raises:
        DocumentRejectedError: Names every fault.
    """
    try:
        if file == const.FILE_STANDARD_INPUT:
            return document.parse(sys.stdin.buffer.read())
        return document.parse(pathlib.Path(file).read_bytes())
    except OSError as error:
        fault = exceptions.Fault(file, f'expected a readable file: {error}')
        raise exceptions.DocumentRejectedError((fault,)) from error


def validate(file: str) -> output.Report:
    """Check a document without the platform."""
    read_document(file)
    return output.Report(
        const.EXIT_DONE, (f'{file}: valid',), ValidAnswer(valid=True)
    )


async def async_diff(call: CommandContext, file: str) -> int:
    """Show how a document differs from what is in force."""
    submitted = read_document(file)
    in_force = await acceptance.async_read_in_force(call.client)
    changes = document.compare(in_force.document, submitted)
    lines = document.change_lines(changes) or ['no difference']
    answer: DiffAnswer = {
        'version': in_force.version,
        'base_version': submitted['base_version'],
        'changes': list(changes),
    }
    call.emit(output.Report(const.EXIT_DONE, tuple(lines), answer))
    return const.EXIT_DONE


async def async_apply(
    call: CommandContext,
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
        parsed, call.operator, comment, identifier
    )
    accepted = await acceptance.async_accept(
        call.client,
        submitted,
        start_load_check(call, confirmed=confirmed),
        identifier,
    )
    return await async_report_and_record(call, accepted)


async def async_report_and_record(
    call: CommandContext, accepted: acceptance.Accepted
) -> int:
    """Tell of an acceptance at once, then write its audit entry."""
    answer: AcceptedAnswer = {
        'accepted': True,
        'version': accepted.version,
        'latest_version': accepted.latest_version,
        'identifier': accepted.identifier,
    }
    line = f'accepted as version {accepted.version}'
    if accepted.latest_version != accepted.version:
        line = f'{line}; version {accepted.latest_version} followed'
    call.emit(output.Report(const.EXIT_DONE, (line,), answer))
    await acceptance.async_record(call.client, accepted)
    return const.EXIT_DONE


async def async_show(call: CommandContext) -> int:
    """Print the document in force in the form in which it is edited."""
    in_force = await acceptance.async_read_in_force(call.client)
    draft = document.draft(in_force.document, in_force.version)
    text = msgspec.json.format(msgspec.json.encode(draft)).decode()
    answer: ShowAnswer = {'version': in_force.version, 'document': draft}
    call.emit(output.Report(const.EXIT_DONE, (text,), answer))
    return const.EXIT_DONE


async def async_history(call: CommandContext, count: int) -> int:
    """List what was accepted, newest first."""
    in_force = await acceptance.async_read_in_force(call.client)
    entries = await acceptance.async_read_history(call.client, in_force, count)
    lines: list[str] = []
    for entry in entries:
        lines.extend(acceptance.entry_lines(entry))
    answer: HistoryAnswer = {'version': in_force.version, 'entries': entries}
    call.emit(output.Report(const.EXIT_DONE, tuple(lines), answer))
    return const.EXIT_DONE


async def async_outcome(
    call: CommandContext, identifier: str, base_version: int
) -> int:
    """Ask whether an attempt took effect."""
    accepted = await acceptance.async_read_outcome(
        call.client, identifier, base_version
    )
    return await async_report_and_record(call, accepted)


def start_load_check(
    call: CommandContext, *, confirmed: bool
) -> acceptance.Check:
    """Start to ask for the present load; return the check that uses it."""
    if confirmed:
        return acceptance.async_skip_check
    asked = asyncio.create_task(source.async_loads(call.instances))
    return acceptance.guard_rail_check(asked)
