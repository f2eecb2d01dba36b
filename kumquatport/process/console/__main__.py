"""Entry point of kumquatport-console."""

import sys

from kumquatport.process import settings
from kumquatport.process.console import service
from kumquatport.process.program import entry
from kumquatport.process.settings import models
from kumquatport.process.tls import source


def main() -> int:
    """Run the console and return its exit code."""
    return entry.run(
        'kumquatport-console',
        settings.load_console,
        service.Console,
        description='Serves the forms with which operators change what is in '
        'force.',
        check=_check,
    )


def _check(console_settings: models.ConsoleSettings) -> None:
    if console_settings.tls is not None:
        source.load_from_files(console_settings.tls)


if __name__ == '__main__':
    sys.exit(main())
