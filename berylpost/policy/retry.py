"""Retry policy: decides whether a failed attempt is followed by another one.

Model requests are idempotent, so they may be continued elsewhere from the tokens
generated so far. Plain calls are retried only if they are idempotent or certainly did
not run. A retry budget that gains a fraction of a token with each request prevents the
loss of a zone from doubling the load.
"""

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

FIRST_PAUSE_S: Final = 0.02
MAX_PAUSE_S: Final = 0.5
BUDGET_CAP: Final = 50.0


class Failure(StrEnum):
    """How an attempt failed."""

    UNSENT = "unsent"
    REFUSED = "refused"
    CUT = "cut"
    STALLED = "stalled"
    LEAVING = "leaving"


# Attempts ended by an announced departure of the backend server use no budget: they are
# not repeated load, and a reclaim must lose no stream, however many it ends.
_EXEMPT_FAILURES: Final = frozenset({Failure.LEAVING})


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """The retry budget: `tokens` retries may be made now."""

    tokens: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Retry after a pause, in seconds; `budget` is what remains of the budget."""

    pause_s: float
    budget: Budget


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Do not retry; answer the caller now."""

    reason: str


def earn_budget(budget: Budget, ratio: float) -> Budget:
    """Adds the fraction of a retry that one new request earns."""
    return replace(budget, tokens=min(BUDGET_CAP, budget.tokens + ratio))


def decide_retry(
    *,
    failure: Failure,
    idempotent: bool,
    n_attempts: int,
    max_attempts: int,
    n_tokens: int,
    left_s: float,
    budget: Budget,
    random_state: random.Random,
) -> Retry | GiveUp:
    """Decides whether to retry after a failed attempt.

    Args:
        failure: how the attempt failed.
        idempotent: whether the request may run twice.
        n_attempts: attempts made, including the failed one.
        max_attempts: maximum number of attempts for one request; an announced
            departure of the server is exempt from it.
        n_tokens: tokens that the caller has already received.
        left_s: seconds until the deadline.
        budget: the daemon's retry budget.
        random_state: random stream for the jitter.
    """
    if not idempotent and failure not in (Failure.UNSENT, Failure.REFUSED):
        return GiveUp(reason="may have run and must not repeat")
    if left_s <= 0:
        return GiveUp(reason="deadline passed")
    exempt = failure in _EXEMPT_FAILURES
    if not exempt and n_attempts >= max_attempts:
        return GiveUp(reason=f"{n_attempts} attempts made")
    # A started answer is completed even without budget: cutting it off would waste
    # all tokens already computed, and the cost of starting it has been incurred.
    if not exempt and budget.tokens < 1 and not n_tokens:
        return GiveUp(reason="retry budget used up")
    remaining = (
        budget if exempt else replace(budget, tokens=max(0.0, budget.tokens - 1))
    )
    if exempt:
        return Retry(pause_s=0.0, budget=remaining)
    ceiling = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (n_attempts - 1))
    pause = min(random_state.uniform(0, ceiling), max(0.0, left_s / 2))
    return Retry(pause_s=pause, budget=remaining)
