"""Admission on the relay: which requests are admitted, queued and started next.

Owned by the relay's thread. Keeps the queue, each customer's usage and the pools;
the decisions are in `policy.admission`.
"""

from collections.abc import Callable, Mapping

import msgspec

from .configurations import ConfigurationInForce
from .errors import BerylpostError, ErrorKind
from .invariants import check_invariant
from .kernel import Slot
from .policy.admission import (
    QueuedRequest,
    Refused,
    Usage,
    decide_admission,
    find_max_queue_wait,
    list_overdue,
    order_queue,
)
from .pools import Pool
from .recording import Recorder
from .settings import RelaySettings
from .streams import Stream, StreamRequest, StreamState


class AdmissionQueue:
    """The queued streams, the customers' usage and the pools of replicas.

    Args:
        settings: the relay's settings.
        in_force: the slot with the configurations in force.
        recorder: records decisions.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        in_force: Slot[Mapping[str, ConfigurationInForce]],
        recorder: Recorder,
    ) -> None:
        self.queued: dict[str, Stream] = {}
        self.pools: dict[tuple[str, str], Pool] = {}
        self._usage: dict[tuple[str, str], Usage] = {}
        self._settings = settings
        self._in_force = in_force
        self._recorder = recorder

    def find_pool(self, request: StreamRequest) -> Pool | None:
        """Returns the pool of a request's model."""
        return self.pools.get((request.deployment, request.model))

    def find_max_queue_wait(self, request: StreamRequest) -> float:
        """Returns how long a request may wait in the queue, in seconds."""
        pool = self.find_pool(request)
        return find_max_queue_wait(
            request.patience_s, pool.first_token_s if pool else 0.0
        )

    def admit(self, request: StreamRequest, now: float) -> BerylpostError | None:
        """Decides on a new request; returns the refusal, or None if it is admitted."""
        in_force = self._in_force.read().get(request.deployment)
        pool = self.find_pool(request)
        if in_force is None or pool is None or not pool.replicas:
            detail = f"no replica of {request.model!r}"
            return BerylpostError(ErrorKind.NO_BACKEND, detail, retry_after_s=2)
        customers = {c.name: c for c in in_force.deployment.customers}
        customer = customers.get(request.customer)
        if customer is None:
            # A configuration patch removed the customer after its token was checked.
            return BerylpostError(ErrorKind.FORBIDDEN, "no longer a customer")
        customer_key = (request.deployment, request.customer)
        usage = self._usage.get(customer_key, Usage())
        active = {
            name
            for (deployment, name), used in self._usage.items()
            if deployment == request.deployment and used.running + used.queued
        }
        weights = {c: customers[c].weight for c in active if c in customers}
        load = pool.describe_load(self._settings.max_streams, self._settings.max_queue)
        patience_s = self.find_max_queue_wait(request)
        decision = decide_admission(
            customer=customer,
            usage=usage,
            weights={**weights, customer.name: customer.weight},
            load=load,
            patience_s=patience_s,
            now=now,
        )
        self._recorder.record(
            "admission",
            now=now,
            inputs={
                # The record needs the customer's limits, but not its token hashes.
                "customer": msgspec.structs.replace(customer, tokens=()),
                "usage": usage,
                "weights": {**weights, customer.name: customer.weight},
                "load": load,
                "patience_s": patience_s,
            },
            outcome=decision,
        )
        if isinstance(decision, Refused):
            return BerylpostError(
                decision.kind, decision.detail, retry_after_s=decision.retry_after_s
            )
        self._usage[customer_key] = decision.usage
        return None

    def add(self, stream: Stream) -> None:
        """Puts a stream into the queue."""
        stream.state = StreamState.QUEUED
        self.queued[stream.request.id] = stream
        self.change_usage(stream, queued=1)
        pool = self.find_pool(stream.request)
        if pool is not None:
            pool.n_queued += 1

    def remove(self, stream: Stream) -> None:
        """Removes a stream from the queue, if it is queued."""
        if self.queued.pop(stream.request.id, None) is None:
            return
        self.change_usage(stream, queued=-1)
        pool = self.find_pool(stream.request)
        if pool is not None:
            pool.n_queued -= 1

    def change_usage(self, stream: Stream, running: int = 0, queued: int = 0) -> None:
        """Adds to the counts of the customer's running and queued streams."""
        customer_key = (stream.request.deployment, stream.request.customer)
        usage = self._usage.get(customer_key, Usage())
        changed = Usage(
            running=usage.running + running,
            queued=usage.queued + queued,
            bucket=usage.bucket,
            filled_at=usage.filled_at,
        )
        check_invariant(
            "usage_not_negative", changed.running >= 0 and changed.queued >= 0
        )
        self._usage[customer_key] = changed

    def _describe_queued(self, stream: Stream) -> QueuedRequest:
        request = stream.request
        return QueuedRequest(
            id=request.id,
            customer=request.owner,
            weight=request.weight,
            # Streams with tokens go first: their callers wait for the next token.
            priority=-1 if stream.n_tokens else request.priority,
            start_by=stream.start_by,
            queued_at=stream.accepted_at,
        )

    def start_queued(
        self, now: float, start: Callable[[Stream, Pool, float], bool]
    ) -> None:
        """Starts as many queued streams as the pools have room for."""
        ready = [s for s in self.queued.values() if s.not_before <= now]
        available = {
            key: pool for key, pool in self.pools.items() if ready and pool.has_room()
        }
        if not available:
            return
        waiting = [self._describe_queued(s) for s in ready]
        running = {f"{d}/{c}": u.running for (d, c), u in self._usage.items()}
        for item in order_queue(waiting, running):
            stream = self.queued[item.id]
            pool = available.get((stream.request.deployment, stream.request.model))
            if pool is None:
                continue
            if not start(stream, pool, now):
                if not pool.has_room():
                    del available[stream.request.deployment, stream.request.model]
                if not available:
                    return

    def list_overdue(self, now: float) -> list[str]:
        """Lists the queued streams that can no longer start in time."""
        waiting = [self._describe_queued(s) for s in self.queued.values()]
        return list_overdue(waiting, now)
