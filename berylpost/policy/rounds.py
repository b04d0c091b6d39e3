"""How often daemons tell each other of themselves, by how many they are.

The load answered here: tens of daemons that need each other's totals to place prompts
and keep quotas, on links of 10 Mbit/s. Everyone reaches everyone in each round, and
rounds grow longer with the daemons so that a daemon's datagrams a second are bounded.
"""

import math
from typing import Final

TICK_S: Final = 0.25  # four fit into the second after which callers give up
# Some 0.3 KB each: 30 KB/s, 3% of a link of 10 Mbit/s.
MAX_SENT_PER_S: Final = 100.0
SHORTEST_SILENCE_S: Final = 1.6  # six ticks; loses nobody to chance at 3% loss
SILENT_ROUNDS: Final = 3.5  # three lost datagrams in a row at 3% loss: 27 in a million


def find_round_s(n_others: int) -> float:
    """Returns seconds in which a daemon tells every other one of itself once."""
    return max(TICK_S, n_others / MAX_SENT_PER_S)


def find_failure_timeout_s(n_others: int) -> float:
    """Returns seconds without a datagram after which a daemon counts as lost."""
    return max(SHORTEST_SILENCE_S, SILENT_ROUNDS * find_round_s(n_others))


def count_sends_per_tick(n_others: int) -> int:
    """Counts the daemons to tell in one tick."""
    return math.ceil(n_others * TICK_S / find_round_s(n_others))
