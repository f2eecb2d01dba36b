"""Services that every instance runs, balancer or agent."""
