"""Admission control: decides whether a request starts, waits or is refused.

Customers share the capacity by weight: the next request to start has the best
priority and, within that priority, belongs to the customer with the fewest requests
in progress relative to its weight. A request that cannot start before its deadline is
refused immediately, without being run, with the time after which to retry.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..configuration import Customer
from ..errors import ErrorKind

BURST_S: Final = 2.0  # burst size, as seconds of the customer's rate
MIN_RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """One customer's usage of this daemon.

    Attributes:
        running: requests in progress.
        queued: requests waiting to start.
        bucket: tokens of its rate limit: requests that it may start immediately.
        filled_at: time at which `bucket` was computed, monotonic seconds.
    """

    running: int = 0
    queued: int = 0
    bucket: float = 0.0
    filled_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """The daemon's load, as used for admission.

    Attributes:
        running: streams assigned to a backend server.
        queued: streams waiting to start.
        capacity: streams that the backend servers' limits allow.
        service_s: mean time for which a stream occupies a slot, in seconds.
        max_streams: upper bound on running and queued streams together.
        max_queue: upper bound on queued streams.
    """

    running: int
    queued: int
    capacity: float
    service_s: float
    max_streams: int
    max_queue: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may start or wait; `usage` has its rate-limit token deducted."""

    usage: Usage


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request is refused without having been run."""

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
    """Decides whether a new request is admitted.

    Args:
        customer: the customer that sent the request, with its limits.
        usage: the customer's current usage.
        weights: weights of all customers with work here, including this one.
        load: load of this daemon.
        patience_s: how long the request may wait to start, in seconds.
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
    updated = Usage(
        running=usage.running,
        queued=usage.queued,
        bucket=bucket - 1,
        filled_at=now,
    )
    return Admitted(usage=updated)


def _refuse(kind: ErrorKind, detail: str, wait_s: float) -> Refused:
    return Refused(
        kind=kind, detail=detail, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
    )


def fill_bucket(usage: Usage, customer: Customer, now: float) -> float:
    """Returns how many requests the customer's rate limit allows immediately."""
    burst = max(1.0, customer.rate * BURST_S)
    if not usage.filled_at:
        return burst
    return min(burst, usage.bucket + (now - usage.filled_at) * customer.rate)


def predict_wait(*, usage: Usage, share: float, load: Load) -> float:
    """Predicts how long a request of this customer waits to start, in seconds.

    With free slots it starts immediately. Otherwise the customer's own queue drains
    at the customer's share of the rate at which slots become free.
    """
    if load.capacity <= 0:
        return load.service_s
    if load.running + load.queued < load.capacity:
        return 0.0
    freed_per_s = load.capacity / load.service_s * share
    return (usage.queued + 1) / freed_per_s


def find_max_queue_wait(patience_s: float, first_token_s: float) -> float:
    """Returns how long a request may wait for its slot, in seconds.

    The first token arrives some time after the slot is assigned, so a request that
    starts only at the end of `patience_s` would miss its deadline.

    Args:
        patience_s: time within which the first token is expected, in seconds.
        first_token_s: recently observed time from slot to first token, in seconds.
    """
    return max(0.0, patience_s - first_token_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        priority: 0 is served first.
        start_by: latest useful start time, monotonic seconds.
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
    """Orders queued requests by priority, weighted requests in progress and age.

    Args:
        queue: requests waiting to start.
        running: requests in progress by customer.
    """
    return sorted(
        queue,
        key=lambda w: (
            w.priority,
            running.get(w.customer, 0) / w.weight,
            w.queued_at,
        ),
    )


def list_overdue(queue: Sequence[QueuedRequest], now: float) -> list[str]:
    """Lists ids of queued requests that can no longer start in time."""
    return [waiting.id for waiting in queue if now >= waiting.start_by]
