"""Terms of the requests of a route: priority, deadline, objective.

Route tables carry the terms as an entry of weight 0 ahead of the services of a
route. Builds that know no terms take it for a service without instances that
gets no flows, while they would reject a route with a further field.
"""

import functools
import math
import typing

# Prefix of the name of the entry that carries the terms.
ENTRY_PREFIX: typing.Final = '\0class='

MAX_PRIORITY: typing.Final = 255

# Largest deadline and objective, in seconds.
MAX_DURATION_S: typing.Final = 3600.0

# Priority of packets whose route states none: after all stated ones.
UNSTATED_PRIORITY: typing.Final = MAX_PRIORITY + 1

_SEPARATOR: typing.Final = ','


class RequestClass(typing.NamedTuple):
    """Terms of the requests of a route.

    Attributes:
        priority: Priority; 0 is the highest, ``MAX_PRIORITY`` the lowest.
        deadline_s: Seconds after which an answer has no value.
        objective_s: Seconds within which an answer is expected.
        is_repeatable: Whether a request may run more than once.
    """

    priority: int
    deadline_s: float
    objective_s: float
    is_repeatable: bool


def encode(terms: RequestClass) -> str:
    """Return the name of the entry that carries the terms."""
    fields = (
        str(terms.priority),
        repr(float(terms.deadline_s)),
        repr(float(terms.objective_s)),
        str(int(terms.is_repeatable)),
    )
    return ENTRY_PREFIX + _SEPARATOR.join(fields)


@functools.lru_cache(maxsize=1024)
def decode(name: str) -> RequestClass | None:
    """Return the terms that the name of an entry carries.

    Fields that a later build has appended are ignored.

    Returns:
        The terms; None if they are malformed or out of range.
    """
    fields = name.removeprefix(ENTRY_PREFIX).split(_SEPARATOR)
    try:
        terms = RequestClass(
            int(fields[0]),
            float(fields[1]),
            float(fields[2]),
            fields[3] == '1',
        )
    except (IndexError, ValueError):
        return None
    return terms if _is_valid(terms) else None


def _is_valid(terms: RequestClass) -> bool:
    durations = (terms.deadline_s, terms.objective_s)
    return 0 <= terms.priority <= MAX_PRIORITY and all(
        math.isfinite(seconds) and 0 < seconds <= MAX_DURATION_S
        for seconds in durations
    )
