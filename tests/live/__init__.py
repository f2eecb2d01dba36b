"""The programs that carry packets, as processes on the loopback."""
