"""Soak of the QUIC path: real processes, random faults, and checks of each request."""
