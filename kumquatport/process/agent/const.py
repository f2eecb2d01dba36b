"""Constants of the agent."""

PROGRAM = 'kumquatport-agent'
DESCRIPTION = 'Terminate the flows of the backend server beside this process.'
READY_WAIT_S = 5.0
CATCH_UP_TIMEOUT_S = 5.0
ANNOUNCE_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.2
ALPN = ('h3',)
COUNT_ANNOUNCEMENTS = 'announcements'
