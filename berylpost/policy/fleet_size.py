"""How many servers of a service to order in each availability zone.

The load answered here: waves and bursts of prompts on reclaimable servers, of which a
zone's worth goes at once and then cannot be had there for a while. Reclaimable
servers are spread over the zones that give any; on-demand ones fill only the gap that
no zone's reclaimable ones can.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from .placement import PREFILL_TOKENS_PER_S

# Of a server's prefill time: half of the fleet may go with two availability zones, and
# first tokens stay within their objective up to about 0.6.
TARGET_LOAD: Final = 0.28
SHRINK_LOAD: Final = 0.2  # below the target, so that a wave's trough changes nothing
FIRM_LOAD: Final = (
    0.6  # of a server's time; on-demand servers are bought only beyond it
)

IDLE_LOAD: Final = 0.01  # server-seconds a second; less is no traffic yet
SWITCH_S: Final = 6.0  # a load was low for so long before fewer servers are wanted
# Share of customers' quotas that they use on a usual day: quotas stand some 1.8 times
# above it (`quota_x` of the users' site files).
CONTRACT_SHARE: Final = 0.55
# Of a server's prefill time while nothing is cached: twice the room of warm caches, as
# first tokens are late from about 0.6 on and a zone may go before any are.
COLD_LOAD: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneFleet:
    """A service's servers in one availability zone.

    Attributes:
        price: of an on-demand server-second.
        n_spot: reclaimable servers that serve or boot.
        n_on_demand: on-demand servers that serve or boot.
        n_spot_ready: reclaimable servers that serve.
        spot_refused: more reclaimable ones were refused here lately.
    """

    zone: str
    price: float
    n_spot: int
    n_on_demand: int
    n_spot_ready: int
    spot_refused: bool


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


def count_for_quotas(quotas: Iterable[float]) -> int:
    """Counts the servers for what customers may bring, before any load is seen.

    The load answered here: the first seconds of a deployment, in which every part of
    every prompt has to be read and a server takes longer to boot than callers wait.

    Args:
        quotas: tokens a second of each customer; 0 for one without a limit.
    """
    expected = sum(quotas) * CONTRACT_SHARE
    return math.ceil(expected / PREFILL_TOKENS_PER_S / COLD_LOAD)


@dataclass(slots=True, kw_only=True)
class FleetSize:
    """The size wanted of a service's fleet.

    Attributes:
        n_found: servers that were there when this daemon took the duty over.
        n_wanted: servers wanted at present.
        low_since: age clock since when fewer would do; None while not.
    """

    n_found: int
    n_wanted: int
    low_since: float | None = None


def size_fleet(size: FleetSize, *, load: float, n_for_quotas: int, now: float) -> int:
    """Follows a load up at once and down only after it stayed low.

    Before any load is seen, the fleet keeps the size in which it was found, or that
    for the customers' quotas.

    Args:
        size: is changed.
        load: server-seconds of work a second.
        n_for_quotas: servers for the quotas; 0 where the fleet has served before.
        now: seconds of the age clock.

    Returns:
        The servers wanted.
    """
    if load < IDLE_LOAD:
        needed = max(size.n_wanted, n_for_quotas)
    else:
        needed = count_needed(load, size.n_wanted)
    if needed >= size.n_wanted:
        size.low_since = None
    elif size.low_since is None:
        size.low_since = now
        return size.n_wanted
    elif now - size.low_since <= SWITCH_S:
        return size.n_wanted
    size.low_since = None
    size.n_wanted = needed
    return needed


def count_guaranteed(load: float, n_needed: int) -> int:
    """Counts the servers that must be there at any price.

    Args:
        load: server-seconds of work a second.
        n_needed: servers that the load needs with room to spare.
    """
    return min(n_needed, max(1, math.ceil(load / FIRM_LOAD)))


def plan_spot(
    zones: Mapping[str, ZoneFleet], *, n_needed: int, n_min: int, n_max: int
) -> dict[str, int]:
    """Plans reclaimable servers: evenly over the zones, cheapest first.

    Args:
        zones: by name.
        n_needed: servers that the load needs.
        n_min: fewest in a zone, of both kinds together.
        n_max: most in a zone, of both kinds together.

    Returns:
        Wanted reclaimable servers by zone.
    """
    wanted = {
        name: fleet.n_spot if fleet.spot_refused else n_min
        for name, fleet in zones.items()
    }
    cheapest = sorted(zones, key=lambda name: zones[name].price)
    n_left = n_needed - sum(wanted.values())
    while n_left > 0:
        # Even rounds keep the loss of one zone small.
        level = min(
            (
                wanted[name]
                for name in cheapest
                if not zones[name].spot_refused and wanted[name] < n_max
            ),
            default=None,
        )
        if level is None:
            break
        for name in cheapest:
            open_zone = not zones[name].spot_refused and wanted[name] < n_max
            if n_left > 0 and open_zone and wanted[name] == level:
                wanted[name] += 1
                n_left -= 1
    return wanted


def plan_on_demand(
    zones: Mapping[str, ZoneFleet], *, n_guaranteed: int, n_max: int
) -> dict[str, int]:
    """Plans on-demand servers from what is really there of reclaimable ones.

    Those at hand stay until as many reclaimable ones serve as must be there, so that
    an order that comes to nothing never leaves a gap.

    Args:
        zones: by name.
        n_guaranteed: servers that must be there at any price.
        n_max: most in a zone, of both kinds together.

    Returns:
        Wanted on-demand servers by zone.
    """
    n_spot = sum(fleet.n_spot for fleet in zones.values())
    n_ready = sum(fleet.n_spot_ready for fleet in zones.values())
    n_missing = n_guaranteed - n_spot
    n_kept = n_guaranteed - n_ready
    wanted = {}
    for name in sorted(zones, key=lambda zone: (-zones[zone].n_on_demand, zone)):
        fleet = zones[name]
        n_old = min(fleet.n_on_demand, max(0, n_kept))
        n_kept -= n_old
        n_missing -= n_old
        wanted[name] = n_old
    for name in sorted(zones, key=lambda zone: zones[zone].price):
        room = n_max - zones[name].n_spot - wanted[name]
        n_new = min(max(0, room), max(0, n_missing))
        n_missing -= n_new
        wanted[name] += n_new
    return wanted
