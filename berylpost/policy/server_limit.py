"""Shares the request rate that a server names among all daemons.

A server in need names how many requests a second it takes from all daemons together.
The rate may be far below one request a second for each daemon, so it is shared as time
slots: each daemon has one slot in each period, in the order of a hash. An unused slot
soon expires, so that requests which come to all daemons at once do not add up.
"""

import math
from dataclasses import dataclass
from typing import Final

# Share of the named rate that is used; the rest is for daemons that count differently.
USED_SHARE: Final = 0.9
# Unused slots of all daemons together: so many, and the rate of half a second.
MAX_UNUSED: Final = 2.0
MAX_UNUSED_S: Final = 0.5
# A server that takes nothing is asked at this rate, or nobody would learn of its end.
MIN_RATE: Final = 0.1
# Daemons that disappeared may have been cut off and go on. Parts of a deployment that
# each count this share of all daemons at least exceed a rate by a third at most.
MIN_PEAK_SHARE: Final = 0.75
# A slot that moves because daemons join or leave comes no sooner than this share of a
# period after the last one.
MIN_SPACING: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """One daemon's share of a server's rate.

    Attributes:
        rate: requests a second that the server takes from all daemons.
        n_daemons: number of daemons that share it.
        phase: where the daemon's slot lies in each period, 0 to 1; spread evenly over
            the known daemons.
    """

    rate: float
    n_daemons: int
    phase: float


def count_sharers(n_known: int, n_peak: int) -> int:
    """Returns among how many daemons a rate is shared.

    Args:
        n_known: daemons that this one knows of, itself included.
        n_peak: the most that it has known of in recent minutes.
    """
    return max(n_known, math.ceil(MIN_PEAK_SHARE * n_peak))


def find_slot(share: Share, *, now: float, last_slot: float) -> float:
    """Returns the time of the next slot that the daemon may use; at most `now` if any.

    Args:
        share: the daemon's share.
        now: the present time, seconds.
        last_slot: time of the slot that was used last, seconds; -inf for none.
    """
    rate = max(MIN_RATE, share.rate) * USED_SHARE
    period_s = share.n_daemons / rate
    earliest = now - MAX_UNUSED / rate - MAX_UNUSED_S
    # A clock that was set back must not block the daemon.
    if last_slot < now + period_s:
        earliest = max(earliest, last_slot + MIN_SPACING * period_s)
    offset = share.phase * period_s
    n_periods = math.ceil((earliest - offset) / period_s)
    return n_periods * period_s + offset
