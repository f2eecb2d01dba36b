"""Command line of the long-running programs."""

import argparse
import typing
from collections import abc

import kumquatport
from kumquatport.process.program import const

_EPILOG: typing.Final = """\
examples:
  {name} --settings {name}.yaml --check   check the settings and exit
  {name} --settings {name}.yaml           run until SIGTERM or SIGINT

signals:
  SIGTERM, SIGINT  stop gracefully: accept no new work and finish what is in
                   progress; a second signal stops at once

exit codes:
  {graceful}  stopped gracefully, or the settings passed --check
  {usage}  invalid usage or settings
  {cannot_start}  cannot start, for example a port is in use or the TLS key
     does not match
  {fault}  an error while running
"""


class Arguments(typing.NamedTuple):
    """Parsed options of the command line."""

    settings: str
    check: bool


def parse(
    name: str, description: str, argv: abc.Sequence[str] | None
) -> Arguments:
    """Parse a command line; exits with code 2 on invalid usage.

    Args:
        name: Name of the program.
        description: Sentence about the program for ``--help``.
        argv: Arguments without the program's name; None reads those of the
            process.
    """
    parser = _parser(name, description)
    options = parser.parse_args(argv)
    return Arguments(settings=options.settings, check=options.check)


def _parser(name: str, description: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=name,
        description=description,
        epilog=_EPILOG.format(
            name=name,
            graceful=const.EXIT_GRACEFUL,
            usage=const.EXIT_USAGE,
            cannot_start=const.EXIT_CANNOT_START,
            fault=const.EXIT_FAULT,
        ),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--settings',
        metavar='FILE',
        required=True,
        help='YAML file of this process; every key is in docs/SETTINGS.md',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit with 0 if they are valid, 2 if not',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'%(prog)s {kumquatport.__version__}',
    )
    return parser
