"""structlog processors of each log line."""

import sys

import msgspec
import structlog

from kumquatport import exceptions
from kumquatport.process.logs import const


def shared() -> list[structlog.typing.Processor]:
    """Return the processors that run before the renderer."""
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        format_expected_error,
        structlog.processors.format_exc_info,
    ]


def renderer(log_format: str) -> structlog.typing.Processor:
    """Return the processor that renders the fields of a line as text.

    Args:
        log_format: ``json`` or ``console``.
    """
    if log_format == const.FORMAT_JSON:
        return structlog.processors.JSONRenderer(default=repr)
    return structlog.dev.ConsoleRenderer(colors=False)


def format_expected_error(
    _logger: object, _method: str, event_dict: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Replace an expected error by its code and text, without a traceback.

    Expected errors are those of this project, which have a code, and those of
    the operating system. Any other error keeps its traceback.
    """
    error = _error_of(event_dict)
    if isinstance(error, exceptions.KumquatportError):
        event_dict[const.ATTR_CODE] = error.code
    elif not isinstance(error, OSError):
        return event_dict
    event_dict.pop('exc_info', None)
    event_dict[const.ATTR_ERROR] = str(error) or repr(error)
    return event_dict


def _error_of(event_dict: structlog.typing.EventDict) -> object:
    error = event_dict.get(const.ATTR_ERROR)
    if error is not None:
        return error
    exc_info = event_dict.get('exc_info')
    if exc_info is True:
        return sys.exception()
    if isinstance(exc_info, tuple):
        return exc_info[1]
    return exc_info


def fast_json_renderer() -> structlog.typing.Processor:
    """Return a processor that renders a line as JSON with msgspec."""

    def render(
        _logger: object, _method: str, event_dict: structlog.typing.EventDict
    ) -> str:
        return msgspec.json.encode(event_dict, enc_hook=repr).decode('utf-8')

    return render
