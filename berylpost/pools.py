"""One daemon's view of the replicas of one model; owned by the relay.

Keeps the state that the policies need between decisions: loads, the daemon's own
requests in progress, limits, and which replica likely caches which prompt prefix.
The decisions themselves are in `policy`.
"""

import dataclasses
from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Final

from .messages import Backend
from .policy.admission import Load
from .policy.concurrency import Limit, start_limit, take_sample
from .policy.routing import (
    Choice,
    Replica,
    Ring,
    build_ring,
    choose_replica,
    hash_prefix,
)
from .streams import Stream
from .upstream import LoadReport

MAX_PREFIXES: Final = 2_000
MAX_REPLICAS_PER_PREFIX: Final = 4
INITIAL_SERVICE_S: Final = 2.0  # assumed until the first answer is complete
EWMA_WEIGHT: Final = 0.05
DEFAULT_SLOTS: Final = 16


class Pool:
    """The replicas of one model of one deployment.

    Args:
        deployment: its name.
        model: its name.
    """

    def __init__(self, *, deployment: str, model: str) -> None:
        self.deployment = deployment
        self.model = model
        self.replicas: dict[str, Replica] = {}
        self.own: dict[str, int] = {}
        self.limits: dict[str, Limit] = {}
        self.leaving: frozenset[str] = frozenset()
        self.service_s = INITIAL_SERVICE_S
        self.first_token_s = 0.0
        self.n_queued = 0
        self._ring: Ring = build_ring(())
        # Updated incrementally: summing over all replicas on each request would cost
        # more the more replicas the region has.
        self._limit_values: dict[str, float] = {}
        self._with_room: set[str] = set()
        self._n_running = 0
        self._capacity = 0.0
        self._n_daemons = 1
        self._prefixes: OrderedDict[int, dict[str, int]] = OrderedDict()

    def set_backends(self, backends: Iterable[Backend], n_daemons: int) -> None:
        """Applies the current table of backend servers of this model."""
        self._n_daemons = max(1, n_daemons)
        present = {b.id: b for b in backends if b.state != "gone"}
        running = sorted(i for i, b in present.items() if b.state == "running")
        for backend_id, backend in present.items():
            if backend_id not in self.replicas:
                self.replicas[backend_id] = Replica(
                    id=backend_id,
                    address=backend.address,
                    name=backend.name,
                    zone=backend.zone,
                    slots=DEFAULT_SLOTS,
                )
                self.limits[backend_id] = start_limit(DEFAULT_SLOTS, n_daemons)
        self.leaving = frozenset(present) - frozenset(running)
        for gone in set(self.replicas) - set(present):
            del self.replicas[gone], self.limits[gone]
            self._n_running -= self.own.pop(gone, 0)
        if running != list(self._ring.ids):
            self._ring = build_ring(running)
        self._limit_values = {i: self.limits[i].value for i in running}
        self._capacity = sum(self._limit_values.values())
        self._with_room = {i for i in running if self._has_room_at(i)}

    def _has_room_at(self, replica_id: str) -> bool:
        return self.own.get(replica_id, 0) < self._limit_values.get(replica_id, 0.0)

    def _update_room(self, replica_id: str) -> None:
        if self._has_room_at(replica_id):
            self._with_room.add(replica_id)
        else:
            self._with_room.discard(replica_id)

    def count_running(self) -> int:
        """Counts this daemon's requests in progress on all replicas."""
        return self._n_running

    def capacity(self) -> float:
        """Returns the sum of the limits of the replicas that accept new work."""
        return self._capacity

    def describe_load(self, max_streams: int, max_queue: int) -> Load:
        """Describes the pool as input of an admission decision."""
        return Load(
            running=self.count_running(),
            queued=self.n_queued,
            capacity=self.capacity(),
            service_s=self.service_s,
            max_streams=max_streams,
            max_queue=max_queue,
        )

    def has_room(self) -> bool:
        """Tells whether any replica is below its limit; cheaper than `choose`."""
        return bool(self._with_room)

    def choose(
        self, stream: Stream, now: float, full: frozenset[str] = frozenset()
    ) -> Choice | None:
        """Chooses a replica for the next attempt of a stream.

        Args:
            stream: the stream.
            now: monotonic seconds.
            full: replicas that may be sent no request now.
        """
        # The ring has no leaving replicas. Replicas that failed this request are
        # excluded only while others are left.
        has_untried = len(stream.excluded_backends) < len(self._ring.ids)
        excluded = frozenset(stream.excluded_backends) if has_untried else frozenset()
        prompt = stream.request.prompt
        key = hash_prefix(prompt)
        cached = dict(self._prefixes.get(key, {}))
        if stream.preferred_backend in self._limit_values:
            cached[stream.preferred_backend] = len(prompt) + len(stream.text)
        return choose_replica(
            self._ring,
            self.replicas,
            prefix_key=key,
            prompt_chars=len(prompt) + len(stream.text),
            own=self.own,
            limits=self._limit_values,
            cached_chars=cached,
            n_daemons=self._n_daemons,
            excluded=excluded | full,
            now=now,
        )

    def start(self, stream: Stream, replica_id: str) -> None:
        """Records that an attempt was sent."""
        self.own[replica_id] = self.own.get(replica_id, 0) + 1
        self._n_running += 1
        self._update_room(replica_id)
        key = hash_prefix(stream.request.prompt)
        holders = self._prefixes.setdefault(key, {})
        # Only the shared prefix is certain to be reusable by the next request.
        holders[replica_id] = min(len(stream.request.prompt), 512)
        while len(holders) > MAX_REPLICAS_PER_PREFIX:
            del holders[next(iter(holders))]
        self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def end(self, replica_id: str, service_s: float | None) -> None:
        """Records an attempt's end, with its duration if the answer is complete."""
        if replica_id in self.own:
            self._n_running -= 1
            self.own[replica_id] -= 1
            if not self.own[replica_id]:
                del self.own[replica_id]
        self._update_room(replica_id)
        if service_s is not None:
            self.service_s += EWMA_WEIGHT * (service_s - self.service_s)

    def observe(
        self, replica_id: str, first_token_s: float | None, target_s: float, now: float
    ) -> None:
        """Updates a replica's limit; `first_token_s` is None after a failure."""
        if first_token_s is not None:
            self.first_token_s += EWMA_WEIGHT * (first_token_s - self.first_token_s)
        limit = self.limits.get(replica_id)
        if limit is not None:
            changed = take_sample(
                limit,
                first_token_s=first_token_s,
                target_s=target_s,
                own=self.own.get(replica_id, 0),
                now=now,
            )
            self.limits[replica_id] = changed
            if replica_id in self._limit_values:
                self._capacity += changed.value - limit.value
                self._limit_values[replica_id] = changed.value
                self._update_room(replica_id)

    def report(self, replica_id: str, report: LoadReport, now: float) -> None:
        """Records a replica's load report."""
        replica = self.replicas.get(replica_id)
        if replica is not None:
            self.replicas[replica_id] = dataclasses.replace(
                replica,
                reported=report.running + report.waiting,
                reported_at=now,
                reported_own=self.own.get(replica_id, 0),
                service_s=self.service_s,
            )


def group_backends(
    backends: Collection[Backend], role: str
) -> dict[tuple[str, str], list[Backend]]:
    """Groups backend servers of a role by deployment and name."""
    groups: dict[tuple[str, str], list[Backend]] = {}
    for backend in backends:
        if backend.role == role:
            groups.setdefault((backend.deployment, backend.name), []).append(backend)
    return groups
