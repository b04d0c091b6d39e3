"""Who may start now, who waits and who is refused early.

Customers share the capacity by weight: the next to start is of the best priority
and, within it, of the customer with the least in progress for its weight. A
request that cannot start before its deadline is refused at once, as not run, with
the time after which asking again makes sense.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..configuration import Customer
from ..errors import ErrorKind

BURST_S: Final = 2.0  # seconds of a customer's rate that may come at once
MIN_RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What one customer uses on this daemon.

    Attributes:
        running: requests in progress.
        queued: requests that wait.
        bucket: requests it may start at once under its rate.
        filled_at: when `bucket` was right, monotonic seconds.
    """

    running: int = 0
    queued: int = 0
    bucket: float = 0.0
    filled_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """The daemon's state as admission sees it.

    Attributes:
        running: streams with a backend server.
        queued: streams that wait.
        capacity: streams that the backend servers' limits allow.
        service_s: mean time that one occupies a slot.
        max_streams: bound on both together.
        max_queue: bound on those that wait.
    """

    running: int
    queued: int
    capacity: float
    service_s: float
    max_streams: int
    max_queue: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may start or wait; `usage` has its share of the rate taken."""

    usage: Usage


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request is refused; it did not run."""

    kind: ErrorKind
    detail: str
    retry_after_s: float


def decide_admission(
    *,
    customer: Customer,
    usage: Usage,
    weights: Mapping[str, float],
    load: Load,
    patience_s: float,
    now: float,
) -> Admitted | Refused:
    """Decides on a new request.

    Args:
        customer: with its limits.
        usage: what it uses now.
        weights: of all customers with work here, this one included.
        load: of this daemon.
        patience_s: how long the request may wait to start.
        now: monotonic seconds.
    """
    bucket = fill_bucket(usage, customer, now)
    if bucket < 1:
        wait = (1 - bucket) / customer.rate
        return _refuse(ErrorKind.RATE_LIMITED, "rate limit reached", wait)
    if usage.running + usage.queued >= customer.concurrency:
        return _refuse(
            ErrorKind.RATE_LIMITED, "concurrency limit reached", load.service_s
        )
    if load.running + load.queued >= load.max_streams:
        return _refuse(ErrorKind.OVERLOADED, "stream bound reached", load.service_s)
    share = customer.weight / max(sum(weights.values()), customer.weight)
    if usage.queued >= max(1.0, load.max_queue * share):
        return _refuse(ErrorKind.OVERLOADED, "queue share used up", load.service_s)
    wait = predict_wait(usage=usage, share=share, load=load)
    if wait > patience_s:
        detail = f"would wait {wait:.2f} s of {patience_s:.2f} s"
        return _refuse(ErrorKind.DEADLINE_UNREACHABLE, detail, wait - patience_s)
    taken = Usage(
        running=usage.running,
        queued=usage.queued,
        bucket=bucket - 1,
        filled_at=now,
    )
    return Admitted(usage=taken)


def _refuse(kind: ErrorKind, detail: str, wait_s: float) -> Refused:
    return Refused(
        kind=kind, detail=detail, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
    )


def fill_bucket(usage: Usage, customer: Customer, now: float) -> float:
    """Returns how many requests the customer's rate allows at once now."""
    burst = max(1.0, customer.rate * BURST_S)
    if not usage.filled_at:
        return burst
    return min(burst, usage.bucket + (now - usage.filled_at) * customer.rate)


def predict_wait(*, usage: Usage, share: float, load: Load) -> float:
    """Predicts how long a request of this customer waits to start, in seconds.

    With free slots it starts at once. Otherwise the customer's own queue drains
    at its share of the slots that come free.
    """
    if load.capacity <= 0:
        return load.service_s
    if load.running + load.queued < load.capacity:
        return 0.0
    freed_per_s = load.capacity / load.service_s * share
    return (usage.queued + 1) / freed_per_s


def find_max_queue_wait(patience_s: float, first_token_s: float) -> float:
    """Returns how long a request may wait for its slot, in seconds.

    The first token comes only some time after the slot; a request that starts at
    the last moment of its patience would be late all the same.

    Args:
        patience_s: until the first token is wanted.
        first_token_s: from the slot to the first token, as seen lately.
    """
    return max(0.0, patience_s - first_token_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        priority: 0 goes first.
        start_by: when waiting on makes no sense, monotonic seconds.
    """

    id: str
    customer: str
    weight: float
    priority: int
    start_by: float
    queued_at: float


def order_queue(
    queue: Sequence[QueuedRequest], running: Mapping[str, int]
) -> list[QueuedRequest]:
    """Orders those that wait: priority, least in progress for its weight, age."""
    return sorted(
        queue,
        key=lambda w: (
            w.priority,
            running.get(w.customer, 0) / w.weight,
            w.queued_at,
        ),
    )


def list_overdue(queue: Sequence[QueuedRequest], now: float) -> list[str]:
    """Lists the queued requests that can no longer start in time."""
    return [waiting.id for waiting in queue if now >= waiting.start_by]
