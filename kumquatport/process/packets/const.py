"""Periods and limits of the processes that carry packets."""

import typing

# Seconds between two heartbeats of an agent to the balancers of its failure
# domain, which place most of its flows.
HEARTBEAT_S: typing.Final = 0.3

# All other peers hear each third one: the price of bytes between failure
# domains, and the little that depends on them.
REMOTE_INTERVAL_ROUNDS: typing.Final = 3

# Seconds between two turns by which a process notices that it stood still.
PAUSE_CHECK_S: typing.Final = 0.25

# Seconds after which a balancer tries packets again that wait for the routes or
# for an agent.
QUEUE_RETRY_S: typing.Final = 0.02

# Lines a second about peers, and at once after a quiet time. Each of many
# balancers hears of each of many instances when all start.
PEER_LINES_PER_S: typing.Final = 20.0
PEER_BURST_LINES: typing.Final = 60.0

# Balancers that an agent tells in one round, about; with more of them those of
# other failure domains hear it more rarely. They learn its load by offers and
# its changes at once, and heartbeats were half of the bytes between failure
# domains with sixty balancers.
REMOTE_PEERS_PER_ROUND: typing.Final = 8

# Heartbeats that may be missing before a peer is suspect.
SUSPECT_MISSED_HEARTBEATS: typing.Final = 3.4

# Seconds within which an agent answers an offer that asks for its load: a round
# trip and a turn of its processor, which a quota may hold back for 0.1 s.
OFFER_TIMEOUT_S: typing.Final = 0.15

# Seconds since an agent was heard from which an offer asks for its load. Four
# in the time of a heartbeat's period keep a busy agent's load fresh.
LOAD_REQUEST_AGE_S: typing.Final = 0.075

# Bytes a second that heartbeats may take; beyond it they become rarer. A node
# has 25 KB/s for control, of which the rest is for records and routes.
HEARTBEAT_BYTES_PER_S: typing.Final = 15_000
HEARTBEAT_BYTES: typing.Final = 82

# Seconds of silence after which a peer is forgotten, if nobody else hears it.
PEER_EXPIRY_S: typing.Final = 90.0

# Seconds for peers that hear a forgotten instance to bring its record back,
# a few comparisons of members.
REMOVE_RECORD_DELAY_S: typing.Final = 5.0

# Seconds after the last new agent of a service until all are taken to be
# known: a few rounds of greetings.
MEMBERS_SETTLED_S: typing.Final = 1.0

# Seconds between two comparisons of the members with one peer.
COMPARE_PEER_INTERVAL_S: typing.Final = 1.0

# Seconds between two comparisons with any peers: an answer is here by then.
COMPARE_INTERVAL_S: typing.Final = 0.1

# Records in one datagram, so that it stays under 8 KB.
RECORDS_PER_MESSAGE: typing.Final = 40

# Largest message to a peer over TCP.
MAX_ROUTES_BYTES: typing.Final = 16 * 1024 * 1024
FETCH_TIMEOUT_S: typing.Final = 1.0
FETCH_RETRY_S: typing.Final = 0.1

# Datagrams read at one wake-up, so that one socket cannot starve the others.
RECEIVE_BATCH: typing.Final = 64
MAX_DATAGRAM_BYTES: typing.Final = 65536
RECEIVE_BUFFER_BYTES: typing.Final = 1024 * 1024

# Watching the store. Two watchers find each change; a watch is renewed well
# within the bounds of configuration and evacuation, since a connection may go
# silent. Further watchers join when nobody has had an answer for a while.
MIN_WATCHERS: typing.Final = 2
WATCH_TIMEOUT_S: typing.Final = 3.0
WATCH_JOIN_AGE_S: typing.Final = 4.0
WATCH_JOIN_STEP_S: typing.Final = 0.7
STORE_RETRY_FIRST_S: typing.Final = 0.1
STORE_RETRY_MAX_S: typing.Final = 0.6

# Bound of an agent's wait before it asks for the members again. Balancers, of
# which any one that has read them greets it, ask more often.
AGENT_RETRY_MAX_S: typing.Final = 1.2

# Seconds between reading a part and watching it: by then the other part is read
# and the peers are heard, and most instances need not watch.
WATCH_START_DELAY_S: typing.Final = 0.1

# Seconds after a change before the next is asked for, so that changes in quick
# succession come together; a small part of the bound of configuration.
WATCH_BATCH_S: typing.Final = 0.25

# Kind of the store's objects that hold members.
KIND_INSTANCES: typing.Final = 'kumquatport-instances'

# Seconds after reading a part of the members until somebody must have told of
# the rest: two rounds of greetings.
READ_ALL_DELAY_S: typing.Final = 2.0

# Seconds that a leaving balancer goes on forwarding: the platform asks twice
# a second whether it is ready and turns away after two refusals.
BALANCER_DRAIN_S: typing.Final = 1.7

# Seconds that a leaving agent waits, at most, for a moment without requests
# in progress at its backend server.
AGENT_DRAIN_MAX_S: typing.Final = 1.5
AGENT_DRAIN_MIN_S: typing.Final = 0.15
AGENT_DRAIN_POLL_S: typing.Final = 0.01

# Seconds of the platform's grace that are left for closing sockets and ending,
# once an agent has done what it does before it stops.
SHUTDOWN_RESERVE_S: typing.Final = 1.0

# Seconds between two rounds of telling registrars about flows; a flow that
# moves before it is told costs a message to each agent of its service.
REGISTER_INTERVAL_S: typing.Final = 0.25

# Seconds between two moments at which an agent asks itself whether its
# backend server may have ended; clients send again after 0.2 s.
PRESENCE_POLL_S: typing.Final = 0.1

EXPIRE_INTERVAL_S: typing.Final = 1.0
WATCH_POLL_S: typing.Final = 0.2
