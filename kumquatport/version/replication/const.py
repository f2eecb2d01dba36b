"""Constants of the replication of records and documents."""

import typing

KIND_HEARTBEAT: typing.Final = 2
KIND_HEARTBEAT_ANSWER: typing.Final = 3
KIND_DOCUMENT_FETCH: typing.Final = 4
KIND_DOCUMENT_ANSWER: typing.Final = 5
KIND_DOCUMENT_PUSH: typing.Final = 6
KIND_KNOWN_VERSION: typing.Final = 7
KIND_RECORDS_PUSH: typing.Final = 8
KIND_COMPARE: typing.Final = 9
KIND_COMPARE_ANSWER: typing.Final = 10
KIND_EXCHANGE: typing.Final = 11
KIND_EXCHANGE_ANSWER: typing.Final = 12
KIND_LIVENESS_QUERY: typing.Final = 13
KIND_LIVENESS_ANSWER: typing.Final = 14
KIND_LAPSE_NOTICE: typing.Final = 15

HEARTBEAT_S: typing.Final = 1.0
HEARTBEAT_TIMEOUT_S: typing.Final = 0.6
OBSERVERS: typing.Final = 3
SPARE_OBSERVERS: typing.Final = 2
UNRESPONSIVE_PEER_S: typing.Final = 10.0
OBSERVER_LIST_INTERVAL_S: typing.Final = 10.0
OBSERVER_LIST_EXPIRY_S: typing.Final = 60.0
MAX_SUBSET_RECORDS: typing.Final = 64

HEARTBEAT_LEASE_S: typing.Final = 3.0
OTHERS_SILENT_S: typing.Final = 2.0
LEASE_CHECK_S: typing.Final = 0.25
LIVENESS_TIMEOUT_S: typing.Final = 0.5
LIVENESS_RANDOM_PEERS: typing.Final = 2
MAX_SUSPECTS: typing.Final = 32
ASSIGNMENT_SCAN_S: typing.Final = 10.0
ASSIGNMENT_SCAN_RECORDS: typing.Final = 500
ASSIGNMENT_SCORE_MARGIN: typing.Final = 4.0

FANOUT: typing.Final = 4
BATCH_DELAY_S: typing.Final = 0.1
MAX_BATCH_RECORDS: typing.Final = 500
PUSH_TIMEOUT_S: typing.Final = 0.6
RELAY_WAIT_S: typing.Final = 0.3
FETCH_TIMEOUT_S: typing.Final = 1.0
KEPT_VERSIONS: typing.Final = 8
KEPT_RELAYS: typing.Final = 256

REPAIR_INTERVAL_S: typing.Final = 1.0
REPAIR_TIMEOUT_S: typing.Final = 0.6
PARTITION_CHECK_ROUNDS: typing.Final = 4
MAX_EXCHANGE_BUCKETS: typing.Final = 16
MAX_EXCHANGES: typing.Final = 16

TICK_S: typing.Final = 0.25
SUSPENSION_THRESHOLD_S: typing.Final = 1.0
FRESHNESS_S: typing.Final = 3.0
CONFIRM_INTERVAL_S: typing.Final = 0.25
CONFIRM_TIMEOUT_S: typing.Final = 0.5
CONFIRM_BALANCERS: typing.Final = 4
CONFIRM_AGENTS: typing.Final = 2
CONFIRM_PLATFORM_READERS: typing.Final = 20
PEERS_ONLY_AFTER_S: typing.Final = 2.0

KEY_DOCUMENT: typing.Final = 'config/document'
WATCHERS: typing.Final = 3
WATCH_TIMEOUT_S: typing.Final = 4.0
MAX_WATCHERS: typing.Final = 12
EXTRA_WATCHERS_AFTER_S: typing.Final = 10.0
WATCHER_POLL_S: typing.Final = 2.0
EXTRA_WATCHER_S: typing.Final = 600.0
WATCH_RETRY_S: typing.Final = 0.5

KEY_MEMBERS: typing.Final = 'members'
KEY_LEASES: typing.Final = 'leases'
PLATFORM_LEASE_S: typing.Final = 15.0
PLATFORM_LEASE_RENEW_S: typing.Final = 5.0
SNAPSHOT_INTERVAL_S: typing.Final = 10.0
RECORDS_PER_SHARD: typing.Final = 500
HINTS_RETRY_FIRST_S: typing.Final = 1.0
HINTS_REFRESH_S: typing.Final = 300.0
HINTS_RETRY_MAX_S: typing.Final = 60.0
MAX_HINTS: typing.Final = 16
