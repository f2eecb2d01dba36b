"""Constants shared by several subsystems."""

import typing

KIND_BALANCER: typing.Final = 'balancer'
KIND_AGENT: typing.Final = 'agent'
KIND_CONSOLE: typing.Final = 'console'

NANOSECONDS_PER_SECOND: typing.Final = 1_000_000_000
MICROSECONDS_PER_SECOND: typing.Final = 1_000_000

MAX_PORT: typing.Final = 65535
MAX_NAME_CHARACTERS: typing.Final = 63

PLATFORM_REFERENCE_PREFIX: typing.Final = 'platform:'
