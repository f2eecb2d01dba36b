"""Names and limits of the platform and its store."""

import typing

# Path of the settings file of a process.
ENVIRONMENT_VARIABLE: typing.Final = 'KUMQUATPORT_SETTINGS'

PATH_OBJECTS: typing.Final = 'objects'

# Replaces a slash in the name of an object.
NAME_SEPARATOR: typing.Final = ':'

ATTR_META: typing.Final = 'meta'
ATTR_NAME: typing.Final = 'Name'
ATTR_REVISION: typing.Final = 'Revision'
ATTR_SPEC: typing.Final = 'spec'

QUERY_AFTER: typing.Final = 'after'
QUERY_WATCH: typing.Final = 'Watch'
QUERY_WAIT_MS: typing.Final = 'WaitMs'

# Response header that counts how often the store was restored from a copy.
HEADER_ERA: typing.Final = 'Store-Era'

CALL_GET: typing.Final = 'get'
CALL_PUT: typing.Final = 'put'
CALL_POST: typing.Final = 'post'
CALL_DELETE: typing.Final = 'delete'
CALL_LIST: typing.Final = 'list'
CALL_WATCH: typing.Final = 'watch'

MAX_VALUE_BYTES: typing.Final = 1048576

STATUS_OK_LIMIT: typing.Final = 300
STATUS_MISSING: typing.Final = 404
STATUS_REQUEST_TIMEOUT: typing.Final = 408
STATUS_CONFLICT: typing.Final = 409
STATUS_HISTORY_GONE: typing.Final = 410
STATUS_SERVER_FAULT: typing.Final = 500
STATUS_UNAVAILABLE: typing.Final = 503

# Kinds and names of the objects that the operators write.
KIND_CONFIGURATION: typing.Final = 'config'
KIND_EVACUATIONS: typing.Final = 'evacuations'
NAME_CONFIGURATION: typing.Final = 'main'
