"""Command line of the programs that run as services."""

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
  SIGTERM, SIGINT  stop gracefully: take no new work, finish what is open;
                   a second one stops at once

exit codes:
  {graceful}  stopped gracefully, or the settings passed --check
  {usage}  wrong usage or settings
  {cannot_start}  cannot start, for example a port is taken or TLS does not fit
  {fault}  a fault while running
"""


class Arguments(typing.NamedTuple):
    """What the command line asked for."""

    settings: str
    check: bool


def parse(
    name: str, description: str, argv: abc.Sequence[str] | None
) -> Arguments:
    """Parse a command line; wrong usage exits with code 2.

    Args:
        name: Name of the program.
        description: What the program does.
        argv: Arguments without the program's name; None for the process's.
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
        help='check the settings and exit: 0 good, 2 not',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'%(prog)s {kumquatport.__version__}',
    )
    return parser
