"""Constants of the balancer."""

PROGRAM = 'kumquatport-balancer'
DESCRIPTION = 'Forward each packet from the fabric to the agent of its flow.'
READY_WAIT_S = 5.0
DRAIN_DELAY_S = 1.0
ENTRY_RETRY_DELAY_S = 1.0
