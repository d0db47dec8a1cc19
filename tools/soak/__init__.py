"""Randomized soak test: injects faults into flow daemons that run as processes."""
