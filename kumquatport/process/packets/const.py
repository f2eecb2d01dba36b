"""Intervals and limits of balancer and agent processes."""

import typing

# Seconds between two heartbeats of an agent to the balancers of its own failure
# domain, which place most of its flows.
HEARTBEAT_S: typing.Final = 0.3

# Heartbeat rounds between two heartbeats to all other peers. Bytes between
# failure domains have a price, and little depends on these heartbeats.
REMOTE_INTERVAL_ROUNDS: typing.Final = 3

# Seconds between two checks by which a process detects that it was paused.
PAUSE_CHECK_S: typing.Final = 0.25

# Seconds between two attempts of a balancer to forward packets that wait for
# routes or for an agent.
QUEUE_RETRY_S: typing.Final = 0.02

# Log lines about peers per second, and the burst after a quiet time. When all
# instances start, each balancer receives heartbeats from every one of them.
PEER_LINES_PER_S: typing.Final = 20.0
PEER_BURST_LINES: typing.Final = 60.0

# Approximate number of balancers that get a heartbeat of an agent in one round.
# With more balancers, those of other failure domains get them less often: they
# learn the load by offers and changes at once. With 60 balancers heartbeats
# were half of the bytes between failure domains.
REMOTE_PEERS_PER_ROUND: typing.Final = 8

# Heartbeat periods of silence after which a peer is suspect.
SUSPECT_MISSED_HEARTBEATS: typing.Final = 3.4

# Heartbeat periods after which a reported capacity report counts as unknown.
ROOM_PERIODS: typing.Final = 3

# Seconds within which an agent answers an offer that requests its load: a round
# trip and its processing, which a CPU quota may delay by 0.1 s.
OFFER_TIMEOUT_S: typing.Final = 0.15

# Seconds since the last heartbeat of an agent after which an offer requests its
# load. Four requests in a heartbeat period keep the load of a busy agent fresh.
LOAD_REQUEST_AGE_S: typing.Final = 0.075

# Bytes per second of heartbeats, above which they become less frequent, and
# bytes of a short heartbeat with its UDP and IP headers. A store era and a
# capacity report add 22 bytes, which this limit leaves space for. Control
# traffic of an instance is limited to 25 KB/s, the rest of which is for records
# and routes.
HEARTBEAT_BYTES_PER_S: typing.Final = 15_000
HEARTBEAT_BYTES: typing.Final = 82

# Seconds without heartbeats after which a peer expires.
PEER_EXPIRY_S: typing.Final = 90.0

# Seconds before the record of an expired instance is deleted, a few comparisons
# of members: peers that still receive its heartbeats restore the record
# meanwhile.
REMOVE_RECORD_DELAY_S: typing.Final = 5.0

# Seconds after the last new agent of a service until all its agents count as
# known, a few rounds of greetings.
MEMBERS_SETTLED_S: typing.Final = 1.0

# Seconds between two comparisons of members with the same peer.
COMPARE_PEER_INTERVAL_S: typing.Final = 1.0

# Seconds between two comparisons with any peers, in which an answer arrives.
COMPARE_INTERVAL_S: typing.Final = 0.1

# Records in one datagram, which keep it below 8 KB.
RECORDS_PER_MESSAGE: typing.Final = 40

# Size limit of encoded routes, time limits of a connection and of their transfer
# over TCP, and delay after a failed transfer. A peer that does not accept the
# connection soon is passed over for another one.
MAX_ROUTES_BYTES: typing.Final = 16 * 1024 * 1024
FETCH_CONNECT_TIMEOUT_S: typing.Final = 0.25
FETCH_TIMEOUT_S: typing.Final = 1.0
FETCH_RETRY_S: typing.Final = 0.1

# Datagrams read at one wake-up, so that no socket starves the others.
RECEIVE_BATCH: typing.Final = 64
MAX_DATAGRAM_BYTES: typing.Final = 65536
RECEIVE_BUFFER_BYTES: typing.Final = 1024 * 1024

# Retries of the store during an outage. Balancers of a rank below
# FAST_RETRY_RANKS retry soon; calls have a price, and one that reads serves all.
STORE_RETRY_FIRST_S: typing.Final = 0.1
STORE_RETRY_MAX_S: typing.Final = 0.6
FAST_RETRY_RANKS: typing.Final = 4

# Seconds before a balancer that alone is refused by the store tries again, as
# long as others confirm the configuration.
REFUSED_RETRY_S: typing.Final = 3.0

# Balancers that a watcher tells of each confirmation at once. The others learn
# it from many heartbeats.
CONFIRMATION_RECEIVERS: typing.Final = 9

# Added to a wait for a moment, so that the moment has passed after it.
TIMER_SLACK_S: typing.Final = 0.005

# Largest delay in seconds before an agent retries reading the members.
# Balancers retry more often, and any balancer that has read them greets the
# agent.
AGENT_RETRY_MAX_S: typing.Final = 1.2

# Seconds between reading the routes or the failure domains and watching them.
# By then the other part is read and peers have sent heartbeats, so that most
# instances need not watch.
WATCH_START_DELAY_S: typing.Final = 0.1

# Kind of the store objects that hold the members' records.
KIND_INSTANCES: typing.Final = 'kumquatport-instances'

# Seconds after reading a part of the members until a peer should have sent the
# rest, two rounds of greetings.
READ_ALL_DELAY_S: typing.Final = 2.0

# Seconds that a stopping balancer continues to forward. The platform probes its
# readiness twice a second and stops sending packets after two failures.
BALANCER_DRAIN_S: typing.Final = 1.7

# Seconds that a stopping agent waits for a moment without requests in progress
# at its backend server: at most, before the first check, and between two
# checks.
AGENT_DRAIN_MAX_S: typing.Final = 1.5
AGENT_DRAIN_MIN_S: typing.Final = 0.15
AGENT_DRAIN_POLL_S: typing.Final = 0.01

# Seconds of the platform's grace period that a stopping process reserves for
# closing its sockets and exiting.
SHUTDOWN_RESERVE_S: typing.Final = 1.0

# Seconds between two registrations of flows with their registrars. A flow that
# moves to another balancer before its registration costs a message to each
# agent of its service.
REGISTER_INTERVAL_S: typing.Final = 0.25

# Seconds between two checks of an agent whether its backend server may have
# ended. Clients retransmit after 0.2 s.
PRESENCE_POLL_S: typing.Final = 0.1

EXPIRE_INTERVAL_S: typing.Final = 1.0
WATCH_POLL_S: typing.Final = 0.2
