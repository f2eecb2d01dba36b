"""What a limit learns from, and what it remembers."""

import enum
import types
import typing
from collections import abc


class Result(enum.Enum):
    """How an attempt at the backend server went, as far as load goes.

    ``overdue`` says that it is slow already and not ended yet.
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
        class_name: Latencies are compared within a class.
        latency_s: From sending to the first byte of the answer, in seconds.
        in_progress: Requests in progress when it was sent, itself included.
        result: How it ended.
        at: When it ended, on the handler's clock.
        overdue: Whether an ``overdue`` sample of it went before.
    """

    class_name: str
    latency_s: float
    in_progress: int
    result: Result
    at: float
    overdue: bool = False


class Baseline(typing.NamedTuple):
    """The latency of a class that counts as normal.

    Attributes:
        latency_s: Mean, in seconds.
        deviation_s: Mean deviation from it, in seconds.
        samples: How many it has been learnt from.
        at: When it was last updated.
    """

    latency_s: float
    deviation_s: float
    samples: int
    at: float


_NO_BASELINES: abc.Mapping[str, Baseline] = types.MappingProxyType({})


class State(typing.NamedTuple):
    """A limit and what it remembers.

    Attributes:
        value: Requests that may be in progress.
        grown_at: When growth was last counted.
        restarted_at: When the slow start began.
        previous: The value before the last step up.
        references: Normal latency of each class.
        ratio: Recent latency over normal latency, all classes together.
        settled_ratio: Mean ratio when growth was last decided.
        settled_at: When it was last decided.
        settled_samples: Answers since then.
        settled_sum: Sum of their ratios.
        block: The latest of these, at most ``BLOCK_SAMPLES``.
        block_ratio: Mean of the last full block.
        confirmed: Whether the references are those of a warm server.
        streak: Slow answers in a row.
        backed_off_at: When it last shrank upon a failure.
        suspended: The value before a suspicion, 0 if there is none.
        trial: Ratios of the answers to requests sent since the suspicion.
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
    """What the document says of the limit.

    Attributes:
        slots: Most requests in progress.
        start_share: Share of the slots used at a cold start.
        double_s: Shortest time in which the limit may double, in seconds.
    """

    slots: int
    start_share: float
    double_s: float

    @property
    def initial_limit(self) -> float:
        """Requests in progress at a cold start."""
        return max(self.slots * self.start_share, 1)


Step: typing.TypeAlias = abc.Callable[[State, Sample, Bounds], State]


def initial_state(bounds: Bounds, now: float) -> State:
    """Return the state of a limit that knows nothing yet."""
    return State(
        value=bounds.initial_limit,
        grown_at=now,
        restarted_at=now,
        previous_value=bounds.initial_limit,
        decided_at=now,
    )
