"""Evacuations of data centres during a soak, beside the faults."""

import asyncio
from random import Random

from tools.soak.site import ZONES, Site

# Shorter and longer than the limit within which an evacuation must be in effect.
EVACUATION_S = (1.0, 20.0)


async def evacuate_zone(site: Site, random: Random, _duration_s: float) -> None:
    """Evacuate a data centre for a while, unless it is evacuated already."""
    zone = random.choice(ZONES)
    if zone in site.evacuated:
        return
    await site.evacuate(zone)
    await asyncio.sleep(random.uniform(*EVACUATION_S))
    await site.take_back(zone)
