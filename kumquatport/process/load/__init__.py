"""Current load of the services, as reported by the instances."""
