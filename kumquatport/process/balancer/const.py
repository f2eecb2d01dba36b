"""Constants of the balancer."""

PROGRAM = 'kumquatport-balancer'
DESCRIPTION = 'Take any packet from the fabric and send it to its agent.'
READY_WAIT_S = 5.0
DRAIN_DELAY_S = 1.0
ENTRY_RETRY_DELAY_S = 1.0
