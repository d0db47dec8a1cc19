"""Admission control of new flows: who is served, waits or is rejected."""
