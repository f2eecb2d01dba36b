"""Constants of request handling."""

HEADER_CODE = 'x-kumquatport-code'
HEADER_DEADLINE = 'x-deadline'
HEADER_OUTCOME = 'x-kumquatport-outcome'
HEADER_RETRY = 'x-kumquatport-retry'
HEADER_RETRY_AFTER = 'retry-after'
HEADER_SERVICE = 'x-kumquatport-service'
HEADER_CLIENT_ACCOUNT = 'x-client-account'
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'

OUTCOME_NOT_RUN = 'not-run'
OUTCOME_UNKNOWN = 'unknown'

DEFAULT_CLIENT_ACCOUNT = 'default'
DEFAULT_CLASS = 'other'
DEFAULT_DEADLINE_S = 10.0
DEFAULT_SLOTS = 5
DEFAULT_CONNECTIONS = 2000
DEFAULT_QUEUE_S = 1.0
DEFAULT_QUEUE_LENGTH = 64
DEFAULT_RETRY_BUDGET = 0.1
DEFAULT_START_SHARE = 0.1
DEFAULT_DOUBLE_S = 2.0

STATE_STARTING = 'starting'
STATE_READY = 'ready'
STATE_LEAVING = 'leaving'

MAX_DEADLINE_S = 3600.0
MAX_HEADER_BYTES = 16384
MAX_HEADER_COUNT = 100
MAX_RETRY_AFTER_S = 30

# HTTP/3 error code for resetting the stream of an incomplete answer.
H3_INTERNAL_ERROR = 0x102

COUNT_REQUESTS = 'requests'
COUNT_ANSWERED = 'requests.answered'
COUNT_CANCELLED = 'requests.cancelled'
COUNT_REFUSED_PREFIX = 'refused.'
COUNT_UNKNOWN_PREFIX = 'unknown.'
COUNT_RETRIES = 'requests.retries'

GAUGE_INTERVAL_S = 1.0
GAUGE_IN_PROGRESS = 'requests.in_progress'
GAUGE_QUEUED = 'requests.queued'
GAUGE_LIMIT = 'requests.limit'
GAUGE_FEEDS = 'requests.feeds'
