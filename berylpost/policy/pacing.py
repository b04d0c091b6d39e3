"""Write pacing: decides when a shard writes its next batch to the journal.

The number of writes depends on the number of shards, not on the number of calls. An
intent is written immediately while the shard is within its write rate, and otherwise
with the next write that the rate allows. Entries that nobody waits for, mainly
outcomes, are written together with an intent or after a short delay.
"""

from dataclasses import dataclass
from typing import Final

# Losing the owner of a shard loses at most this many seconds of recorded outcomes.
OUTCOME_DELAY_S: Final = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """A shard's write allowance: a token bucket.

    Attributes:
        tokens: writes that the shard may make immediately.
        filled_at: time at which `tokens` was computed, monotonic seconds.
    """

    tokens: float
    filled_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteNow:
    """Write the batch; `pace` has one token deducted."""

    pace: Pace


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Decide again at `until`, monotonic seconds."""

    until: float


def decide_write(
    pace: Pace,
    *,
    urgent: bool,
    oldest_at: float,
    writes_per_s: float,
    burst: float,
    now: float,
) -> WriteNow | Wait:
    """Decides whether a shard's batch is written now.

    Args:
        pace: the shard's write allowance.
        urgent: whether a request waits for an entry of the batch.
        oldest_at: arrival time of the batch's oldest entry, monotonic seconds.
        writes_per_s: sustained write rate of the shard.
        burst: writes that may follow each other immediately after an idle period.
        now: monotonic seconds.
    """
    due_at = oldest_at if urgent else oldest_at + OUTCOME_DELAY_S
    if now < due_at:
        return Wait(until=due_at)
    tokens = min(burst, pace.tokens + (now - pace.filled_at) * writes_per_s)
    if tokens < 1:
        return Wait(until=now + (1 - tokens) / writes_per_s)
    return WriteNow(pace=Pace(tokens=tokens - 1, filled_at=now))
