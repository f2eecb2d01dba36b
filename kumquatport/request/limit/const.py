"""Constants of the concurrency limits."""

# Weight of one sample in the moving average of the latency ratio.
RATIO_EWMA_WEIGHT = 0.1
# Weight of one sample in the mean deviation, as in TCP's RTT estimation.
DEVIATION_EWMA_WEIGHT = 0.0625
# A slow answer exceeds both this many deviations and this latency ratio.
SLOW_DEVIATIONS = 4
SLOW_RATIO = 2
# Consecutive slow answers that raise the suspicion of a slowdown.
SLOW_STREAK = 3

# Answers after which a suspicion is confirmed or dismissed.
TRIAL_SAMPLES = 3
MAX_NORMAL_RATIO = 1.5

# Answers whose mean latency ratio decides whether a step up has failed.
WINDOW_SAMPLES = 25
MIN_WINDOW_SAMPLES = 8

MIN_BASELINE_SAMPLES = 8
RATIO_TOLERANCE = 1.25
FAILED_STEP_RATIO = 1.25
STABLE_RATIO_CHANGE = 0.15

# How fast the baseline follows a lasting change of latency; slower while the
# latency ratio is high.
BASELINE_TIME_CONSTANT_S = 30.0
SLOW_BASELINE_TIME_CONSTANT_S = 200.0
MAX_BASELINE_WEIGHT = 0.05

BACKOFF_FACTOR = 0.7
AIMD_BACKOFF_FACTOR = 0.5
UNLIMITED = 100000.0
