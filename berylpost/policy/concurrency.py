"""Per-server concurrency limit: additive increase, multiplicative decrease (AIMD).

The limit increases additively while first tokens arrive well within the target and
decreases by a factor when they are late or the server refuses. Daemons that use the
same server need no coordination, because each of them observes the same lateness.
"""

from dataclasses import dataclass, replace
from typing import Final

MIN_LIMIT: Final = 1.0
DECREASE_FACTOR: Final = 0.85
DECREASE_INTERVAL_S: Final = 0.5  # one burst of late answers causes one decrease
# Share of the limit that must be in use before it is raised; answers below that share
# do not show that the server can take more.
MIN_USED_SHARE: Final = 0.75
# Share of the target above which a first token counts as late; the rest covers transit
# and batching.
LATE_AFTER_SHARE: Final = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """The concurrency limit at one backend server.

    Attributes:
        value: requests that this daemon may have in progress there.
        ceiling: upper bound on `value`.
        shrunk_at: time of the last decrease, monotonic seconds.
    """

    value: float
    ceiling: float
    shrunk_at: float = -1e9


def start_limit(slots: int, n_daemons: int) -> Limit:
    """Starts with an equal share of the server's slots; the ceiling is twice them."""
    equal_share = slots / max(1, n_daemons)
    return Limit(value=max(2.0, equal_share), ceiling=2.0 * slots)


def take_sample(
    limit: Limit, *, first_token_s: float | None, target_s: float, own: int, now: float
) -> Limit:
    """Updates the limit with one observation.

    Args:
        limit: the current limit.
        first_token_s: time to first token, or None for a refusal or a time-out.
        target_s: target time to first token of the deployment.
        own: this daemon's requests in progress at the server.
        now: monotonic seconds.
    """
    if first_token_s is None or first_token_s > target_s * LATE_AFTER_SHARE:
        if now - limit.shrunk_at < DECREASE_INTERVAL_S:
            return limit
        value = max(MIN_LIMIT, limit.value * DECREASE_FACTOR)
        return replace(limit, value=value, shrunk_at=now)
    if own < limit.value * MIN_USED_SHARE:
        return limit
    return replace(limit, value=min(limit.ceiling, limit.value + 1 / limit.value))
