"""Measurements of what one unit of load costs, one module per part of the system.

Each module has ``slopes(seed)``, which yields :class:`~tools.slope_parts.fits.Slope`.
"""
