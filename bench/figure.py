"""Measured figures and their bounds."""

import typing


class Figure(typing.NamedTuple):
    """A measured figure, printed under these field names.

    Attributes:
        name: Stable name.
        value: Measured value.
        unit: Unit of value and bound.
        bound: Allowed maximum or minimum; ``None`` if there is none.
        ok: Whether the value is within the bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None
    ok: bool


def at_most(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure with a maximum."""
    return Figure(name, round(value, 4), unit, bound, value <= bound)


def at_least(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure with a minimum."""
    return Figure(name, round(value, 4), unit, bound, value >= bound)


def unbounded(name: str, value: float, unit: str) -> Figure:
    """Return a figure without a bound."""
    return Figure(name, round(value, 4), unit, None, True)
