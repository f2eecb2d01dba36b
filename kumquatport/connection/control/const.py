"""Constants of control messages."""

import typing

PROTOCOL_VERSION: typing.Final = 1
HEADER_BYTES: typing.Final = 2
NONCE_BYTES: typing.Final = 8
MAC_BYTES: typing.Final = 16
MAX_FRAME_BYTES: typing.Final = 1048576 + 65536

KEY_PURPOSE: typing.Final = b'control'
KEY_BYTES: typing.Final = 32

KIND_ERROR_REPLY: typing.Final = 1

SERVER_CONTEXTS: typing.Final = 8
MAX_SOCKETS: typing.Final = 64
MAX_REQUESTS: typing.Final = 128
RECONNECT_MIN_MS: typing.Final = 100
RECONNECT_MAX_MS: typing.Final = 1000

NNG_TASK_THREADS: typing.Final = 2
NNG_OTHER_THREADS: typing.Final = 1
