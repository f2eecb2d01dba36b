"""Paths, field names, counters and limits of the console."""

import typing

PATH_OVERVIEW: typing.Final = '/'
PATH_SIGN_IN: typing.Final = '/sign-in'
PATH_SIGN_OUT: typing.Final = '/sign-out'
PATH_EDIT: typing.Final = '/edit'
PATH_SERVICE: typing.Final = '/service'
PATH_RULES: typing.Final = '/rules'
PATH_REVIEW: typing.Final = '/review'
PATH_APPLY: typing.Final = '/apply'
PATH_OUTCOME: typing.Final = '/outcome'
PATH_HISTORY: typing.Final = '/history'
PATH_STATIC: typing.Final = '/static'

COOKIE_SESSION: typing.Final = 'kumquatport_session'

FIELD_ACTION: typing.Final = 'action'
FIELD_COMMENT: typing.Final = 'comment'
FIELD_CONFIRM: typing.Final = 'confirm'
FIELD_CSRF: typing.Final = 'csrf'
FIELD_DRAFT: typing.Final = 'draft'
FIELD_FIND: typing.Final = 'find'
FIELD_IDENTIFIER: typing.Final = 'identifier'
FIELD_SERVICE: typing.Final = 'service_name'

COUNT_ACCEPTED: typing.Final = 'documents.accepted'
COUNT_CALLS_PREFIX: typing.Final = 'platform.'
COUNT_CONFLICT: typing.Final = 'documents.conflict'
COUNT_HANDED_OVER: typing.Final = 'documents.handed_over'
COUNT_UNKNOWN: typing.Final = 'documents.unknown'
COUNT_SIGN_IN_FAILED: typing.Final = 'sign_in.failed'

PURPOSE_SESSION: typing.Final = 'session'
PURPOSE_FORM: typing.Final = 'form'
PURPOSE_DRAFT: typing.Final = 'draft'

SESSION_LIFETIME_S: typing.Final = 28800.0
NONCE_BYTES: typing.Final = 16
MAX_BODY_BYTES: typing.Final = 4194304
MAX_DRAFT_BYTES: typing.Final = 16777216
MAX_SHOWN_ROWS: typing.Final = 50
MAX_SHOWN_CHANGES: typing.Final = 500
SHUTDOWN_TIMEOUT_S: typing.Final = 25.0

ATTEMPT_WINDOW_S: typing.Final = 60.0
MAX_ATTEMPTS: typing.Final = 5
MAX_ATTEMPTS_PER_ADDRESS: typing.Final = 20
MAX_TRACKED_SUBJECTS: typing.Final = 10000
MAX_CONCURRENT_HASHES: typing.Final = 2
MAX_PASSWORD_BYTES: typing.Final = 1024

MAX_HANDOVER_BALANCERS: typing.Final = 3
