"""Steps that each log line goes through."""

import sys

import msgspec
import structlog

from kumquatport import exceptions
from kumquatport.process.logs import const


def shared() -> list[structlog.typing.Processor]:
    """Return the steps before rendering."""
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        format_expected_error,
        structlog.processors.format_exc_info,
    ]


def renderer(form: str) -> structlog.typing.Processor:
    """Return the last step, which makes text of a line's fields.

    Args:
        form: ``json`` or ``console``.
    """
    if form == const.FORMAT_JSON:
        return structlog.processors.JSONRenderer(default=repr)
    return structlog.dev.ConsoleRenderer(colors=False)


def format_expected_error(
    _logger: object, _method: str, event_dict: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Render an expected error as its code and text, without a traceback.

    Expected are the project's own errors and those of the operating
    system; any other error keeps its traceback.
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
    info = event_dict.get('exc_info')
    if info is True:
        return sys.exception()
    if isinstance(info, tuple):
        return info[1]
    return info


def fast_json_renderer() -> structlog.typing.Processor:
    """Return the last step that makes one JSON line by a fast encoder."""

    def render(
        _logger: object, _method: str, event_dict: structlog.typing.EventDict
    ) -> str:
        return msgspec.json.encode(event_dict, enc_hook=repr).decode('utf-8')

    return render
