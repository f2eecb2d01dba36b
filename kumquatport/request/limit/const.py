"""Constants of the limits on requests in progress."""

# Weight of one sample in the recent latency.
RATIO_EWMA_WEIGHT = 0.1
# Weight of one sample in the deviation, as for TCP's round-trip times.
DEVIATION_EWMA_WEIGHT = 0.0625
SLOW_DEVIATIONS = 4
SLOW_RATIO = 2
SLOW_STREAK = 3

# Answers after which a suspicion is upheld or dropped.
TRIAL_SAMPLES = 3
MAX_NORMAL_RATIO = 1.5

# Answers over which a mean is taken before a step is judged.
WINDOW_SAMPLES = 25
MIN_WINDOW_SAMPLES = 8

MIN_BASELINE_SAMPLES = 8
RATIO_TOLERANCE = 1.25
FAILED_STEP_RATIO = 1.25
STABLE_RATIO_CHANGE = 0.15

# How fast the normal latency follows the measured one.
BASELINE_TIME_CONSTANT_S = 30.0
SLOW_BASELINE_TIME_CONSTANT_S = 200.0
MAX_BASELINE_WEIGHT = 0.05

BACKOFF_FACTOR = 0.7
AIMD_BACKOFF_FACTOR = 0.5
UNLIMITED = 100000.0
