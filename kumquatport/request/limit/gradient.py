"""A limit that follows how far latency is from normal.

A server that is N times slower than normal bears about an Nth of its slots.
Before the first time that the server has been seen warm there is no normal:
the limit then grows from its start as latency falls, and doubles only after
latency has stayed the same for a while, so that no step is taken into a server
that is still warming.
"""

import math
from collections import abc

from kumquatport.request.limit import const, reference, sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Take one sample in and move the limit."""
    if observed.result is sample.Result.unreachable:
        return restart(state, observed.at, bounds)
    if observed.result is sample.Result.overdue:
        state = state._replace(streak=state.streak + 1)
    elif observed.result is sample.Result.answered:
        state = _learn(state, observed)
    else:
        return _back_off(state, observed, bounds)
    if state.streak >= const.STREAK_SLOW and state.value > bounds.start:
        return _suspect(state, observed, bounds)
    if observed.result is sample.Result.overdue:
        return state
    if state.suspended:
        state = _try_out(state, observed)
    if state.confirmed:
        return _follow(state, observed, bounds)
    return _explore(state, observed, bounds)


def restart(
    state: sample.State,
    now: float,
    bounds: sample.Bounds,
) -> sample.State:
    """Begin a slow start; what is known of a warm server is kept."""
    ratio = float(1)
    references = state.references
    if state.confirmed:
        ratio = _cold_ratio(bounds)
    else:
        references = {}
    return state._replace(
        value=bounds.start,
        previous=bounds.start,
        grown_at=now,
        restarted_at=now,
        references=references,
        ratio=ratio,
        settled_ratio=ratio,
        settled_at=now,
        settled_samples=0,
        settled_sum=0,
        block=(),
        block_ratio=ratio,
        streak=0,
        suspended=0,
        trial=(),
    )


def _suspect(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Start slowly, and remember where from: it may be a passing stall."""
    restarted = restart(state, observed.at, bounds)
    if not state.confirmed:
        return restarted
    return restarted._replace(suspended=max(state.value, state.suspended))


def _try_out(
    state: sample.State,
    observed: sample.Sample,
) -> sample.State:
    """Judge a suspicion by requests that were sent after it."""
    known = state.references.get(observed.class_name)
    sent_at = observed.at - observed.latency_s
    if known is None or sent_at < state.restarted_at:
        return state
    trial = (*state.trial, observed.latency_s / known.latency_s)
    if len(trial) < const.TRIAL_SAMPLES:
        return state._replace(trial=trial)
    ratio = _mean(trial)
    if ratio > const.RATIO_NORMAL:
        return state._replace(suspended=0, trial=())
    return state._replace(
        value=state.suspended,
        ratio=ratio,
        suspended=0,
        trial=(),
    )


def _learn(state: sample.State, observed: sample.Sample) -> sample.State:
    known = state.references.get(observed.class_name)
    ratio = state.ratio
    slow = False
    if known is not None and known.samples >= const.FIRST_SAMPLES:
        recent = observed.latency_s / known.latency_s
        ratio += (recent - ratio) * const.RECENT_WEIGHT
        slow = observed.latency_s > reference.slow_after_s(known)
    follow_s = _follow_s(state)
    learnt = reference.learn(known, observed, follow_s)
    return state._replace(
        references={**state.references, observed.class_name: learnt},
        ratio=ratio,
        streak=_streak(state, observed, slow),
    )


def _streak(
    state: sample.State,
    observed: sample.Sample,
    slow: bool,
) -> int:
    if observed.overdue:
        return state.streak
    return state.streak + 1 if slow else 0


def _follow_s(state: sample.State) -> float:
    if not state.confirmed:
        return math.inf
    if state.ratio > const.RATIO_STEP_FAILED:
        return const.FOLLOW_SLOW_S
    return const.FOLLOW_NORMAL_S


def _follow(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Move towards the share of the slots that latency speaks for."""
    target = bounds.slots * const.RATIO_TOLERANCE / state.ratio
    elapsed_s = observed.at - state.grown_at
    fastest = state.value * 2 ** min(elapsed_s / bounds.double_s, 1)
    value = min(target, fastest, bounds.slots)
    return state._replace(
        value=max(value, bounds.start),
        grown_at=observed.at,
    )


def _explore(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Grow step by step while no normal latency is known."""
    state = _fill_block(state, observed)
    if _step_failed(state):
        return _settle(state, observed.at, state.previous)
    warmed = bounds.start * const.RATIO_TOLERANCE / state.ratio
    if warmed > state.value:
        state = state._replace(value=min(warmed, bounds.slots))
    if observed.at - state.settled_at < bounds.double_s:
        return state
    change = abs(_mean_ratio(state) / state.settled_ratio - 1)
    if change > const.RATIO_STABLE:
        return _settle(state, observed.at, state.value)
    if state.value >= bounds.slots:
        return _confirm(state)
    if observed.in_progress < int(state.value):
        return state
    return _settle(state, observed.at, min(state.value * 2, bounds.slots))


def _fill_block(
    state: sample.State,
    observed: sample.Sample,
) -> sample.State:
    known = state.references[observed.class_name]
    ratio = observed.latency_s / known.latency_s
    block = (*state.block, ratio)
    state = state._replace(
        settled_samples=state.settled_samples + 1,
        settled_sum=state.settled_sum + ratio,
        block=block,
    )
    if len(block) < const.BLOCK_SAMPLES:
        return state
    return state._replace(block=(), block_ratio=_mean(block))


def _step_failed(state: sample.State) -> bool:
    """Tell whether a whole block since the last step up is slower."""
    if state.block or state.value <= state.previous:
        return False
    return state.block_ratio > state.settled_ratio * const.RATIO_STEP_FAILED


def _mean_ratio(state: sample.State) -> float:
    """Return the mean since growth was last decided, or of a block before.

    A part of a block is too little: a normal latency that is learnt from it
    is up to a sixth too low, and the limit then stays under the slots.
    """
    if state.settled_samples < const.MIN_BLOCK_SAMPLES:
        return state.block_ratio
    return state.settled_sum / state.settled_samples


def _mean(ratios: tuple[float, ...]) -> float:
    return sum(ratios) / len(ratios)


def _settle(
    state: sample.State,
    now: float,
    value: float,
) -> sample.State:
    ratio = _mean_ratio(state)
    return state._replace(
        value=value,
        previous=min(state.value, value),
        settled_ratio=ratio,
        settled_at=now,
        settled_samples=0,
        settled_sum=0,
        block=(),
        block_ratio=ratio,
    )


def _confirm(state: sample.State) -> sample.State:
    return state._replace(
        references=_scaled(state.references, _mean_ratio(state)),
        ratio=1,
        confirmed=True,
    )


def _scaled(
    references: abc.Mapping[str, sample.Reference],
    factor: float,
) -> abc.Mapping[str, sample.Reference]:
    return {
        name: reference.scale(known, factor)
        for name, known in references.items()
    }


def _back_off(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Shrink upon a refusal, time-out or break, once for each round."""
    if observed.at - state.backed_off_at < _round_s(state, observed):
        return state
    value = max(state.value * const.BACK_OFF, bounds.start)
    worst = max(_cold_ratio(bounds), state.ratio)
    return _settle(state, observed.at, value)._replace(
        grown_at=observed.at,
        backed_off_at=observed.at,
        ratio=min(state.ratio / const.BACK_OFF, worst),
    )


def _round_s(state: sample.State, observed: sample.Sample) -> float:
    """Return how long a round of requests takes; refusals come sooner."""
    known = state.references.get(observed.class_name)
    if known is None:
        return observed.latency_s
    return max(known.latency_s, observed.latency_s)


def _cold_ratio(bounds: sample.Bounds) -> float:
    """Return the ratio that speaks for the start of a slow start."""
    return bounds.slots * const.RATIO_TOLERANCE / bounds.start
