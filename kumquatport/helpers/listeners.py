"""Registry of change callbacks, called in the order of subscription."""

import functools
import typing
from collections import abc

_Callback = typing.TypeVar('_Callback', bound=abc.Callable[..., None])


class Listeners(typing.Generic[_Callback]):
    """Callbacks that are subscribed to a source of changes."""

    def __init__(self) -> None:
        """Initialize without callbacks."""
        self._callbacks: list[_Callback] = []

    def subscribe(self, callback: _Callback) -> abc.Callable[[], None]:
        """Add a callback.

        Args:
            callback: Called with the arguments of ``notify``.

        Returns:
            A function that cancels the subscription; further calls do nothing.
        """
        self._callbacks.append(callback)
        return functools.partial(self._unsubscribe, callback)

    def notify(self, *changed: typing.Any) -> None:
        """Call each callback with the given arguments."""
        for callback in tuple(self._callbacks):
            callback(*changed)

    def _unsubscribe(self, callback: _Callback) -> None:
        if callback in self._callbacks:
            self._callbacks.remove(callback)
