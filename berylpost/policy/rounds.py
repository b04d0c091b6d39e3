"""Computes the length of gossip rounds from the number of daemons.

The policy is designed for tens of active daemons on links of 10 Mbit/s that need each
other's totals to place prompts and to enforce quotas. In each round, every active
daemon sends to every other one. Rounds become longer with more daemons, so that the
number of datagrams that a daemon sends per second is bounded. A standby daemon asks one
active daemon at a time, so that its work does not depend on the number of daemons.
"""

import math
from typing import Final

TICK_S: Final = 0.25  # four ticks fit into the second after which callers give up
# Datagrams of about 0.3 KB each: 30 KB/s, 3% of a link of 10 Mbit/s.
MAX_DATAGRAMS_PER_S: Final = 100.0
# Six ticks: at 3% message loss, no daemon is considered lost by chance.
MIN_FAILURE_TIMEOUT_S: Final = 1.6
# Covers three consecutive lost datagrams, whose probability is 27 in a million at 3%
# loss.
FAILURE_TIMEOUT_ROUNDS: Final = 3.5
# Short enough that a configuration is in force at a standby daemon within a second.
STANDBY_INTERVAL_S: Final = 0.5
# Covers three lost questions or answers of a standby daemon, and the round in which an
# active daemon passes on that it heard from it.
STANDBY_TIMEOUT_S: Final = 2.5


def find_round_s(n_others: int) -> float:
    """Returns the seconds in which a daemon sends to every other one once."""
    return max(TICK_S, n_others / MAX_DATAGRAMS_PER_S)


def find_failure_timeout_s(n_others: int) -> float:
    """Returns the seconds without a datagram after which a daemon counts as lost."""
    return max(MIN_FAILURE_TIMEOUT_S, FAILURE_TIMEOUT_ROUNDS * find_round_s(n_others))


def count_sends_per_tick(n_others: int) -> int:
    """Returns the number of daemons to send to in one tick."""
    return math.ceil(n_others * TICK_S / find_round_s(n_others))
