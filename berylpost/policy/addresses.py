"""Which daemons a caller is told to use: a few, spread over the zones."""

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from ..messages import Member

N_ADDRESSES: Final = 6

T = TypeVar("T")


def choose_addresses(
    members: "Sequence[Member]", *, n_wanted: int, random_state: random.Random
) -> "list[Member]":
    """Chooses daemons that are alive for one caller; see `spread_over_zones`."""
    alive = [member for member in members if member.state == "alive"]
    return spread_over_zones(
        alive,
        find_zone=lambda member: member.zone,
        n_wanted=n_wanted,
        random_state=random_state,
    )


def spread_over_zones(
    daemons: Sequence[T],
    *,
    find_zone: Callable[[T], str],
    n_wanted: int,
    random_state: random.Random,
) -> list[T]:
    """Chooses daemons so that each is in some answers.

    Zones take turns, so that the loss of one leaves the caller others; within a
    zone the order is random, which spreads callers evenly.

    Args:
        daemons: that take work.
        find_zone: tells a daemon's availability zone.
        n_wanted: how many at the most.
        random_state: for the order.
    """
    by_zone: dict[str, list[T]] = {}
    for daemon in daemons:
        by_zone.setdefault(find_zone(daemon), []).append(daemon)
    zones = list(by_zone.values())
    random_state.shuffle(zones)
    for zone in zones:
        random_state.shuffle(zone)
    longest = max(map(len, zones), default=0)
    turns = [zone[i] for i in range(longest) for zone in zones if i < len(zone)]
    return turns[:n_wanted]
