"""Samples, bounds and state of the concurrency limits."""

import enum
import types
import typing
from collections import abc


class Result(enum.Enum):
    """Result of an attempt as an indication of the backend server's load.

    ``overdue`` means that the attempt counts as slow but has not ended yet.
    """

    answered = 'answered'
    shed = 'shed'
    timed_out = 'timed_out'
    broken = 'broken'
    unreachable = 'unreachable'
    overdue = 'overdue'


class Sample(typing.NamedTuple):
    """One attempt at the backend server.

    Attributes:
        class_name: Class of the request; latencies are compared within it.
        latency_s: From sending to the first byte of the answer, in seconds.
        in_progress: Requests in progress when it was sent, this one included.
        result: Result of the attempt.
        at: When it ended, on the handler's clock.
        overdue: Whether it was reported before as ``overdue``.
    """

    class_name: str
    latency_s: float
    in_progress: int
    result: Result
    at: float
    overdue: bool = False


class Baseline(typing.NamedTuple):
    """Normal latency of a class.

    Attributes:
        latency_s: Mean latency, in seconds.
        deviation_s: Mean deviation from the mean latency, in seconds.
        samples: Number of samples included.
        at: When it was last updated.
    """

    latency_s: float
    deviation_s: float
    samples: int
    at: float


_NO_BASELINES: abc.Mapping[str, Baseline] = types.MappingProxyType({})


class State(typing.NamedTuple):
    """A limit and the state from which it is adjusted.

    A latency ratio is a latency divided by the baseline latency of its class.

    Attributes:
        value: Maximum number of requests in progress.
        grown_at: When growth was last applied.
        restarted_at: When the current slow start began.
        previous_value: The value before the last step up.
        baselines: Normal latency of each class.
        latency_ratio: Moving average of the latency ratios of all classes.
        decided_ratio: Mean latency ratio at the last growth decision.
        decided_at: When growth was last decided.
        samples_since_decision: Answers since the last growth decision.
        ratio_sum_since_decision: Sum of the latency ratios of these answers.
        window: The latest of these ratios, fewer than ``WINDOW_SAMPLES``.
        window_ratio: Mean of the last full window.
        baseline_confirmed: Whether the baselines are those of a warm server.
        slow_streak: Number of consecutive slow answers.
        backed_off_at: When the limit was last reduced after a failure.
        value_before_suspicion: The value before a suspected slowdown, 0 if
            none is suspected.
        trial_ratios: Latency ratios of requests sent since the suspicion.
    """

    value: float
    grown_at: float
    restarted_at: float
    previous_value: float = 1
    baselines: abc.Mapping[str, Baseline] = _NO_BASELINES
    latency_ratio: float = 1
    decided_ratio: float = 1
    decided_at: float = 0
    samples_since_decision: int = 0
    ratio_sum_since_decision: float = 0
    window: tuple[float, ...] = ()
    window_ratio: float = 1
    baseline_confirmed: bool = False
    slow_streak: int = 0
    backed_off_at: float = 0
    value_before_suspicion: float = 0
    trial_ratios: tuple[float, ...] = ()


class Bounds(typing.NamedTuple):
    """Bounds of the limit from the current document.

    Attributes:
        slots: Maximum number of requests in progress.
        start_share: Share of the slots that a slow start begins with.
        double_s: Shortest time in which the limit may double, in seconds.
    """

    slots: int
    start_share: float
    double_s: float

    @property
    def initial_limit(self) -> float:
        """Limit that a slow start begins with."""
        return max(self.slots * self.start_share, 1)


Step: typing.TypeAlias = abc.Callable[[State, Sample, Bounds], State]


def initial_state(bounds: Bounds, now: float) -> State:
    """Return the state of a limit without samples."""
    return State(
        value=bounds.initial_limit,
        grown_at=now,
        restarted_at=now,
        previous_value=bounds.initial_limit,
        decided_at=now,
    )
