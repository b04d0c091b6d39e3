"""Whether a failed attempt is followed by another one.

Model requests are idempotent, so they may go on elsewhere with the tokens so far;
plain calls only if they are idempotent or certainly were not sent. A budget that
earns a share of a token with each request keeps a zone's loss from doubling load.
"""

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

FIRST_PAUSE_S: Final = 0.02
MAX_PAUSE_S: Final = 0.5
BUDGET_CAP: Final = 50.0


class Failure(StrEnum):
    """How an attempt ended."""

    UNSENT = "unsent"
    REFUSED = "refused"
    CUT = "cut"
    STALLED = "stalled"
    LEAVING = "leaving"


# What the backend server announced or never got costs no budget: it is not load
# that came back, and a reclaim must lose nothing however many streams it ends.
_FREE: Final = frozenset({Failure.LEAVING})


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """Retries that may be made now."""

    tokens: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Try again after a pause, in seconds."""

    pause_s: float
    budget: Budget


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Answer the caller now."""

    reason: str


def earn_budget(budget: Budget, ratio: float) -> Budget:
    """Earns the share of a retry that one new request brings."""
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
    """Decides after a failed attempt.

    Args:
        failure: how it ended.
        idempotent: whether the request may run twice.
        n_attempts: attempts made, the failed one included.
        max_attempts: bound for one request; announced leaving does not count.
        n_tokens: tokens that the caller has already been given.
        left_s: seconds until the deadline.
        budget: of this daemon.
        random_state: for the jitter.
    """
    if not idempotent and failure not in (Failure.UNSENT, Failure.REFUSED):
        return GiveUp(reason="may have run and must not repeat")
    if left_s <= 0:
        return GiveUp(reason="deadline passed")
    free = failure in _FREE
    if not free and n_attempts >= max_attempts:
        return GiveUp(reason=f"{n_attempts} attempts made")
    # A started answer is finished even without budget: cutting it would waste
    # every token already computed, and starting it was paid for.
    if not free and budget.tokens < 1 and not n_tokens:
        return GiveUp(reason="retry budget used up")
    spent = budget if free else replace(budget, tokens=max(0.0, budget.tokens - 1))
    if free:
        return Retry(pause_s=0.0, budget=spent)
    ceiling = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (n_attempts - 1))
    pause = min(random_state.uniform(0, ceiling), max(0.0, left_s / 2))
    return Retry(pause_s=pause, budget=spent)
