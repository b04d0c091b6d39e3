"""Chooses the daemons that callers are sent to: the serving set.

The policy is designed for hundreds of daemons that each get one or two requests per
second. If callers used all of them, every daemon would need the totals of every other
one, and would open connections to every backend server for a few requests each. The
serving set is as small as the load allows; its members exchange totals with one
another, and the daemons outside stand by. A caller that comes to a standby daemon is
served all the same.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ..hashing import hash_text
from .rounds import MAX_DATAGRAMS_PER_S, TICK_S

# Up to this size, all daemons exchange totals in the shortest gossip round, so a
# smaller set would save nothing.
MIN_SERVING: Final = int(MAX_DATAGRAMS_PER_S * TICK_S)
# Share of the time that callers are to keep a member of the set busy. The rest is for a
# sudden burst, or for the load of two lost availability zones.
TARGET_BUSY_SHARE: Final = 0.25
# A smaller set is chosen once the load has been low for this long.
SHRINK_DELAY_S: Final = 10.0
# Callers use a directory answer for up to this long after a daemon left the set.
LINGER_S: Final = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A daemon that may serve callers.

    Attributes:
        n_cores: processor cores that it may use; the larger VMs serve first.
        active: whether it exchanges totals already; it comes before those of its size
            that do not, so that one that is missed for a moment moves no other.
    """

    name: str
    zone: str
    n_cores: float
    active: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class SetSize:
    """The number of daemons in the set.

    Attributes:
        n_wanted: the size in force.
        low_since: time since which a smaller one would do, seconds; None if none would.
    """

    n_wanted: int = MIN_SERVING
    low_since: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """Where an active daemon stands in regard to the set.

    Attributes:
        in_set: whether it is in the set.
        n_active_in_set: active daemons in the set.
        n_wanted: size of the set that the load asks for.
        out_of_set_s: time since it was last in the set, seconds.
        has_callers: whether callers are connected to it.
        is_needed: whether it has other work that needs the totals of all.
    """

    in_set: bool
    n_active_in_set: int
    n_wanted: int
    out_of_set_s: float
    has_callers: bool
    is_needed: bool


def may_stand_by(standing: Standing) -> bool:
    """Tells whether an active daemon may stop exchanging totals and stand by.

    It waits until the set is full of active daemons, so that there are always enough.
    """
    if standing.in_set or standing.is_needed:
        return False
    lingers = standing.has_callers and standing.out_of_set_s < LINGER_S
    return standing.n_active_in_set >= standing.n_wanted and not lingers


def update_size(size: SetSize, *, busy_shares: Iterable[float], now: float) -> SetSize:
    """Updates the size of the set to the load; it grows at once and shrinks late.

    Args:
        size: the size in force.
        busy_shares: share of the time for which callers keep each daemon of the set
            busy; gossip is left out, since a larger set has more of it.
        now: the present time, seconds.
    """
    n_needed = max(MIN_SERVING, math.ceil(sum(busy_shares) / TARGET_BUSY_SHARE))
    if n_needed >= size.n_wanted:
        return SetSize(n_wanted=n_needed)
    low_since = now if size.low_since is None else size.low_since
    if now - low_since < SHRINK_DELAY_S:
        return SetSize(n_wanted=size.n_wanted, low_since=low_since)
    return SetSize(n_wanted=n_needed)


def choose_serving(candidates: Sequence[Candidate], n_wanted: int) -> list[str]:
    """Chooses the serving set, balanced over availability zones.

    All daemons that know the same candidates choose the same set, and a candidate that
    comes or goes changes it by one daemon.

    Args:
        candidates: daemons that are ready and not leaving.
        n_wanted: size of the set.

    Returns:
        Names of the chosen daemons.
    """
    if len(candidates) <= n_wanted:
        return [candidate.name for candidate in candidates]
    by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_zone.setdefault(candidate.zone, []).append(candidate)
    zones = [
        sorted(
            by_zone[zone], key=lambda c: (-c.n_cores, not c.active, hash_text(c.name))
        )
        for zone in sorted(by_zone)
    ]
    longest = max(map(len, zones))
    ranked = [zone[i].name for i in range(longest) for zone in zones if i < len(zone)]
    return ranked[:n_wanted]
