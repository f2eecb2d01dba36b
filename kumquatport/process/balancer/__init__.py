"""The balancer: forwards each packet to the agent of its flow."""
