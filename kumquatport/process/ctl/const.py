"""Exit codes, settings keys, defaults and limits of kumquatportctl."""

import typing

PROGRAM: typing.Final = 'kumquatportctl'

EXIT_DONE: typing.Final = 0
EXIT_INVALID: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_NOT_KNOWN: typing.Final = 4
EXIT_UNAVAILABLE: typing.Final = 5
EXIT_GUARD_RAIL: typing.Final = 6

CONF_INSTANCES: typing.Final = 'instances'
CONF_OPERATOR: typing.Final = 'operator'
CONF_PLATFORM: typing.Final = 'platform'
CONF_TIMEOUT_S: typing.Final = 'timeout_s'
CONF_URL: typing.Final = 'url'

DEFAULT_OPERATOR: typing.Final = 'shell'
FILE_STANDARD_INPUT: typing.Final = '-'
MAX_HISTORY_COUNT: typing.Final = 200
