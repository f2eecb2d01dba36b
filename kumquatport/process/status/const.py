"""Paths and limits of the status server."""

import typing

PATH_STATUS: typing.Final = '/status'
PATH_METRICS: typing.Final = '/metrics.json'

MAX_LISTED_MEMBERS: typing.Final = 256
MAX_REQUEST_BYTES: typing.Final = 1024
SHUTDOWN_TIMEOUT_S: typing.Final = 1.0
