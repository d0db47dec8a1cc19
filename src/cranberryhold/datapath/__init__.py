"""Packets of the QUIC path: connection ids, routing, placement and the adapter."""
