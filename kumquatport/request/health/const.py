"""Constants of health reports."""

POLL_S = 0.5
TIMEOUT_S = 0.4
PATH = '/health'
FRESH_S = 2.0
UNREACHABLE_POLLS = 2

STATE_COLD = 'cold'
STATE_LEAVING = 'leaving'
