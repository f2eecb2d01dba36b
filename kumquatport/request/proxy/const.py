"""Constants of the way to the backend server."""

CONNECT_TIMEOUT_S = 1.0
IDLE_BODY_S = 30.0
STALLED_CALLER_S = 60.0
KEEPALIVE_S = 15.0
READ_BUFFER_BYTES = 65536
MAX_PREFETCH_BYTES = 65536
MAX_KEPT_ANSWER_BYTES = 65536
MAX_TRIES = 3
RETRY_PAUSE_S = 0.05
STATUS_SHED = 503

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
OWN_PREFIX = 'x-kumquatport-'
