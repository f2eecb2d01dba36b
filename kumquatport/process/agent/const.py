"""Constants of the agent."""

PROGRAM = 'kumquatport-agent'
DESCRIPTION = 'Own the flows of the backend server beside this process.'
READY_POLL_S = 5.0
SETTLE_S = 5.0
ANNOUNCE_S = 0.5
DRAIN_POLL_S = 0.2
ALPN = ('h3',)
EVENT_ANNOUNCED = 'announcements'
