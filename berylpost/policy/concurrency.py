"""How many requests a daemon keeps at one backend server: additive up, shared down.

The limit rises while first tokens come well within the target and falls by a
factor when they are late or the server refuses. It needs no word from the other
daemons that use the same server: each sees the same lateness.
"""

from dataclasses import dataclass, replace
from typing import Final

MIN_LIMIT: Final = 1.0
SHRINK: Final = 0.85
SHRINK_PAUSE_S: Final = 0.5  # one wave of late answers counts once
USED_SHARE: Final = 0.75  # an unused limit proves nothing and does not rise
LATE_SHARE: Final = 0.6  # of the target; the rest is for the way and the batch


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """The limit at one backend server."""

    value: float
    ceiling: float
    shrunk_at: float = -1e9


def start_limit(slots: int, n_daemons: int) -> Limit:
    """Starts with the server's slots shared by the daemons, never above twice them."""
    fair = slots / max(1, n_daemons)
    return Limit(value=max(2.0, fair), ceiling=2.0 * slots)


def take_sample(
    limit: Limit, *, first_token_s: float | None, target_s: float, own: int, now: float
) -> Limit:
    """Takes one observation in.

    Args:
        limit: as it stands.
        first_token_s: time to first token, or None for a refusal or a time-out.
        target_s: of the deployment.
        own: this daemon's requests in progress there.
        now: monotonic seconds.
    """
    if first_token_s is None or first_token_s > target_s * LATE_SHARE:
        if now - limit.shrunk_at < SHRINK_PAUSE_S:
            return limit
        value = max(MIN_LIMIT, limit.value * SHRINK)
        return replace(limit, value=value, shrunk_at=now)
    if own < limit.value * USED_SHARE:
        return limit
    return replace(limit, value=min(limit.ceiling, limit.value + 1 / limit.value))
