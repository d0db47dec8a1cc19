"""Membership of the QUIC path, and the messages and calls between its members."""
