"""Measurements of the cost of a unit of load, one module per part of the system.

Each module has a generator ``slopes(seed)``, which yields objects of
:class:`~tools.slope_parts.fits.Slope`.
"""
