"""Callbacks that follow a change, in the order of their subscription."""

import functools
import typing
from collections import abc

_Callback = typing.TypeVar('_Callback', bound=abc.Callable[..., None])


class Listeners(typing.Generic[_Callback]):
    """The callbacks of one source of changes."""

    def __init__(self) -> None:
        """Start without callbacks."""
        self._callbacks: list[_Callback] = []

    def subscribe(self, callback: _Callback) -> abc.Callable[[], None]:
        """Add a callback.

        Args:
            callback: Called with what ``notify`` is given.

        Returns:
            A function that ends the subscription; more calls do nothing.
        """
        self._callbacks.append(callback)
        return functools.partial(self._unsubscribe, callback)

    def notify(self, *changed: typing.Any) -> None:
        """Call each callback."""
        for callback in tuple(self._callbacks):
            callback(*changed)

    def _unsubscribe(self, callback: _Callback) -> None:
        if callback in self._callbacks:
            self._callbacks.remove(callback)
