"""What every instance of the fleet has, balancer or agent."""
