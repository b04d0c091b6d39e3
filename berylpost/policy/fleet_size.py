"""How many servers of a service to order in each availability zone.

The load answered here: waves and bursts of prompts on reclaimable servers, of which a
zone's worth goes at once and then cannot be had there for a while. Reclaimable
servers in the cheapest zones first; on-demand ones only where nothing else holds the
load or the zone's minimum.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

TARGET_LOAD: Final = 0.28  # of a server's prefill time; queues grow fast beyond it
SHRINK_LOAD: Final = 0.2  # below the target, so that a wave's trough changes nothing


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneFleet:
    """A service's servers in one availability zone.

    Attributes:
        price: of an on-demand server-second.
        n_spot: reclaimable servers that serve.
        n_on_demand: on-demand servers that serve.
        spot_rests: reclaimable ones were refused or taken away here lately.
    """

    zone: str
    price: float
    n_spot: int
    n_on_demand: int
    spot_rests: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneOrder:
    """Wanted servers in one zone."""

    zone: str
    n_spot: int
    n_on_demand: int


def count_needed(load: float, n_now: int) -> int:
    """Counts the servers that a load needs.

    Args:
        load: server-seconds of work a second.
        n_now: servers wanted at present; fewer are wanted only well below their load.
    """
    wanted = math.ceil(load / TARGET_LOAD)
    if wanted < n_now:
        wanted = min(n_now, math.ceil(load / SHRINK_LOAD))
    return max(1, wanted)


def plan_zones(
    zones: Mapping[str, ZoneFleet], *, n_needed: int, n_min: int, n_max: int
) -> list[ZoneOrder]:
    """Plans the orders for one service.

    Args:
        zones: by name.
        n_needed: servers that the load needs.
        n_min: fewest in a zone, of both kinds together.
        n_max: most in a zone, of both kinds together.

    Returns:
        One order for each zone.
    """
    totals = {name: n_min for name in zones}
    resting = {name for name, fleet in zones.items() if fleet.spot_rests}
    cheapest = sorted(zones, key=lambda name: zones[name].price)
    n_left = n_needed - sum(n_min for name in zones if name not in resting)
    # Even rounds keep the loss of one zone small.
    while n_left > 0:
        open_zones = [
            name for name in cheapest if name not in resting and totals[name] < n_max
        ]
        if not open_zones:
            break
        for name in open_zones[:n_left]:
            totals[name] += 1
        n_left -= len(open_zones[:n_left])
    orders = []
    for name, fleet in zones.items():
        if fleet.spot_rests:
            n_spot, n_on_demand = fleet.n_spot, max(0, n_min - fleet.n_spot)
        else:
            n_spot = totals[name]
            # On-demand servers stay until reclaimable ones serve in their place.
            missing = max(0, n_spot - fleet.n_spot)
            n_on_demand = min(fleet.n_on_demand, missing, n_max - n_spot)
        orders.append(
            ZoneOrder(zone=name, n_spot=n_spot, n_on_demand=max(0, n_on_demand))
        )
    return orders
