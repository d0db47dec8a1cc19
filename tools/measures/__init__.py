"""Experiments; each module defines ``tables(seed: int) -> list[Table]``."""
