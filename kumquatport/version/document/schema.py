"""Schema of the configuration document."""

import typing

import voluptuous

from kumquatport.version.document import composite, const, fields

LIMITS = voluptuous.Schema(
    {
        voluptuous.Optional(
            const.CONF_SLOTS, default=const.DEFAULT_SLOTS
        ): fields.integer(1, const.MAX_SLOTS),
        voluptuous.Optional(
            const.CONF_CONNECTIONS, default=const.DEFAULT_CONNECTIONS
        ): fields.integer(1, const.MAX_CONNECTIONS),
        voluptuous.Optional(
            const.CONF_QUEUE_S, default=const.DEFAULT_QUEUE_S
        ): fields.number(0, const.MAX_QUEUE_S),
        voluptuous.Optional(
            const.CONF_RETRY_BUDGET, default=const.DEFAULT_RETRY_BUDGET
        ): fields.number(0, 1),
        voluptuous.Optional(
            const.CONF_QUEUE_LENGTH, default=const.DEFAULT_QUEUE_LENGTH
        ): fields.integer(0, const.MAX_QUEUE_LENGTH),
    },
)

RAMP = voluptuous.Schema(
    {
        voluptuous.Optional(
            const.CONF_START_SHARE, default=const.DEFAULT_START_SHARE
        ): fields.positive(1),
        voluptuous.Optional(
            const.CONF_DOUBLE_S, default=const.DEFAULT_DOUBLE_S
        ): fields.positive(const.MAX_DOUBLE_S),
    },
)

TRAFFIC_CLASS = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.name,
        voluptuous.Required(const.CONF_METHODS): composite.list_of(
            fields.method, len(const.KNOWN_METHODS), min_length=1
        ),
        voluptuous.Optional(
            const.CONF_PATH_PREFIX, default='/'
        ): fields.path_prefix,
        voluptuous.Optional(
            const.CONF_REPEATABLE, default=False
        ): fields.boolean,
        voluptuous.Optional(
            const.CONF_HOLDS_SLOT, default=True
        ): fields.boolean,
        voluptuous.Optional(
            const.CONF_DEADLINE_S, default=None
        ): composite.optional(
            fields.positive(const.MAX_DEADLINE_S),
        ),
    },
)

CLIENT_ACCOUNT = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.name,
        voluptuous.Optional(
            const.CONF_SHARE, default=const.DEFAULT_SHARE
        ): fields.positive(const.MAX_SHARE),
    },
)

SERVICE = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.name,
        voluptuous.Required(const.CONF_ADDRESS): fields.address,
        voluptuous.Required(const.CONF_ENTRY_PORT): fields.integer(
            1, const.MAX_PORT
        ),
        voluptuous.Optional(
            const.CONF_CLASSES, default=list
        ): composite.list_of(
            composite.cached(TRAFFIC_CLASS), const.MAX_CLASSES
        ),
        voluptuous.Optional(
            const.CONF_CLIENT_ACCOUNTS, default=list
        ): composite.list_of(
            composite.cached(CLIENT_ACCOUNT), const.MAX_CLIENT_ACCOUNTS
        ),
        voluptuous.Optional(const.CONF_TENANTS): composite.renamed_to(
            const.CONF_CLIENT_ACCOUNTS
        ),
        voluptuous.Optional(const.CONF_LIMITS, default=dict): composite.cached(
            LIMITS
        ),
        voluptuous.Optional(const.CONF_RAMP, default=dict): composite.cached(
            RAMP
        ),
    },
)

FAILURE_DOMAIN = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.name,
        voluptuous.Required(const.CONF_REGION): fields.name,
        voluptuous.Optional(const.CONF_OUT, default=False): fields.boolean,
    },
)

RULE = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_SERVICE): fields.name,
        voluptuous.Required(const.CONF_FAILURE_DOMAIN): fields.name,
        voluptuous.Optional(
            const.CONF_WEIGHT, default=const.DEFAULT_WEIGHT
        ): fields.number(0, const.MAX_WEIGHT),
    },
)

PREDECESSOR = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_BASE_VERSION): fields.integer(
            0, const.MAX_VERSION
        ),
        voluptuous.Required(const.CONF_IDENTIFIER): fields.identifier,
    },
)

DOCUMENT = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_SCHEMA): fields.integer(
            const.SCHEMA_VERSION, const.SCHEMA_VERSION
        ),
        voluptuous.Optional(
            const.CONF_IDENTIFIER, default=''
        ): fields.identifier,
        voluptuous.Optional(const.CONF_BASE_VERSION, default=0): fields.integer(
            0, const.MAX_VERSION
        ),
        voluptuous.Optional(const.CONF_OPERATOR, default=''): fields.operator,
        voluptuous.Optional(const.CONF_COMMENT, default=''): fields.comment,
        voluptuous.Optional(const.CONF_SUBMITTED_S, default=0): fields.number(
            0, const.MAX_SUBMITTED_S
        ),
        voluptuous.Optional(
            const.CONF_PREDECESSORS, default=list
        ): composite.list_of(PREDECESSOR, const.MAX_PREDECESSORS),
        voluptuous.Required(const.CONF_FAILURE_DOMAINS): composite.list_of(
            FAILURE_DOMAIN, const.MAX_FAILURE_DOMAINS
        ),
        voluptuous.Required(const.CONF_SERVICES): composite.list_of(
            SERVICE, const.MAX_SERVICES
        ),
        voluptuous.Optional(const.CONF_RULES, default=list): composite.list_of(
            RULE, const.MAX_RULES
        ),
    },
)


def validate(value: typing.Any) -> typing.Any:
    """Validate the value and fill in the defaults.

    Raises:
        voluptuous.MultipleInvalid: Lists every value that violates the schema.
    """
    return DOCUMENT(value)
