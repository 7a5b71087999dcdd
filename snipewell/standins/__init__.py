"""Stand-ins for the systems outside: store, upstream and balancer, for tests, demo and bench."""
