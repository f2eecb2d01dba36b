"""Constants of forwarding to the backend server."""

CONNECT_TIMEOUT_S = 1.0
BODY_IDLE_TIMEOUT_S = 30.0
CALLER_WRITE_TIMEOUT_S = 60.0
KEEPALIVE_TIMEOUT_S = 15.0
READ_BUFFER_BYTES = 65536
MAX_PREFETCH_BYTES = 65536
MAX_STORED_ANSWER_BYTES = 65536
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05
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
RESERVED_HEADER_PREFIX = 'x-kumquatport-'
