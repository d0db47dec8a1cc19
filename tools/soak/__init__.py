"""Randomized soak of the flow daemons: real processes, faults from outside."""
