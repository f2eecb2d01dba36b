"""Leave out modules that libraries load and these programs do not use.

Import it before the libraries. It also holds garbage collections back until
all is loaded, since modules leave none behind; ``gc.enable`` ends that.
"""

import gc
import importlib
import sys
import types
import typing
from collections import abc

# Optional for the libraries that ask for them. Nothing here speaks TLS, and
# the log is JSON.
_BLOCKED_MODULES: typing.Final = (
    'ssl',
    'colorama',
    'better_exceptions',
    'rich',
)

# Imported by mode for services that run by a timetable.
_CRON_LIBRARY: typing.Final = 'croniter'


def skip_imports() -> None:
    """Have the modules not loaded from now on."""
    for name in _BLOCKED_MODULES:
        sys.modules.setdefault(name, typing.cast(types.ModuleType, None))
    inner = f'{_CRON_LIBRARY}.{_CRON_LIBRARY}'
    if inner not in sys.modules:
        sys.modules[_CRON_LIBRARY] = types.ModuleType(_CRON_LIBRARY)
        sys.modules[inner] = _deferred_module(inner, _CRON_LIBRARY)


def _deferred_module(name: str, attribute: str) -> types.ModuleType:
    """Return a module that is loaded when its one attribute is called."""

    def load(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:  # noqa: ANN401 - as the real one
        package = name.partition('.')[0]
        for placeholder in (package, name):
            sys.modules.pop(placeholder, None)
        real: abc.Callable[..., typing.Any] = getattr(
            importlib.import_module(name), attribute
        )
        return real(*args, **kwargs)

    module = types.ModuleType(name)
    setattr(module, attribute, load)
    return module


gc.disable()
skip_imports()
