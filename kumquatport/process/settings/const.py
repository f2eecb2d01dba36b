"""Keys, defaults and limits of the settings files."""

import typing

CONF_ADDRESS: typing.Final = 'address'
CONF_BACKEND_SERVER: typing.Final = 'backend_server'
CONF_CERTIFICATE: typing.Final = 'certificate'
CONF_CONTROL_PORT: typing.Final = 'control_port'
CONF_DATA_PORT: typing.Final = 'data_port'
CONF_FAILURE_DOMAIN: typing.Final = 'failure_domain'
CONF_FORMAT: typing.Final = 'format'
CONF_HOST: typing.Final = 'host'
CONF_INSTANCE: typing.Final = 'instance'
CONF_INSTANCES: typing.Final = 'instances'
CONF_KEY: typing.Final = 'key'
CONF_LEVEL: typing.Final = 'level'
CONF_LISTEN: typing.Final = 'listen'
CONF_LISTEN_ADDRESS: typing.Final = 'listen_address'
CONF_LOG: typing.Final = 'log'
CONF_NAME: typing.Final = 'name'
CONF_OPERATORS: typing.Final = 'operators'
CONF_PASSWORD_HASH: typing.Final = 'password_hash'
CONF_PLATFORM: typing.Final = 'platform'
CONF_PORT: typing.Final = 'port'
CONF_PREFIX: typing.Final = 'prefix'
CONF_REGION: typing.Final = 'region'
CONF_SEEDS: typing.Final = 'seeds'
CONF_SERVICE: typing.Final = 'service'
CONF_SESSION_KEY_FILE: typing.Final = 'session_key_file'
CONF_SHARED_KEY_FILE: typing.Final = 'shared_key_file'
CONF_STATSD: typing.Final = 'statsd'
CONF_STATUS_PORT: typing.Final = 'status_port'
CONF_TIMEOUT_S: typing.Final = 'timeout_s'
CONF_TLS: typing.Final = 'tls'
CONF_URL: typing.Final = 'url'

LOG_FORMATS: typing.Final = ('json', 'console')
LOG_LEVELS: typing.Final = ('debug', 'info', 'warning', 'error')

DEFAULT_LOG_FORMAT: typing.Final = 'json'
DEFAULT_LOG_LEVEL: typing.Final = 'info'
DEFAULT_PLATFORM_TIMEOUT_S: typing.Final = 2.0
DEFAULT_STATSD_HOST: typing.Final = '127.0.0.1'
DEFAULT_STATSD_PORT: typing.Final = 8125
DEFAULT_STATSD_PREFIX: typing.Final = 'kumquatport'

KEY_BYTES: typing.Final = 32
MAX_SETTINGS_BYTES: typing.Final = 262_144
MAX_PLATFORM_TIMEOUT_S: typing.Final = 60.0
MAX_SEEDS: typing.Final = 64
