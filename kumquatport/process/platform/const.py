"""Names and limits of the platform's object API."""

ATTR_DELETED = 'deleted'
ATTR_KEY = 'key'
ATTR_OBJECTS = 'objects'
ATTR_REVISION = 'revision'
ATTR_VALUE = 'value'
ATTR_VERSION = 'version'

HEADER_IF_MATCH = 'If-Match'
HEADER_IF_NONE_MATCH = 'If-None-Match'
HEADER_VERSION = 'X-Object-Version'

CALL_GET = 'get'
CALL_PUT = 'put'
CALL_DELETE = 'delete'
CALL_LIST = 'list'
CALL_WATCH = 'watch'

MAX_VALUE_BYTES = 1048576

STATUS_OK_LIMIT = 300
STATUS_MISSING = 404
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONFLICT = 412
STATUS_SERVER_FAULT = 500
