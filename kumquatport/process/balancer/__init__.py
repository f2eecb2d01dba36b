"""The balancer: takes any packet and sends it to its flow's agent."""
