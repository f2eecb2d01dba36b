"""Periods and limits of TLS material."""

import typing

FILE_POLL_S: typing.Final = 2.0
# The platform counts each read, and every agent would make this one.
PLATFORM_POLL_S: typing.Final = 900.0
# Bounds of the waits for a platform that is down at start.
FIRST_RETRY_S: typing.Final = 0.5
LAST_RETRY_S: typing.Final = 10.0
MAX_PEM_BYTES: typing.Final = 32_768
EXPIRY_WARNING_DAYS: typing.Final = 14
