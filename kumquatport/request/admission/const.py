"""Constants of admission."""

# Slot time assumed for a class before its first answer.
INITIAL_COST_S = 0.01
COST_EWMA_WEIGHT = 0.1
# Retry-After is spread so that refused callers don't come back together.
RETRY_AFTER_JITTER_S = 1.0
# Share of the longest wait above which new flows are passed on.
MAX_QUEUE_PRESSURE = 0.5
# Share of the longest wait that is allowed while the queue does not empty.
STANDING_QUEUE_WAIT_SHARE = 0.1
# Requests that hold a slot for longer leave one to other classes.
LONG_RUNNING_S = 2.0
# For so long after another class had work.
RECENT_ARRIVAL_S = 60.0
# Longest time for which opening one feed holds up the next.
FEED_OPENING_TURN_S = 0.5
