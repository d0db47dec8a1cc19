"""Calculation of the capacity page from the recorded slopes."""
