"""Poll intervals and limits of TLS certificates and keys."""

import typing

FILE_POLL_S: typing.Final = 2.0
# The platform counts each read, and every agent polls.
PLATFORM_POLL_S: typing.Final = 900.0
# First and longest delay between retries while the platform is unavailable at
# startup.
FIRST_RETRY_S: typing.Final = 0.5
LAST_RETRY_S: typing.Final = 10.0
MAX_PEM_BYTES: typing.Final = 32_768
EXPIRY_WARNING_DAYS: typing.Final = 14
