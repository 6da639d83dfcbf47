"""A randomized soak test that injects faults into gateway processes."""
