"""Present load of the services, as the instances tell it."""
