"""Demo, benchmark, experiments and slopes."""
