"""The limit on the openings that a target receives during its slow start."""
