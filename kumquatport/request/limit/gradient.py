"""A limit that follows the ratio of recent to normal latency.

A server that is N times slower than normal gets about 1/N of its slots. Until
the server has been observed warm for the first time there is no baseline. The
limit then grows from its initial value as latency falls, and doubles only
after latency has been stable for a while, so that load is never doubled on a
server that is still warming up.
"""

import math
from collections import abc

from kumquatport.request.limit import baseline, const, sample


def step(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Return the state after one sample."""
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
    """Begin a slow start; baselines are kept only if confirmed."""
    ratio = float(1)
    baselines = state.baselines
    if state.baseline_confirmed:
        ratio = _cold_ratio(bounds)
    else:
        baselines = {}
    return state._replace(
        value=bounds.initial_limit,
        previous_value=bounds.initial_limit,
        grown_at=now,
        restarted_at=now,
        baselines=baselines,
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
    """Begin a slow start, but keep the value in case of a short stall."""
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
    """Confirm or dismiss a suspicion by requests sent after it was raised."""
    class_baseline = state.baselines.get(observed.class_name)
    sent_at = observed.at - observed.latency_s
    if class_baseline is None or sent_at < state.restarted_at:
        return state
    trial_ratios = (
        *state.trial_ratios,
        observed.latency_s / class_baseline.latency_s,
    )
    if len(trial_ratios) < const.TRIAL_SAMPLES:
        return state._replace(trial_ratios=trial_ratios)
    ratio = _mean(trial_ratios)
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
    class_baseline = state.baselines.get(observed.class_name)
    ratio = state.latency_ratio
    slow = False
    if (
        class_baseline is not None
        and class_baseline.samples >= const.MIN_BASELINE_SAMPLES
    ):
        recent = observed.latency_s / class_baseline.latency_s
        ratio += (recent - ratio) * const.RATIO_EWMA_WEIGHT
        slow = observed.latency_s > baseline.slow_threshold_s(class_baseline)
    time_constant_s = _time_constant_s(state)
    updated = baseline.update(class_baseline, observed, time_constant_s)
    return state._replace(
        baselines={**state.baselines, observed.class_name: updated},
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
    """Move the limit towards the slots divided by the latency ratio."""
    target = bounds.slots * const.RATIO_TOLERANCE / state.latency_ratio
    elapsed_s = observed.at - state.grown_at
    max_value = state.value * 2 ** min(elapsed_s / bounds.double_s, 1)
    value = min(target, max_value, bounds.slots)
    return state._replace(
        value=max(value, bounds.initial_limit),
        grown_at=observed.at,
    )


def _grow_without_baseline(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Grow in steps while no baseline is confirmed."""
    state = _add_to_window(state, observed)
    if _is_step_failed(state):
        return _decide(state, observed.at, state.previous_value)
    warm_value = (
        bounds.initial_limit * const.RATIO_TOLERANCE / state.latency_ratio
    )
    if warm_value > state.value:
        state = state._replace(value=min(warm_value, bounds.slots))
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
    class_baseline = state.baselines[observed.class_name]
    ratio = observed.latency_s / class_baseline.latency_s
    window = (*state.window, ratio)
    state = state._replace(
        samples_since_decision=state.samples_since_decision + 1,
        ratio_sum_since_decision=state.ratio_sum_since_decision + ratio,
        window=window,
    )
    if len(window) < const.WINDOW_SAMPLES:
        return state
    return state._replace(window=(), window_ratio=_mean(window))


def _is_step_failed(state: sample.State) -> bool:
    """Return whether a full window since the last step up was slower."""
    if state.window or state.value <= state.previous_value:
        return False
    return state.window_ratio > state.decided_ratio * const.FAILED_STEP_RATIO


def _mean_ratio(state: sample.State) -> float:
    """Return the mean latency ratio since the last growth decision.

    With too few samples, the mean of the last full window is returned. A
    baseline from part of a window is up to a sixth too low, which would keep
    the limit below the number of slots.
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
    baselines: abc.Mapping[str, sample.Baseline],
    factor: float,
) -> abc.Mapping[str, sample.Baseline]:
    return {
        name: baseline.scale(class_baseline, factor)
        for name, class_baseline in baselines.items()
    }


def _back_off(
    state: sample.State,
    observed: sample.Sample,
    bounds: sample.Bounds,
) -> sample.State:
    """Reduce the limit after a failed attempt, once per round of requests."""
    if observed.at - state.backed_off_at < _backoff_interval_s(state, observed):
        return state
    value = max(state.value * const.BACKOFF_FACTOR, bounds.initial_limit)
    max_ratio = max(_cold_ratio(bounds), state.latency_ratio)
    return _decide(state, observed.at, value)._replace(
        grown_at=observed.at,
        backed_off_at=observed.at,
        latency_ratio=min(
            state.latency_ratio / const.BACKOFF_FACTOR, max_ratio
        ),
    )


def _backoff_interval_s(state: sample.State, observed: sample.Sample) -> float:
    """Return the duration of a round of requests, in seconds.

    The baseline is the lower bound: refusals arrive sooner than answers.
    """
    class_baseline = state.baselines.get(observed.class_name)
    if class_baseline is None:
        return observed.latency_s
    return max(class_baseline.latency_s, observed.latency_s)


def _cold_ratio(bounds: sample.Bounds) -> float:
    """Return the latency ratio that corresponds to the initial limit."""
    return bounds.slots * const.RATIO_TOLERANCE / bounds.initial_limit
