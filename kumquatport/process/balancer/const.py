"""Constants of the balancer."""

PROGRAM = 'kumquatport-balancer'
DESCRIPTION = 'Take any packet from the fabric and send it to its agent.'
READY_POLL_S = 5.0
DRAIN_S = 1.0
ENTRY_RETRY_S = 1.0
