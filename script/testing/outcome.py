"""Outcomes of tests."""

import typing


class Outcome(typing.NamedTuple):
    """Outcome of one test.

    Attributes:
        test: ``unit:ID`` or ``FILE.feature: SCENARIO``.
        passed: Whether the test ran and passed; false for a skipped test.
        detail: Description of the failure; empty if the test passed.
    """

    test: str
    passed: bool
    detail: str


class Report(typing.NamedTuple):
    """Outcomes of the unit tests or of one feature file."""

    name: str
    outcomes: list[Outcome]
    seconds: float


def failure(test: str, detail: str) -> Outcome:
    """Return the outcome of a test that did not pass."""
    return Outcome(test, passed=False, detail=detail)
