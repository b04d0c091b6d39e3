"""Quotas and retry budgets that all daemons enforce without per-request coordination.

The policy is designed for a customer that sends many times its usual load through all
daemons at the same time, and for callers that retry immediately while backend servers
fail. Each daemon counts the usage that the others report and, for a daemon that is not
heard from, the maximum that it may use.
"""

from dataclasses import dataclass
from typing import Final

# Share of the allowed retries that is used; the rest is a margin for requests that are
# not counted yet.
RETRY_SHARE: Final = 0.7


@dataclass(slots=True, kw_only=True)
class QuotaState:
    """One daemon's view of a customer's quota.

    Attributes:
        level: units that all daemons together may use now; negative if the others
            used more than was known.
        updated_at: time at which `level` was computed, boot-time clock in seconds.
        used: units that this daemon has admitted since it started.
        used_at: time of the last change of `used`, boot-time clock in seconds.
    """

    level: float
    updated_at: float
    used: float = 0.0
    used_at: float = float("-inf")


def refill_quota(
    state: QuotaState, *, now: float, rate: float, burst: float, silent_share: float
) -> None:
    """Refills a quota's level up to the current time.

    Args:
        state: the quota; updated in place.
        now: boot-time clock in seconds.
        rate: units per second for all daemons together.
        burst: maximum number of unused units.
        silent_share: share of all daemons that are not heard from; each of them may be
            using an equal share of the rate.
    """
    elapsed_s = max(0.0, now - state.updated_at)
    refilled = rate * (1.0 - silent_share) * elapsed_s
    state.level = min(burst, state.level + refilled)
    state.updated_at = now


def admit_units(state: QuotaState, units: float, slack: float) -> bool:
    """Takes units from a quota; returns False if they exceed it.

    Args:
        state: the quota; updated in place.
        units: units of the request.
        slack: units by which the level may become negative, so that a late report of
            other daemons' usage refuses no request within the quota.
    """
    if state.level + slack < units:
        return False
    state.level -= units
    state.used += units
    state.used_at = state.updated_at
    return True


def return_units(state: QuotaState, units: float) -> None:
    """Returns the units of a request that did not run to its quota."""
    state.level += units
    state.used -= units
    state.used_at = state.updated_at


def predict_quota_wait(
    state: QuotaState, units: float, slack: float, rate: float
) -> float:
    """Predicts the seconds until the quota has the units; 0 without a rate."""
    return max(0.0, units - slack - state.level) / rate if rate > 0 else 0.0


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """One daemon's retry budget for one service.

    Attributes:
        tokens: retries that may be made now.
        updated_at: time of the last update, boot-time clock in seconds.
    """

    tokens: float
    updated_at: float


def earn_retries(budget: RetryBudget, *, ratio: float) -> None:
    """Adds the share of a retry that one request to the service earns."""
    budget.tokens += ratio * RETRY_SHARE


def take_retry(
    budget: RetryBudget,
    *,
    now: float,
    extra: float,
    window_s: float,
    n_members: int,
) -> bool:
    """Takes one retry from the budget; returns False if the budget is used up.

    Half of this daemon's share of the extra retries may be used immediately and the
    other half over one window, so that no window of that length has more than the
    whole share.

    Args:
        budget: the retry budget; updated in place.
        now: boot-time clock in seconds.
        extra: retries per window of all daemons together, beyond those earned by
            requests.
        window_s: length of the window, in seconds.
        n_members: number of daemons that share the extra retries.
    """
    share = extra * RETRY_SHARE / max(1, n_members) / 2
    refilled = share / window_s * max(0.0, now - budget.updated_at)
    # At least one whole retry; a small share would otherwise never allow any.
    ceiling = max(1.0, share)
    budget.tokens = min(ceiling, budget.tokens + refilled)
    budget.updated_at = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
