"""When a shard writes its next batch, so that writes follow shards and not calls.

An intent goes at once while the shard is within its rate of writes and otherwise
with the next write that the rate allows. What nobody waits for, outcomes above
all, rides with an intent or goes after a short while.
"""

from dataclasses import dataclass
from typing import Final

OUTCOME_DELAY_S: Final = 0.25  # a lost owner costs at most this much memory of outcomes


@dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """A shard's allowance of writes: a token bucket.

    Attributes:
        tokens: writes it may make at once.
        filled_at: when `tokens` was right, monotonic seconds.
    """

    tokens: float
    filled_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteNow:
    """Write the batch; `pace` has the write taken off."""

    pace: Pace


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Ask again at a time, monotonic seconds."""

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
        pace: the shard's allowance.
        urgent: whether someone waits for an entry of the batch.
        oldest_at: when its oldest entry came, monotonic seconds.
        writes_per_s: sustained rate of the shard.
        burst: writes that may come at once after a rest.
        now: monotonic seconds.
    """
    due = oldest_at if urgent else oldest_at + OUTCOME_DELAY_S
    if now < due:
        return Wait(until=due)
    tokens = min(burst, pace.tokens + (now - pace.filled_at) * writes_per_s)
    if tokens < 1:
        return Wait(until=now + (1 - tokens) / writes_per_s)
    return WriteNow(pace=Pace(tokens=tokens - 1, filled_at=now))
