"""Shared test settings: derandomized properties, so that each run has one verdict."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")
