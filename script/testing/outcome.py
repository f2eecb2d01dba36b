"""What became of one test."""

import typing


class Outcome(typing.NamedTuple):
    """One test's end.

    Attributes:
        test: ``unit:ID`` or ``FILE.feature: SCENARIO``.
        passed: Whether it ran to its end and passed; a skipped test did not.
        detail: What was seen; empty when it passed.
    """

    test: str
    passed: bool
    detail: str


class Report(typing.NamedTuple):
    """The outcomes of the unit tests, or of one feature file."""

    name: str
    outcomes: list[Outcome]
    seconds: float


def failure(test: str, detail: str) -> Outcome:
    """Return the outcome of a test that did not pass."""
    return Outcome(test, passed=False, detail=detail)
