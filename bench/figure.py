"""One measured figure and its bound."""

import typing


class Figure(typing.NamedTuple):
    """A measured figure.

    Attributes:
        name: Stable name.
        value: As measured.
        unit: Unit of value and bound.
        bound: Most or least that is allowed; ``None`` where there is none.
        ok: Whether the value keeps to the bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None
    ok: bool


def at_most(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure that may not exceed its bound."""
    return Figure(name, round(value, 4), unit, bound, value <= bound)


def at_least(name: str, value: float, unit: str, bound: float) -> Figure:
    """Return a figure that may not fall below its bound."""
    return Figure(name, round(value, 4), unit, bound, value >= bound)


def unbounded(name: str, value: float, unit: str) -> Figure:
    """Return a figure without a bound."""
    return Figure(name, round(value, 4), unit, None, True)
