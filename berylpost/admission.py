"""Admission on the relay: who is admitted, who waits and who starts next.

Owned by the relay's thread. Keeps the queue, what each customer uses and the pools;
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


class WaitingRoom:
    """Queue, usage and pools.

    Args:
        settings: of the relay.
        in_force: the board's slot of configurations.
        recorder: of decisions.
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
        """Returns how long a request may wait for its slot, in seconds."""
        pool = self.find_pool(request)
        return find_max_queue_wait(
            request.patience_s, pool.first_token_s if pool else 0.0
        )

    def admit(self, request: StreamRequest, now: float) -> BerylpostError | None:
        """Decides on a new request; returns the refusal, or None."""
        in_force = self._in_force.read().get(request.deployment)
        pool = self.find_pool(request)
        if in_force is None or pool is None or not pool.replicas:
            detail = f"no replica of {request.model!r}"
            return BerylpostError(ErrorKind.NO_BACKEND, detail, retry_after_s=2)
        customers = {c.name: c for c in in_force.deployment.customers}
        customer = customers.get(request.customer)
        if customer is None:
            # A patch took it away after its token was checked.
            return BerylpostError(ErrorKind.FORBIDDEN, "no longer a customer")
        place = (request.deployment, request.customer)
        usage = self._usage.get(place, Usage())
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
                # A record needs the limits, not the token hashes.
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
        self._usage[place] = decision.usage
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
        """Takes a stream out of the queue, if it is there."""
        if self.queued.pop(stream.request.id, None) is None:
            return
        self.change_usage(stream, queued=-1)
        pool = self.find_pool(stream.request)
        if pool is not None:
            pool.n_queued -= 1

    def change_usage(self, stream: Stream, running: int = 0, queued: int = 0) -> None:
        """Counts a change of what the stream's customer uses."""
        place = (stream.request.deployment, stream.request.customer)
        usage = self._usage.get(place, Usage())
        changed = Usage(
            running=usage.running + running,
            queued=usage.queued + queued,
            bucket=usage.bucket,
            filled_at=usage.filled_at,
        )
        check_invariant(
            "usage_not_negative", changed.running >= 0 and changed.queued >= 0
        )
        self._usage[place] = changed

    def _describe_waiting(self, stream: Stream) -> QueuedRequest:
        request = stream.request
        return QueuedRequest(
            id=request.id,
            customer=request.owner,
            weight=request.weight,
            # What has begun goes first: its caller already waits for the next token.
            priority=-1 if stream.n_tokens else request.priority,
            start_by=stream.start_by,
            queued_at=stream.accepted_at,
        )

    def start_waiting(
        self, now: float, start: Callable[[Stream, Pool, float], bool]
    ) -> None:
        """Starts as many waiting requests as there is room for."""
        ready = [s for s in self.queued.values() if s.not_before <= now]
        rooms = {
            key: pool for key, pool in self.pools.items() if ready and pool.has_room()
        }
        if not rooms:
            return
        waiting = [self._describe_waiting(s) for s in ready]
        running = {f"{d}/{c}": u.running for (d, c), u in self._usage.items()}
        for item in order_queue(waiting, running):
            stream = self.queued[item.id]
            pool = rooms.get((stream.request.deployment, stream.request.model))
            if pool is None:
                continue
            if not start(stream, pool, now):
                if not pool.has_room():
                    del rooms[stream.request.deployment, stream.request.model]
                if not rooms:
                    return

    def list_overdue(self, now: float) -> list[str]:
        """Lists the queued streams that can no longer start in time."""
        waiting = [self._describe_waiting(s) for s in self.queued.values()]
        return list_overdue(waiting, now)
