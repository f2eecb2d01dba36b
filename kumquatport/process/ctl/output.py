"""Output of a verb: text for people, JSON for scripts and an exit code."""

import sys
import typing
from collections import abc

import msgspec

from kumquatport import exceptions
from kumquatport.process.ctl import const
from kumquatport.version import acceptance, document


class Report(typing.NamedTuple):
    """Output of a verb.

    Attributes:
        exit_code: One of ``const.EXIT_*``.
        lines: Text output.
        answer: JSON output; any object that can be encoded as JSON.
    """

    exit_code: int
    lines: tuple[str, ...]
    answer: object


class ErrorAnswer(typing.TypedDict):
    """JSON output of a failed verb.

    Attributes:
        error: Stable error code.
        message: Error message for people.
        faults: Faults of a rejected document.
        concerns: Concerns of a guard rail that held the document back.
        identifier: Identifier of an attempt whose outcome is not known.
        base_version: Base version of that attempt.
        in_force: On a conflict, the document in force.
        submitted: On a conflict, the document that did not take effect.
        version: On a conflict, the version in force.
    """

    error: str
    message: str
    faults: typing.NotRequired[list[exceptions.Fault]]
    concerns: typing.NotRequired[list[document.Concern]]
    identifier: typing.NotRequired[str]
    base_version: typing.NotRequired[int]
    in_force: typing.NotRequired[document.Document]
    submitted: typing.NotRequired[document.Document | None]
    version: typing.NotRequired[int]


Emit = abc.Callable[[Report], None]

_EXIT_CODES: typing.Final = (
    (acceptance.GuardRailError, const.EXIT_GUARD_RAIL),
    (exceptions.OutcomeUnknownError, const.EXIT_NOT_KNOWN),
    (exceptions.VersionConflictError, const.EXIT_CONFLICT),
    (exceptions.PlatformUnavailableError, const.EXIT_UNAVAILABLE),
)


def emit(report: Report, *, as_json: bool) -> None:
    """Print a report; text output of failures goes to standard error."""
    if as_json:
        encoded = msgspec.json.format(msgspec.json.encode(report.answer))
        print(encoded.decode(), flush=True)
        return
    stream = sys.stderr if report.exit_code else sys.stdout
    for line in report.lines:
        print(line, file=stream, flush=True)


def error_report(error: exceptions.KumquatportError) -> Report:
    """Return the report for an error."""
    answer: ErrorAnswer = {'error': error.code, 'message': str(error)}
    lines = [f'{error.code}: {error}']
    if isinstance(error, exceptions.DocumentRejectedError):
        answer['faults'] = list(error.faults)
        lines = [f'{fault.path}: {fault.reason}' for fault in error.faults]
    elif isinstance(error, acceptance.GuardRailError):
        answer['concerns'] = list(error.concerns)
        lines.append('nothing was sent; repeat with --confirm to do it anyway')
    elif isinstance(error, acceptance.AcceptanceUnknownError):
        lines.append(_add_unknown_outcome(answer, error))
    elif isinstance(error, acceptance.AcceptanceConflictError):
        lines.extend(_add_conflict(answer, error))
    return Report(_exit_code(error), tuple(lines), answer)


def _add_unknown_outcome(
    answer: ErrorAnswer, error: acceptance.AcceptanceUnknownError
) -> str:
    answer['identifier'] = error.identifier
    answer['base_version'] = error.base_version
    return (
        f'ask again: {const.PROGRAM} outcome '
        f'{error.identifier} {error.base_version}'
    )


def _add_conflict(
    answer: ErrorAnswer, error: acceptance.AcceptanceConflictError
) -> list[str]:
    answer['version'] = error.in_force.version
    answer['in_force'] = error.in_force.document
    answer['submitted'] = error.submitted
    if error.submitted is None:
        return ['nothing of this document took effect']
    changes = document.compare(error.in_force.document, error.submitted)
    return [
        'nothing of this document took effect; it differs from what is in '
        'force by:',
        *document.change_lines(changes),
    ]


def _exit_code(error: exceptions.KumquatportError) -> int:
    for error_class, exit_code in _EXIT_CODES:
        if isinstance(error, error_class):
            return exit_code
    return const.EXIT_INVALID
