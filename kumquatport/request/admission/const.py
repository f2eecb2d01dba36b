"""Constants of admission control."""

# Slot time assumed for a class before its first request has finished.
INITIAL_COST_S = 0.01
COST_EWMA_WEIGHT = 0.1
# Random jitter on Retry-After keeps refused callers from returning together.
RETRY_AFTER_JITTER_S = 1.0
# Queue pressure (0 to 1) above which new flows go to another agent.
MAX_QUEUE_PRESSURE = 0.5
# Share of the maximum wait allowed in a queue that does not empty.
STANDING_QUEUE_WAIT_SHARE = 0.1
# Classes with a longer slot time leave one slot to other classes.
LONG_RUNNING_S = 2.0
# How long after its last arrival a class counts as having work.
RECENT_ARRIVAL_S = 60.0
# Longest time for which a feed that does not begin delays the next one.
FEED_OPENING_TURN_S = 0.5
