"""Stand-ins for upstreams and platform services, a load generator and benchmarks."""
