"""What may follow an attempt that brought no answer.

The load answered here: servers that crash, reset, refuse or lose answers while callers
wait. A request goes elsewhere only if that can neither run it twice where it may run
once, nor use more servers than its route allows.
"""

from enum import StrEnum
from typing import Final


class AttemptOutcome(StrEnum):
    """How an attempt ended without an answer for the caller."""

    NOT_RUN = "not_run"
    MAYBE_RUN = "maybe_run"
    CACHE_MAYBE_TAKEN = "cache_maybe_taken"


# (how it ended, whether the request may run more than once) to whether it goes on.
MAY_GO_ON: Final = {
    (AttemptOutcome.NOT_RUN, False): True,
    (AttemptOutcome.NOT_RUN, True): True,
    (AttemptOutcome.MAYBE_RUN, False): False,
    (AttemptOutcome.MAYBE_RUN, True): True,
    (AttemptOutcome.CACHE_MAYBE_TAKEN, False): False,
    (AttemptOutcome.CACHE_MAYBE_TAKEN, True): True,
}


def may_retry(
    ending: AttemptOutcome,
    *,
    repeatable: bool,
    n_sent: int,
    n_run: int,
    max_attempts: int,
) -> bool:
    """Tells whether a request may be sent to one more server.

    Args:
        ending: of the last attempt.
        repeatable: whether it may run more than once.
        n_sent: attempts sent so far; one beyond `max_attempts` may be refused.
        n_run: attempts that may have run.
        max_attempts: servers that may run it.
    """
    if n_run >= max_attempts or n_sent > max_attempts:
        return False
    return MAY_GO_ON[ending, repeatable]
