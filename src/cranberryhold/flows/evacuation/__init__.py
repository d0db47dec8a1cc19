"""Evacuation of data centres: their targets get no new flows."""
