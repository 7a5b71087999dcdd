"""Stand-ins for external systems (store, upstream, balancer) in tests, demo and benchmarks."""
