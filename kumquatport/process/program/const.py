"""Exit codes and the time limit of a stop."""

import typing

EXIT_GRACEFUL: typing.Final = 0
EXIT_USAGE: typing.Final = 2
EXIT_CANNOT_START: typing.Final = 3
EXIT_FAULT: typing.Final = 4

STOP_TIMEOUT_S: typing.Final = 30.0
