"""Constants of the limits on requests in progress."""

# Weight of one sample in the recent latency.
RECENT_WEIGHT = 0.1
# Weight of one sample in the deviation, as for TCP's round-trip times.
DEVIATION_WEIGHT = 0.0625
DEVIATIONS_SLOW = 4
RATIO_SLOW = 2
STREAK_SLOW = 3

# Answers after which a suspicion is upheld or dropped.
TRIAL_SAMPLES = 3
RATIO_NORMAL = 1.5

# Answers over which a mean is taken before a step is judged.
BLOCK_SAMPLES = 25
MIN_BLOCK_SAMPLES = 8

FIRST_SAMPLES = 8
RATIO_TOLERANCE = 1.25
RATIO_STEP_FAILED = 1.25
RATIO_STABLE = 0.15

# How fast the normal latency follows the measured one.
FOLLOW_NORMAL_S = 30.0
FOLLOW_SLOW_S = 200.0
MAX_FOLLOW_WEIGHT = 0.05

BACK_OFF = 0.7
AIMD_BACK_OFF = 0.5
UNLIMITED = 100000.0
