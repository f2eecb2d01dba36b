"""Names of log fields, and limits of the log."""

import typing

ATTR_CODE: typing.Final = 'code'
ATTR_ERROR: typing.Final = 'error'
ATTR_FAILURE_DOMAIN: typing.Final = 'failure_domain'
ATTR_INSTANCE: typing.Final = 'instance'

FORMAT_JSON: typing.Final = 'json'
LEVEL_DEBUG: typing.Final = 'debug'

# Libraries that log each start and stop, or each request, at level info.
VERBOSE_LOGGERS: typing.Final = ('mode', 'aiohttp.access', 'quic', 'asyncio')

MAX_FAULT_KEYS: typing.Final = 1024
