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
_ABSENT: typing.Final = ('ssl', 'colorama', 'better_exceptions', 'rich')

# Imported by mode for services that run by a timetable.
_TIMETABLES: typing.Final = 'croniter'


def omit() -> None:
    """Have the modules not loaded from now on."""
    for name in _ABSENT:
        sys.modules.setdefault(name, typing.cast(types.ModuleType, None))
    inner = f'{_TIMETABLES}.{_TIMETABLES}'
    if inner not in sys.modules:
        sys.modules[_TIMETABLES] = types.ModuleType(_TIMETABLES)
        sys.modules[inner] = _deferred(inner, _TIMETABLES)


def _deferred(name: str, attribute: str) -> types.ModuleType:
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
omit()
