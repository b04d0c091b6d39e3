"""Decides whether a brittle server may be sent a request.

A brittle server falls over when it turns more than a named number of requests away in a
second, counted over all daemons. Requests that it has room for are sent freely; what it
might turn away is sent only in the time slots of a rate that all daemons share, so
that their sum stays below the number. Other requests go to another server or are
refused.
"""

from collections.abc import Sequence
from typing import Final

from ..hashing import hash_text

# Share of a server's slots that is used; the rest is for requests that other daemons
# have sent since their last report.
USED_SHARE: Final = 0.9
# A server that turned a request away may do so with the next one.
FULL_S: Final = 1.0
# After this time other daemons have the places that cannot be shared evenly.
EPOCH_S: Final = 2.0
# Time after which the other daemons know of requests that were sent in the last period.
OVERLAP_S: Final = 0.5
# Requests that daemons may send beyond a shared rate at once (`policy.server_limit`).
BURST: Final = 2.0
# Share of the rest of the named number that is used.
RISK_SHARE: Final = 0.5


def find_risk_rate(n_allowed: float) -> float:
    """Returns the requests a second that all daemons together may risk.

    Args:
        n_allowed: refusals in a second that the server bears.
    """
    return max(0.0, (n_allowed - BURST) * RISK_SHARE)


def share_slots(slots: int, server: str, names: Sequence[str], epoch: int) -> list[int]:
    """Shares the slots of a server evenly; the remainder changes with the epoch.

    Args:
        slots: requests that the server runs at the same time.
        server: id of the server.
        names: names of all daemons.
        epoch: number of the present period of `EPOCH_S`.

    Returns:
        The number of requests that each daemon may have at the server; every daemon
        computes the same.
    """
    each, n_more = divmod(int(USED_SHARE * slots), len(names))
    ranked = sorted(names, key=lambda name: hash_text(f"{server}/{name}/{epoch}"))
    preferred = set(ranked[:n_more])
    return [each + (name in preferred) for name in names]


def find_epochs(now: float) -> tuple[int, ...]:
    """Returns the periods whose shares bind at a time; the smallest share counts.

    Args:
        now: time of day that all daemons agree on, seconds.
    """
    return tuple({int((now - OVERLAP_S) / EPOCH_S), int(now / EPOCH_S)})


def has_room(
    *, slots: int, n_own: int, share: int, n_known: int, since_refusal_s: float
) -> bool:
    """Tells whether a brittle server probably takes another request.

    A daemon sends no more than its share, since the others may do so at the same
    moment.

    Args:
        slots: requests that the server runs at the same time.
        n_own: this daemon's requests at the server.
        share: requests that this daemon may have there.
        n_known: requests of all daemons, as far as known.
        since_refusal_s: time since it last turned a request of this daemon away.
    """
    return since_refusal_s > FULL_S and n_known < USED_SHARE * slots and n_own < share
