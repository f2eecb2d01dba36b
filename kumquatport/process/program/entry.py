"""Entry point that the programs share."""

import asyncio
import sys
import typing
from collections import abc

import mode
import structlog

from kumquatport import exceptions
from kumquatport.process import logs
from kumquatport.process.program import arguments, const, runner
from kumquatport.process.settings import const as settings_const
from kumquatport.process.settings import models

_LOGGER = structlog.get_logger(__name__)


class HasCommonSettings(typing.Protocol):
    """Settings of any program; all have a common section."""

    @property
    def common(self) -> models.CommonSettings:
        """Settings that every program has."""


SettingsT = typing.TypeVar('SettingsT', bound=HasCommonSettings)


def run(
    name: str,
    load: abc.Callable[[str], SettingsT],
    make_service: abc.Callable[[SettingsT], mode.Service],
    *,
    description: str = '',
    check: abc.Callable[[SettingsT], None] | None = None,
    argv: abc.Sequence[str] | None = None,
) -> int:
    """Run a program until it stops.

    Args:
        name: Name of the command.
        load: Loads the settings from a path; raises ``SettingsError``.
        make_service: Builds the root service; called in the running event loop.
        description: One sentence for ``--help``.
        check: Additional checks for ``--check``; raises a
            ``KumquatportError``. None skips them.
        argv: Arguments without the program's name; None reads those of the
            process.

    Returns:
        The exit code, see ``docs/OPERATING.md``.
    """
    options = arguments.parse(name, description, argv)
    _setup_startup_log()
    try:
        settings = load(options.settings)
        if options.check and check is not None:
            check(settings)
    except exceptions.KumquatportError as err:
        _LOGGER.error('Settings refused', error=err, program=name)
        return const.EXIT_USAGE
    if options.check:
        _LOGGER.info('Settings accepted', program=name)
        return const.EXIT_GRACEFUL
    common = settings.common
    logs.setup(common.log)
    logs.bind(common.instance, common.failure_domain)
    return asyncio.run(runner.async_run(lambda: make_service(settings)))


def _setup_startup_log() -> None:
    """Set up the log that is used until the settings are loaded."""
    log_format = 'console' if sys.stderr.isatty() else 'json'
    logs.setup(
        models.LogSettings(
            format=log_format, level=settings_const.DEFAULT_LOG_LEVEL
        )
    )
