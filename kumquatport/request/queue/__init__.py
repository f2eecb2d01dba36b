"""The bounded queue of requests that wait for a slot."""
