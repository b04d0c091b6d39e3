"""Applies the share of a new version to the requests of one daemon.

Every daemon spreads its share evenly over its requests, beginning at a drawn place, so
that the requests of many daemons add up to the share instead of to one each.
"""

import math
from collections.abc import Sequence
from typing import Final

from ..hashing import hash_text

# A holder that was not heard for so long has lost its lease or its links: three of its
# messages, and below the 4 s after which a daemon counts as out of touch.
WORD_LIFETIME_S: Final = 2.0
# The servers that get a canary's requests carry about the load of the whole service.
# Reserve for servers that are slower than others.
CANARY_RESERVE: Final = 1.5
MIN_CANARIES: Final = 2  # tells a bad version from a bad machine


class ShareCounter:
    """Chooses which requests go to the new version.

    Args:
        credit: place at which the first interval begins, 0 to 1.
    """

    def __init__(self, *, credit: float) -> None:
        self._credit = credit

    def take(self, share: float) -> bool:
        """Tells whether the next request goes to the new version."""
        self._credit += share
        if self._credit < 1:
            return False
        self._credit -= math.floor(self._credit)
        return True


def find_share_in_force(share: float, *, age_s: float, is_final: bool) -> float:
    """Returns the share that a daemon applies.

    Args:
        share: share of the last word of the deciding daemon.
        age_s: time since that word.
        is_final: whether the word is final, so that it does not expire.
    """
    return share if is_final or age_s < WORD_LIFETIME_S else 0.0


def choose_canaries(names: Sequence[str], share: float, salt: str) -> list[str]:
    """Chooses the servers that get a share's requests; all daemons agree on them.

    A version may be bad under load only. A tenth of the requests on a tenth of the
    servers shows that, and on all servers it does not.

    Args:
        names: servers of the new version.
        share: share of the service's requests.
        salt: names the order, so that another order has other servers.
    """
    n_loaded = round(CANARY_RESERVE * share * len(names), 6)
    n = max(MIN_CANARIES, math.ceil(n_loaded))
    if n >= len(names):
        return list(names)
    return sorted(names, key=lambda name: hash_text(f"{salt}/{name}"))[:n]
