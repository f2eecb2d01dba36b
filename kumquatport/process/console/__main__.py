"""Entry point of kumquatport-console."""

import sys

from kumquatport.process import program, settings
from kumquatport.process.console import service


def main() -> int:
    """Run a console and return its exit code."""
    return program.run(
        'kumquatport-console',
        settings.load_console,
        service.Console,
        description='Serves the forms with which operators change what is in '
        'force.',
    )


if __name__ == '__main__':
    sys.exit(main())
