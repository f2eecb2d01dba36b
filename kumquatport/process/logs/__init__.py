"""Logging of a process with structlog, to standard error or output."""

from __future__ import annotations

import logging
import sys
import typing

import mode
import structlog

from kumquatport.process.logs import const, output, processors

if typing.TYPE_CHECKING:
    # Importing the settings also imports the YAML parser, which not every
    # program needs.
    from kumquatport.process.settings import models


def setup(log: models.LogSettings) -> None:
    """Log to standard error, including the lines of the libraries.

    Args:
        log: Format and lowest level of the lines.
    """
    level = logging.getLevelNamesMapping()[log.level.upper()]
    shared = processors.shared()
    structlog.configure(
        processors=[*shared, processors.renderer(log.format)],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    # Services log each start and stop; log those at level debug.
    mode.Service.mundane_level = const.LEVEL_DEBUG
    _configure_library_loggers(log.format, level, shared)


def bind(instance: str, failure_domain: str) -> None:
    """Add the instance and its failure domain to every later line."""
    structlog.contextvars.bind_contextvars(
        **{
            const.ATTR_INSTANCE: instance,
            const.ATTR_FAILURE_DOMAIN: failure_domain,
        }
    )


def _configure_library_loggers(
    log_format: str, level: int, shared: list[structlog.typing.Processor]
) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                processors.renderer(log_format),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    library_level = level if level <= logging.DEBUG else logging.WARNING
    for name in const.VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(max(library_level, level))


def setup_stdout(level: str) -> None:
    """Log to standard output without ever blocking on it.

    Lines that libraries log with ``logging`` are discarded.

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
