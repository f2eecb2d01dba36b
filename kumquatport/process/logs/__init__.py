"""Log of a process: structlog lines to standard error."""

from __future__ import annotations

import logging
import sys
import typing

import mode
import structlog

from kumquatport.process.logs import const, output, processors

if typing.TYPE_CHECKING:
    # Settings bring in the reader of YAML, which not every program needs.
    from kumquatport.process.settings import models


def setup(log: models.LogSettings) -> None:
    """Send structlog's and the libraries' lines to standard error.

    Args:
        log: Form and lowest level of the lines.
    """
    level = logging.getLevelNamesMapping()[log.level.upper()]
    shared = processors.shared()
    structlog.configure(
        processors=[*shared, processors.renderer(log.format)],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    # Services tell of each start and stop; that is for level debug.
    mode.Service.mundane_level = const.LEVEL_DEBUG
    _configure_library_loggers(log.format, level, shared)


def bind(instance: str, failure_domain: str) -> None:
    """Put the instance and its failure domain on every later line."""
    structlog.contextvars.bind_contextvars(
        **{
            const.ATTR_INSTANCE: instance,
            const.ATTR_FAILURE_DOMAIN: failure_domain,
        }
    )


def _configure_library_loggers(
    form: str, level: int, shared: list[structlog.typing.Processor]
) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                processors.renderer(form),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    quiet = level if level <= logging.DEBUG else logging.WARNING
    for name in const.VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(max(quiet, level))


def setup_stdout(level: str) -> None:
    """Send structlog's lines to standard output, and never wait for it.

    Args:
        level: Lowest level of the lines.
    """
    structlog.configure(
        processors=[*processors.shared(), processors.fast_json_renderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(output.open_stdout()),
        cache_logger_on_first_use=True,
    )
    mode.Service.mundane_level = const.LEVEL_DEBUG
    root = logging.getLogger()
    root.handlers = [logging.NullHandler()]
