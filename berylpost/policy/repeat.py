"""Decides whether an attempt without an answer may be followed by another one.

Servers may crash, reset connections, refuse requests or lose answers while callers
wait. A request is sent to another server only if this can neither run it twice when it
may run only once, nor use more servers than its route allows.
"""

from enum import StrEnum
from typing import Final


class AttemptOutcome(StrEnum):
    """The outcome of an attempt that gave no answer for the caller."""

    NOT_RUN = "not_run"
    MAYBE_RUN = "maybe_run"
    CACHE_MAYBE_TAKEN = "cache_maybe_taken"


# Maps (outcome, whether the request may run more than once) to whether to retry.
RETRY_ALLOWED: Final = {
    (AttemptOutcome.NOT_RUN, False): True,
    (AttemptOutcome.NOT_RUN, True): True,
    (AttemptOutcome.MAYBE_RUN, False): False,
    (AttemptOutcome.MAYBE_RUN, True): True,
    (AttemptOutcome.CACHE_MAYBE_TAKEN, False): False,
    (AttemptOutcome.CACHE_MAYBE_TAKEN, True): True,
}


def may_retry(
    outcome: AttemptOutcome,
    *,
    repeatable: bool,
    n_sent: int,
    n_run: int,
    max_attempts: int,
) -> bool:
    """Returns whether a request may be sent to another server.

    Args:
        outcome: outcome of the last attempt.
        repeatable: whether the request may run more than once.
        n_sent: attempts sent so far; one more than `max_attempts` may be sent, because
            an attempt may be refused without being run.
        n_run: attempts that may have run.
        max_attempts: number of servers that may run the request.
    """
    if n_run >= max_attempts or n_sent > max_attempts:
        return False
    return RETRY_ALLOWED[outcome, repeatable]
