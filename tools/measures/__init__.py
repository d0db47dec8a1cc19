"""Experiments; each module has ``tables(seed: int) -> list[Table]``."""
