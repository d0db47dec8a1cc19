"""How the capacity page is computed from the recorded slopes."""
