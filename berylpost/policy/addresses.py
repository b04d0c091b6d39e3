"""Chooses the daemon addresses given to a caller, spread over availability zones."""

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
    """Chooses alive daemons for one caller, spread over availability zones."""
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
    """Chooses a random subset of daemons, balanced over availability zones.

    The result alternates between zones, so that a caller still has addresses after
    the loss of one zone. The order within a zone is random, which distributes callers
    evenly and lets every daemon appear in some answers.

    Args:
        daemons: daemons that accept work.
        find_zone: returns the availability zone of a daemon.
        n_wanted: maximum number of daemons returned.
        random_state: random stream that determines the order.
    """
    by_zone: dict[str, list[T]] = {}
    for daemon in daemons:
        by_zone.setdefault(find_zone(daemon), []).append(daemon)
    zones = list(by_zone.values())
    random_state.shuffle(zones)
    for zone in zones:
        random_state.shuffle(zone)
    longest = max(map(len, zones), default=0)
    interleaved = [zone[i] for i in range(longest) for zone in zones if i < len(zone)]
    return interleaved[:n_wanted]
