"""Adapter between the users' platform and the flow daemons.

Names, formats and calls of the platform appear only here. The adapter translates
them and makes no decisions.
"""
