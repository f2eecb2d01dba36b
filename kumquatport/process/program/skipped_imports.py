"""Skip modules that libraries import and these programs do not use.

This module takes effect when it is imported, which has to happen before the
libraries are. It also disables garbage collection during startup, since
importing modules leaves no garbage; the program calls ``gc.enable`` when all
is loaded.
"""

import gc
import importlib
import sys
import types
import typing
from collections import abc

# The libraries that import these treat them as optional. These programs use no
# TLS, and their log is JSON.
_BLOCKED_MODULES: typing.Final = (
    'ssl',
    'colorama',
    'better_exceptions',
    'rich',
)

# Imported by mode for services that run on a cron schedule.
_CRON_LIBRARY: typing.Final = 'croniter'


def skip_imports() -> None:
    """Block or defer the import of the unused modules."""
    for name in _BLOCKED_MODULES:
        sys.modules.setdefault(name, typing.cast(types.ModuleType, None))
    submodule = f'{_CRON_LIBRARY}.{_CRON_LIBRARY}'
    if submodule not in sys.modules:
        sys.modules[_CRON_LIBRARY] = types.ModuleType(_CRON_LIBRARY)
        sys.modules[submodule] = _deferred_module(submodule, _CRON_LIBRARY)


def _deferred_module(name: str, attribute: str) -> types.ModuleType:
    """Return a placeholder that imports the module on the first call.

    Args:
        name: Dotted name of the module.
        attribute: The only attribute of the placeholder, a callable.
    """

    def import_and_call(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:  # noqa: ANN401 - passed on unchanged
        package = name.partition('.')[0]
        for placeholder in (package, name):
            sys.modules.pop(placeholder, None)
        imported: abc.Callable[..., typing.Any] = getattr(
            importlib.import_module(name), attribute
        )
        return imported(*args, **kwargs)

    module = types.ModuleType(name)
    setattr(module, attribute, import_and_call)
    return module


gc.disable()
skip_imports()
