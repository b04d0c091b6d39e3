"""Bounds that all daemons keep together without asking anybody for each request.

The load answered here: a customer that sends many times its usual through all daemons
at once, and callers that repeat at once while backend servers fail. Each daemon counts
what the others report and, for one that is silent, what it may at most use.
"""

from dataclasses import dataclass
from typing import Final

REPEAT_SHARE: Final = 0.7  # of the allowed repeats, room for requests not yet counted


@dataclass(slots=True, kw_only=True)
class QuotaState:
    """A customer's quota as one daemon sees it.

    Attributes:
        level: units that may be used now by all daemons together; negative when
            others used more than was known.
        updated_at: seconds of the age clock.
        used: units that this daemon admitted since it started.
        used_at: when that last changed.
    """

    level: float
    updated_at: float
    used: float = 0.0
    used_at: float = float("-inf")


def refill_quota(
    state: QuotaState, *, now: float, rate: float, burst: float, silent_share: float
) -> None:
    """Brings a quota's level up to now.

    Args:
        state: is changed.
        now: seconds of the age clock.
        rate: units a second of all daemons.
        burst: most units that may lie unused.
        silent_share: share of all daemons that are not heard; each may be using its
            equal share of the rate.
    """
    elapsed_s = max(0.0, now - state.updated_at)
    gained = rate * (1.0 - silent_share) * elapsed_s
    state.level = min(burst, state.level + gained)
    state.updated_at = now


def admit_units(state: QuotaState, units: float, slack: float) -> bool:
    """Takes units from a quota; False when they are beyond it.

    Args:
        state: is changed.
        units: of the request.
        slack: units that may be owed, so that a late report of what others used
            refuses nobody within the quota.
    """
    if state.level + slack < units:
        return False
    state.level -= units
    state.used += units
    state.used_at = state.updated_at
    return True


def return_units(state: QuotaState, units: float) -> None:
    """Gives units of a request that did not run back to its quota."""
    state.level += units
    state.used -= units
    state.used_at = state.updated_at


def predict_quota_wait(
    state: QuotaState, units: float, slack: float, rate: float
) -> float:
    """Returns seconds until the quota is likely to have the units."""
    return max(0.0, units - slack - state.level) / rate if rate > 0 else 0.0


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """What one daemon may send again to one service."""

    tokens: float
    updated_at: float


def earn_retries(budget: RetryBudget, *, ratio: float) -> None:
    """Counts one request for the service."""
    budget.tokens += ratio * REPEAT_SHARE


def take_retry(
    budget: RetryBudget,
    *,
    now: float,
    extra: float,
    window_s: float,
    n_members: int,
) -> bool:
    """Takes one repeat from the budget; False when it is spent.

    Half of this daemon's share of the extra repeats may be used at once, the other
    half over one window, so that no window of that length sees more than the whole.
    """
    share = extra * REPEAT_SHARE / max(1, n_members) / 2
    gained = share / window_s * max(0.0, now - budget.updated_at)
    ceiling = max(1.0, share)  # one whole repeat, or a small share never allows any
    budget.tokens = min(ceiling, budget.tokens + gained)
    budget.updated_at = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
