"""Constants of health reports."""

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 0.4
PATH = '/health'
MAX_REPORT_AGE_S = 2.0
UNREACHABLE_POLLS = 2

STATE_COLD = 'cold'
STATE_LEAVING = 'leaving'
