"""The programs that carry packets: a balancer and an agent."""
