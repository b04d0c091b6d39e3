"""Which daemons a caller is told to use: a few, spread over the zones."""

import random
from collections.abc import Sequence
from typing import Final

from ..messages import Member

N_ADDRESSES: Final = 6


def choose_addresses(
    members: Sequence[Member], *, n_wanted: int, random_state: random.Random
) -> list[Member]:
    """Chooses daemons for one caller.

    Zones take turns, so that the loss of one leaves the caller others; within a
    zone the order is random, which spreads callers evenly.

    Args:
        members: daemons that take work.
        n_wanted: how many at the most.
        random_state: for the order.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        if member.state == "alive":
            by_zone.setdefault(member.zone, []).append(member)
    zones = list(by_zone.values())
    random_state.shuffle(zones)
    for zone in zones:
        random_state.shuffle(zone)
    longest = max(map(len, zones), default=0)
    turns = [zone[i] for i in range(longest) for zone in zones if i < len(zone)]
    return turns[:n_wanted]
