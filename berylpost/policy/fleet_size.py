"""Computes how many servers of a service to order in each availability zone.

The policy is designed for waves and bursts of prompts on reclaimable servers. All
reclaimable servers of one zone may be reclaimed at the same time, and none are
available there for a while afterwards. Reclaimable servers are spread over the zones
that offer any; on-demand servers fill only the gap that reclaimable servers of no zone
can fill.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from .placement import PREFILL_TOKENS_PER_S

# Share of a server's prefill time that the fleet is sized for. The loss of two
# availability zones may take half of the fleet, and first tokens stay within their
# objective up to a load of about 0.6.
TARGET_LOAD: Final = 0.28
# Load for which the fleet is sized when it shrinks; below the target, so that the
# trough of a wave does not shrink the fleet.
SHRINK_LOAD: Final = 0.2
# Load per guaranteed server, as a share of its time; on-demand servers are ordered only
# for load beyond what the reclaimable servers carry at this share.
GUARANTEED_LOAD: Final = 0.6

IDLE_LOAD: Final = 0.01  # server-seconds per second; a lower load counts as no traffic
# Time for which the load must stay low before the fleet shrinks.
SHRINK_DELAY_S: Final = 6.0
# Share of their quotas that customers use on a usual day: quotas are about 1.8 times
# the usual use (`quota_x` in the users' site files).
QUOTA_USE_SHARE: Final = 0.55
# Share of a server's prefill time while nothing is cached, about twice the target for
# warm caches: first tokens are late only from about 0.6 on, so that a zone may be lost
# before any are late.
COLD_CACHE_LOAD: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneFleet:
    """A service's servers in one availability zone.

    Attributes:
        price: price of an on-demand server per second.
        n_spot: reclaimable servers that are serving or booting.
        n_on_demand: on-demand servers that are serving or booting.
        n_spot_ready: reclaimable servers that are serving.
        spot_refused: whether an order for more reclaimable servers was recently
            refused in this zone.
    """

    zone: str
    price: float
    n_spot: int
    n_on_demand: int
    n_spot_ready: int
    spot_refused: bool


def count_needed(load: float, n_now: int) -> int:
    """Returns the number of servers that a load needs.

    Args:
        load: server-seconds of work per second.
        n_now: servers currently wanted; the number falls only when the load is well
            below what they are sized for.
    """
    wanted = math.ceil(load / TARGET_LOAD)
    if wanted < n_now:
        wanted = min(n_now, math.ceil(load / SHRINK_LOAD))
    return max(1, wanted)


def count_for_quotas(quotas: Iterable[float]) -> int:
    """Returns the number of servers for the customers' quotas, before any load is seen.

    This sizes the fleet for the first seconds of a deployment, in which no part of any
    prompt is cached and a server takes longer to boot than callers wait.

    Args:
        quotas: tokens per second of each customer; 0 for a customer without a limit.
    """
    expected = sum(quotas) * QUOTA_USE_SHARE
    return math.ceil(expected / PREFILL_TOKENS_PER_S / COLD_CACHE_LOAD)


@dataclass(slots=True, kw_only=True)
class FleetSize:
    """The desired size of a service's fleet.

    Attributes:
        n_found: servers that existed when this daemon took over the fleet duty.
        n_wanted: servers currently wanted.
        low_since: boot-time clock at which fewer servers began to suffice; None while
            fewer do not suffice.
    """

    n_found: int
    n_wanted: int
    low_since: float | None = None


def size_fleet(
    size: FleetSize,
    *,
    load: float,
    n_for_quotas: int,
    now: float,
    may_shrink: bool = True,
) -> int:
    """Grows the fleet immediately with the load; shrinks it only after a sustained low.

    Before any load is seen, the fleet keeps its initial size, or the size for the
    customers' quotas if that is larger.

    Args:
        size: the fleet size; updated in place.
        load: server-seconds of work per second.
        n_for_quotas: servers for the quotas; 0 if the fleet has served before.
        now: seconds of the boot-time clock.
        may_shrink: whether a low load means few requests. While the store is away,
            requests are refused for keys that cannot be confirmed, and few are
            measured.

    Returns:
        The number of servers wanted.
    """
    if load < IDLE_LOAD:
        needed = max(size.n_wanted, n_for_quotas)
    else:
        needed = count_needed(load, size.n_wanted)
    if needed >= size.n_wanted:
        size.low_since = None
    elif not may_shrink:
        size.low_since = None
        return size.n_wanted
    elif size.low_since is None:
        size.low_since = now
        return size.n_wanted
    elif now - size.low_since <= SHRINK_DELAY_S:
        return size.n_wanted
    size.low_since = None
    size.n_wanted = needed
    return needed


def count_guaranteed(load: float, n_needed: int) -> int:
    """Returns the number of servers that must exist regardless of price.

    Args:
        load: server-seconds of work per second.
        n_needed: servers that the load needs, including headroom.
    """
    return min(n_needed, max(1, math.ceil(load / GUARANTEED_LOAD)))


def plan_spot(
    zones: Mapping[str, ZoneFleet], *, n_needed: int, n_min: int, n_max: int
) -> dict[str, int]:
    """Plans reclaimable servers: evenly over the zones, cheapest zone first.

    Args:
        zones: fleets by zone name.
        n_needed: servers that the load needs.
        n_min: minimum number of servers in a zone, of both kinds together.
        n_max: maximum number of servers in a zone, of both kinds together.

    Returns:
        Wanted reclaimable servers by zone.
    """
    wanted = {
        name: fleet.n_spot if fleet.spot_refused else n_min
        for name, fleet in zones.items()
    }
    cheapest = sorted(zones, key=lambda name: zones[name].price)
    n_unplaced = n_needed - sum(wanted.values())
    while n_unplaced > 0:
        # Filling the zones evenly limits what the loss of one zone takes.
        lowest = min(
            (
                wanted[name]
                for name in cheapest
                if not zones[name].spot_refused and wanted[name] < n_max
            ),
            default=None,
        )
        if lowest is None:
            break
        for name in cheapest:
            can_grow = not zones[name].spot_refused and wanted[name] < n_max
            if n_unplaced > 0 and can_grow and wanted[name] == lowest:
                wanted[name] += 1
                n_unplaced -= 1
    return wanted


def plan_on_demand(
    zones: Mapping[str, ZoneFleet],
    *,
    n_guaranteed: int,
    n_max: int,
    may_shrink: bool = True,
) -> dict[str, int]:
    """Plans on-demand servers from the reclaimable servers that actually exist.

    Existing on-demand servers are kept until enough reclaimable servers are serving to
    cover `n_guaranteed`, so that an unfulfilled order never leaves a gap.

    Args:
        zones: fleets by zone name.
        n_guaranteed: servers that must exist regardless of price.
        n_max: maximum number of servers in a zone, of both kinds together.
        may_shrink: whether `n_guaranteed` may be relied on to give servers back; see
            `size_fleet`.

    Returns:
        Wanted on-demand servers by zone.
    """
    n_spot = sum(fleet.n_spot for fleet in zones.values())
    n_ready = sum(fleet.n_spot_ready for fleet in zones.values())
    n_missing = n_guaranteed - n_spot
    n_to_keep = n_guaranteed - n_ready
    wanted = {}
    for name in sorted(zones, key=lambda zone: (-zones[zone].n_on_demand, zone)):
        fleet = zones[name]
        n_retained = fleet.n_on_demand
        if may_shrink:
            n_retained = min(n_retained, max(0, n_to_keep))
        n_to_keep -= n_retained
        n_missing -= n_retained
        wanted[name] = n_retained
    for name in sorted(zones, key=lambda zone: zones[zone].price):
        room = n_max - zones[name].n_spot - wanted[name]
        n_new = min(max(0, room), max(0, n_missing))
        n_missing -= n_new
        wanted[name] += n_new
    return wanted
