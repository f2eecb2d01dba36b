"""A limit that follows how far latency is from normal.

A server that is N times slower than normal bears about an Nth of its slots.
Before the first time that the server has been seen warm there is no normal:
the limit then grows from its start as latency falls, and doubles only after
latency has stayed the same for a while, so that no step is taken into a server
that is still warming.
"""

import math
from collections import abc

from kumquatport.request.limit import baseline, const, sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Take one sample in and move the limit."""
    if observed.result is sample.Result.unreachable:
        return restart(state, observed.at, bounds)
    if observed.result is sample.Result.overdue:
        state = state._replace(slow_streak=state.slow_streak + 1)
    elif observed.result is sample.Result.answered:
        state = _update_baseline(state, observed)
    else:
        return _back_off(state, observed, bounds)
    if (
        state.slow_streak >= const.SLOW_STREAK
        and state.value > bounds.initial_limit
    ):
        return _suspect_slowdown(state, observed, bounds)
    if observed.result is sample.Result.overdue:
        return state
    if state.value_before_suspicion:
        state = _judge_suspicion(state, observed)
    if state.baseline_confirmed:
        return _track_latency(state, observed, bounds)
    return _grow_without_baseline(state, observed, bounds)


def restart(
    state: sample.State,
    now: float,
    bounds: sample.Bounds,
) -> sample.State:
    """Begin a slow start; what is known of a warm server is kept."""
    ratio = float(1)
    references = state.baselines
    if state.baseline_confirmed:
        ratio = _cold_ratio(bounds)
    else:
        references = {}
    return state._replace(
        value=bounds.initial_limit,
        previous_value=bounds.initial_limit,
        grown_at=now,
        restarted_at=now,
        baselines=references,
        latency_ratio=ratio,
        decided_ratio=ratio,
        decided_at=now,
        samples_since_decision=0,
        ratio_sum_since_decision=0,
        window=(),
        window_ratio=ratio,
        slow_streak=0,
        value_before_suspicion=0,
        trial_ratios=(),
    )


def _suspect_slowdown(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Start slowly, and remember where from: it may be a passing stall."""
    restarted = restart(state, observed.at, bounds)
    if not state.baseline_confirmed:
        return restarted
    return restarted._replace(
        value_before_suspicion=max(state.value, state.value_before_suspicion)
    )


def _judge_suspicion(
    state: sample.State,
    observed: sample.Sample,
) -> sample.State:
    """Judge a suspicion by requests that were sent after it."""
    known = state.baselines.get(observed.class_name)
    sent_at = observed.at - observed.latency_s
    if known is None or sent_at < state.restarted_at:
        return state
    trial = (*state.trial_ratios, observed.latency_s / known.latency_s)
    if len(trial) < const.TRIAL_SAMPLES:
        return state._replace(trial_ratios=trial)
    ratio = _mean(trial)
    if ratio > const.MAX_NORMAL_RATIO:
        return state._replace(value_before_suspicion=0, trial_ratios=())
    return state._replace(
        value=state.value_before_suspicion,
        latency_ratio=ratio,
        value_before_suspicion=0,
        trial_ratios=(),
    )


def _update_baseline(
    state: sample.State, observed: sample.Sample
) -> sample.State:
    known = state.baselines.get(observed.class_name)
    ratio = state.latency_ratio
    slow = False
    if known is not None and known.samples >= const.MIN_BASELINE_SAMPLES:
        recent = observed.latency_s / known.latency_s
        ratio += (recent - ratio) * const.RATIO_EWMA_WEIGHT
        slow = observed.latency_s > baseline.slow_threshold_s(known)
    follow_s = _time_constant_s(state)
    learnt = baseline.update(known, observed, follow_s)
    return state._replace(
        baselines={**state.baselines, observed.class_name: learnt},
        latency_ratio=ratio,
        slow_streak=_next_slow_streak(state, observed, slow),
    )


def _next_slow_streak(
    state: sample.State,
    observed: sample.Sample,
    slow: bool,
) -> int:
    if observed.overdue:
        return state.slow_streak
    return state.slow_streak + 1 if slow else 0


def _time_constant_s(state: sample.State) -> float:
    if not state.baseline_confirmed:
        return math.inf
    if state.latency_ratio > const.FAILED_STEP_RATIO:
        return const.SLOW_BASELINE_TIME_CONSTANT_S
    return const.BASELINE_TIME_CONSTANT_S


def _track_latency(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Move towards the share of the slots that latency speaks for."""
    target = bounds.slots * const.RATIO_TOLERANCE / state.latency_ratio
    elapsed_s = observed.at - state.grown_at
    fastest = state.value * 2 ** min(elapsed_s / bounds.double_s, 1)
    value = min(target, fastest, bounds.slots)
    return state._replace(
        value=max(value, bounds.initial_limit),
        grown_at=observed.at,
    )


def _grow_without_baseline(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Grow step by step while no normal latency is known."""
    state = _add_to_window(state, observed)
    if _is_step_failed(state):
        return _decide(state, observed.at, state.previous_value)
    warmed = bounds.initial_limit * const.RATIO_TOLERANCE / state.latency_ratio
    if warmed > state.value:
        state = state._replace(value=min(warmed, bounds.slots))
    if observed.at - state.decided_at < bounds.double_s:
        return state
    change = abs(_mean_ratio(state) / state.decided_ratio - 1)
    if change > const.STABLE_RATIO_CHANGE:
        return _decide(state, observed.at, state.value)
    if state.value >= bounds.slots:
        return _confirm_baseline(state)
    if observed.in_progress < int(state.value):
        return state
    return _decide(state, observed.at, min(state.value * 2, bounds.slots))


def _add_to_window(
    state: sample.State,
    observed: sample.Sample,
) -> sample.State:
    known = state.baselines[observed.class_name]
    ratio = observed.latency_s / known.latency_s
    block = (*state.window, ratio)
    state = state._replace(
        samples_since_decision=state.samples_since_decision + 1,
        ratio_sum_since_decision=state.ratio_sum_since_decision + ratio,
        window=block,
    )
    if len(block) < const.WINDOW_SAMPLES:
        return state
    return state._replace(window=(), window_ratio=_mean(block))


def _is_step_failed(state: sample.State) -> bool:
    """Tell whether a whole block since the last step up is slower."""
    if state.window or state.value <= state.previous_value:
        return False
    return state.window_ratio > state.decided_ratio * const.FAILED_STEP_RATIO


def _mean_ratio(state: sample.State) -> float:
    """Return the mean since growth was last decided, or of a block before.

    A part of a block is too little: a normal latency that is learnt from it
    is up to a sixth too low, and the limit then stays under the slots.
    """
    if state.samples_since_decision < const.MIN_WINDOW_SAMPLES:
        return state.window_ratio
    return state.ratio_sum_since_decision / state.samples_since_decision


def _mean(ratios: tuple[float, ...]) -> float:
    return sum(ratios) / len(ratios)


def _decide(
    state: sample.State,
    now: float,
    value: float,
) -> sample.State:
    ratio = _mean_ratio(state)
    return state._replace(
        value=value,
        previous_value=min(state.value, value),
        decided_ratio=ratio,
        decided_at=now,
        samples_since_decision=0,
        ratio_sum_since_decision=0,
        window=(),
        window_ratio=ratio,
    )


def _confirm_baseline(state: sample.State) -> sample.State:
    return state._replace(
        baselines=_scale_baselines(state.baselines, _mean_ratio(state)),
        latency_ratio=1,
        baseline_confirmed=True,
    )


def _scale_baselines(
    references: abc.Mapping[str, sample.Baseline],
    factor: float,
) -> abc.Mapping[str, sample.Baseline]:
    return {
        name: baseline.scale(known, factor)
        for name, known in references.items()
    }


def _back_off(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Shrink upon a refusal, time-out or break, once for each round."""
    if observed.at - state.backed_off_at < _backoff_interval_s(state, observed):
        return state
    value = max(state.value * const.BACKOFF_FACTOR, bounds.initial_limit)
    worst = max(_cold_ratio(bounds), state.latency_ratio)
    return _decide(state, observed.at, value)._replace(
        grown_at=observed.at,
        backed_off_at=observed.at,
        latency_ratio=min(state.latency_ratio / const.BACKOFF_FACTOR, worst),
    )


def _backoff_interval_s(state: sample.State, observed: sample.Sample) -> float:
    """Return how long a round of requests takes; refusals come sooner."""
    known = state.baselines.get(observed.class_name)
    if known is None:
        return observed.latency_s
    return max(known.latency_s, observed.latency_s)


def _cold_ratio(bounds: sample.Bounds) -> float:
    """Return the ratio that speaks for the start of a slow start."""
    return bounds.slots * const.RATIO_TOLERANCE / bounds.initial_limit
