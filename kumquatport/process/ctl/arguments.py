"""Command line of kumquatportctl."""

import argparse
import typing
from collections import abc

import kumquatport
from kumquatport.process.ctl import const
from kumquatport.version.acceptance import const as acceptance_const

_EPILOG: typing.Final = """\
examples:
  kumquatportctl --platform URL show > document.json
  kumquatportctl --platform URL apply document.json
  kumquatportctl --platform URL domain out accra-a
  kumquatportctl recovery --logs *.log
  kumquatportctl explain '100.64.0.7:40001>198.18.0.1:443' --logs *.log
  kumquatportctl placement '100.64.0.7:40001>198.18.0.1:443' --at URL

exit codes:
  0  done
  2  wrong usage or settings, or the document is not valid
  3  conflict: another document took effect, this one did not
  4  not known yet whether the document took effect; ask with: outcome
  5  the platform or a balancer did not answer; nothing was changed
  6  a guard rail held the change back; repeat with --confirm
"""


# Verbs that run without access to the platform.
_OFFLINE_VERBS: typing.Final = frozenset(
    ('validate', 'explain', 'recovery', 'placement')
)


def parse(argv: abc.Sequence[str] | None) -> argparse.Namespace:
    """Parse a command line; exits with code 2 on wrong usage.

    Args:
        argv: Arguments without the program name; None for those of the
            process.
    """
    parser = _parser()
    options = parser.parse_args(argv)
    needs_platform = options.verb not in _OFFLINE_VERBS
    if needs_platform and not options.settings and not options.platform:
        parser.error('one of --settings and --platform is required')
    return options


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=const.PROGRAM,
        description='Reads and changes the configuration in force.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--settings', metavar='FILE', help='YAML file that names the platform'
    )
    parser.add_argument(
        '--platform', metavar='URL', help='root of the platform'
    )
    parser.add_argument('--operator', metavar='NAME', help='name for the audit')
    parser.add_argument(
        '--json', action='store_true', help='answer JSON on standard output'
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'%(prog)s {kumquatport.__version__}',
    )
    verbs = parser.add_subparsers(dest='verb', required=True, metavar='VERB')
    _add_document_verbs(verbs)
    _add_query_verbs(verbs)
    _add_domain_verbs(verbs)
    return parser


def _add_document_verbs(verbs: typing.Any) -> None:
    validate = verbs.add_parser('validate', help='check a document')
    diff = verbs.add_parser(
        'diff', help='show how a document differs from what is in force'
    )
    apply = verbs.add_parser('apply', help='put a document in force')
    for verb in (validate, diff, apply):
        verb.add_argument('file', help='JSON file; - for standard input')
    apply.add_argument(
        '--identifier',
        default='',
        help='repeat the attempt of this identifier, whose outcome is open',
    )
    apply.add_argument('--comment', help='why, in place of the comment in FILE')
    _add_confirm(apply)


def _add_query_verbs(verbs: typing.Any) -> None:
    verbs.add_parser('show', help='print the document in force, for editing')
    history = verbs.add_parser('history', help='list what was accepted')
    history.add_argument(
        '--count',
        type=_count,
        default=acceptance_const.DEFAULT_HISTORY_COUNT,
        help='most versions to look at',
    )
    outcome = verbs.add_parser(
        'outcome', help='ask whether an attempt took effect'
    )
    outcome.add_argument('identifier', help='of the attempt')
    outcome.add_argument('base', type=int, help='version it was made on')
    status = verbs.add_parser('status', help='what is in force, and where')
    _add_instances(status)
    explain = verbs.add_parser(
        'explain', help='put what was logged about one flow in order'
    )
    explain.add_argument(
        'flow', help='as logged, CLIENT:PORT>ADDRESS:PORT, or CLIENT:PORT'
    )
    _add_logs(explain)
    recovery = verbs.add_parser(
        'recovery', help='show how many processes came back, by stages'
    )
    recovery.add_argument(
        '--since',
        metavar='TIME',
        default='',
        help='ISO time to count from; else the first start',
    )
    _add_logs(recovery)
    placement = verbs.add_parser(
        'placement', help='ask balancers where a flow would be sent, and why'
    )
    placement.add_argument('flow', help='CLIENT:PORT>SERVICE:PORT')
    placement.add_argument(
        '--at',
        metavar='URL',
        action='append',
        required=True,
        help="root of a balancer's metrics server; may be repeated",
    )


def _add_logs(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        '--logs',
        metavar='FILE',
        nargs='+',
        required=True,
        help='logs of the processes, a JSON object a line',
    )


def _add_domain_verbs(verbs: typing.Any) -> None:
    domain = verbs.add_parser('domain', help='take a failure domain out or in')
    directions = domain.add_subparsers(
        dest='direction', required=True, metavar='out|in'
    )
    for direction, help_text in (
        ('out', 'it receives no more packets'),
        ('in', 'it takes work again'),
    ):
        verb = directions.add_parser(direction, help=help_text)
        verb.add_argument('name', help='of the failure domain')
        verb.add_argument('--comment', default='', help='why, for the audit')
        _add_confirm(verb)


def _add_confirm(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        '--confirm',
        action='store_true',
        help='do it although a guard rail would hold it back',
    )
    _add_instances(verb)


def _add_instances(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        '--instance',
        metavar='URL',
        action='append',
        default=[],
        help="root of an instance's status server; may be repeated",
    )


def _count(text: str) -> int:
    number = int(text)
    if not 1 <= number <= const.MAX_HISTORY_COUNT:
        raise argparse.ArgumentTypeError(
            f'expected 1 to {const.MAX_HISTORY_COUNT}'
        )
    return number
