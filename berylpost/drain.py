"""The drain task, which shuts this daemon down gracefully.

The state machine is `NEXT_STATE`. After a reclaim notice, every request that cannot
finish in time is handed over at once to a successor, in another zone if possible. A
planned stop first waits until the addresses that callers cache have expired and
streams have finished. The task also takes over requests of other leaving daemons.
Each step may be repeated, since the successor identifies a batch by its id and the
relay a request by its id.
"""

import logging
import math
import time
import uuid
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from .errors import PlatformError
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .logs import log_event
from .messages import Backend, Handover, HandoverAnswer, HeldRequest
from .metrics import HANDOVERS
from .peers import BackendsReceived, MemberChanged, PeersTask, Send, UpdateOwnState
from .platform.objects import HttpObjects, Objects
from .policy.ledger import choose_owner
from .policy.membership import GONE_STATES, Table, choose_successors, list_active
from .relay_messages import CountOpen, HoldAll, MarkMoved, Resume
from .settings import DrainSettings

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.05
INACTIVE_TICK_S: Final = 0.25
BATCH_BYTES: Final = 250_000
# Share of the time left that the first handover attempt uses; the rest is for a second
# attempt.
HANDOVER_SHARE: Final = 0.4
DEADLINE_MARGIN_S: Final = 0.5
RELAY_TIMEOUT_S: Final = 2.0
MAX_KNOWN_BATCHES: Final = 1_000
MAX_SUCCESSORS: Final = 3
STORE_PREFIX: Final = "handover/"


class DrainState(StrEnum):
    """State of this daemon's shutdown."""

    SERVING = "serving"
    AGING = "aging"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    LEFT = "left"


ACCEPTING_STATES: Final = frozenset({DrainState.SERVING, DrainState.AGING})


class DrainEvent(StrEnum):
    """Events that change the state."""

    PLANNED_STOP = "planned_stop"
    NOTICE = "notice"
    ADDRESSES_AGED = "addresses_aged"
    IDLE = "idle"
    TIME_OVER = "time_over"


NEXT_STATE: Final[dict[tuple[DrainState, DrainEvent], DrainState]] = {
    (DrainState.SERVING, DrainEvent.PLANNED_STOP): DrainState.AGING,
    (DrainState.SERVING, DrainEvent.NOTICE): DrainState.HANDING_OVER,
    (DrainState.AGING, DrainEvent.ADDRESSES_AGED): DrainState.DRAINING,
    (DrainState.AGING, DrainEvent.NOTICE): DrainState.HANDING_OVER,
    (DrainState.DRAINING, DrainEvent.IDLE): DrainState.LEFT,
    (DrainState.DRAINING, DrainEvent.TIME_OVER): DrainState.HANDING_OVER,
    (DrainState.DRAINING, DrainEvent.NOTICE): DrainState.HANDING_OVER,
    (DrainState.HANDING_OVER, DrainEvent.IDLE): DrainState.LEFT,
    (DrainState.HANDING_OVER, DrainEvent.TIME_OVER): DrainState.LEFT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A request by an operator or a signal to stop gracefully."""


@dataclass(slots=True, kw_only=True)
class _Batch:
    """Requests that are being handed over to a successor.

    Attributes:
        successors: candidates that have not been asked yet, best first.
        asked: the daemon that was asked last.
        next_attempt_at: when to ask the next candidate, monotonic seconds.
    """

    id: str
    requests: tuple[HeldRequest, ...]
    successors: list[str]
    asked: str = ""
    next_attempt_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Shutdown:
    """Progress of this daemon's shutdown; times are monotonic seconds.

    Attributes:
        deadline: when the daemon stops waiting for its requests.
        addresses_expire_at: when the addresses that callers cache have expired.
        refuses_since: since when new work is refused.
        next_hold_at: when to collect the remaining requests again.
        batches: handovers not yet accepted, by batch id.
    """

    deadline: float = math.inf
    addresses_expire_at: float = math.inf
    refuses_since: float = math.inf
    next_hold_at: float = 0.0
    batches: dict[str, _Batch] = field(default_factory=dict)


def count_open(context: Context) -> int | None:
    """Asks the relay for its open requests; None if it does not answer in time."""
    if "relay" not in context.tasks:
        return 0
    result: Future[int] = Future()
    context.post("relay", CountOpen(result=result))
    try:
        return result.result(timeout=RELAY_TIMEOUT_S)
    except FutureTimeoutError:
        return None


def split_batches(requests: list[HeldRequest]) -> list[tuple[HeldRequest, ...]]:
    """Splits requests into batches of a bounded encoded size, in order."""
    batches: list[list[HeldRequest]] = []
    size = BATCH_BYTES
    for request in requests:
        n_bytes = len(msgspec.msgpack.encode(request))
        if size + n_bytes > BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(request)
        size += n_bytes
    return [tuple(batch) for batch in batches]


class DrainTask(MailboxTask):
    """Runs the shutdown of this daemon and takes over requests from others."""

    def __init__(
        self, *, context: Context, objects: Objects, settings: DrainSettings
    ) -> None:
        super().__init__(name="drain", handle=self._handle_message, tick=self._advance)
        self._context = context
        self._objects = objects
        self._settings = settings
        self._self_id = context.settings.daemon.id
        self._members: Slot[Table] = context.slots["members"]
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self.state: Slot[DrainState] = context.open_slot("drain", DrainState.SERVING)
        self._shutdown = _Shutdown()
        self._known_batches: dict[str, None] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            PlannedStop: lambda _m: self._apply_event(DrainEvent.PLANNED_STOP),
            BackendsReceived: self._handle_backends,
            Handover: self._take_over,
            HandoverAnswer: self._handle_answer,
            MemberChanged: self._handle_member_change,
        }
        self._entry_actions: dict[DrainState, Callable[[], None]] = {
            DrainState.AGING: self._enter_aging,
            DrainState.DRAINING: lambda: None,
            DrainState.HANDING_OVER: self._enter_handing_over,
            DrainState.LEFT: self._enter_left,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    # State changes.

    def _apply_event(self, event: DrainEvent) -> None:
        before = self.state.read()
        after = NEXT_STATE.get((before, event))
        if after is None:
            return  # a repeated notice, or a stop request during the shutdown
        log_event(LOGGER, "drain_moved", before=before, after=after, by=event)
        self.state.publish(after)
        if before in ACCEPTING_STATES and after not in ACCEPTING_STATES:
            self._shutdown.refuses_since = time.monotonic()
        self._entry_actions[after]()

    def _enter_aging(self) -> None:
        now = time.monotonic()
        self._shutdown.addresses_expire_at = now + self._settings.address_ttl_s
        self._shutdown.deadline = now + self._settings.planned_s
        self._context.post("peers", UpdateOwnState(state="leaving"))

    def _enter_handing_over(self) -> None:
        self._context.post("peers", UpdateOwnState(state="leaving"))
        self._hold_and_send()

    def _enter_left(self) -> None:
        successors = self._list_successors()
        successor = successors[0] if successors else ""
        self._context.post("peers", UpdateOwnState(state="left", successor=successor))

    def _advance(self) -> float:
        state = self.state.read()
        if state in (DrainState.SERVING, DrainState.LEFT):
            return INACTIVE_TICK_S
        now = time.monotonic()
        shutdown = self._shutdown
        if now >= shutdown.deadline:
            self._apply_event(DrainEvent.TIME_OVER)
        elif state is DrainState.AGING and now >= shutdown.addresses_expire_at:
            self._apply_event(DrainEvent.ADDRESSES_AGED)
        elif state is DrainState.HANDING_OVER:
            self._retry_batches(now)
        if state is not DrainState.AGING and not shutdown.batches:
            if not self._has_unfinished():
                self._apply_event(DrainEvent.IDLE)
        return TICK_S

    def _has_unfinished(self) -> bool:
        """Tells whether a caller waits for what it sent before new work was refused."""
        refuses_since = self._shutdown.refuses_since
        # The relay last: by then it has what was handed over to it.
        if any(has(refuses_since) for has in self._context.unfinished.values()):
            return True
        return count_open(self._context) != 0

    # Reclaim notices.

    def _handle_backends(self, received: BackendsReceived) -> None:
        vm = self._context.settings.daemon.vm
        for backend in received.backends:
            if vm and backend.id == vm and backend.state != "running":
                left_s = max(0.0, backend.deadline - time.time() - DEADLINE_MARGIN_S)
                deadline = time.monotonic() + left_s
                self._shutdown.deadline = min(self._shutdown.deadline, deadline)
                self._apply_event(DrainEvent.NOTICE)

    # Handing over.

    def _list_successors(self) -> list[str]:
        active = list_active(self._members.read())
        zone = self._context.settings.daemon.zone
        return choose_successors(active, self._self_id, zone)

    def _query_relay(
        self, make_query: Callable[..., Any], default: Any, **arguments: Any
    ) -> Any:
        if "relay" not in self._context.tasks:
            return default
        result: Future[Any] = Future()
        self._context.post("relay", make_query(result=result, **arguments))
        try:
            return result.result(timeout=RELAY_TIMEOUT_S)
        except FutureTimeoutError:
            return default

    def _hold_and_send(self) -> None:
        now = time.monotonic()
        left_s = self._shutdown.deadline - now
        # Requests that would end just before the deadline are handed over too, since
        # a token that comes late is lost.
        held = self._query_relay(HoldAll, [], left_s=left_s * HANDOVER_SHARE)
        self._shutdown.next_hold_at = now + left_s * HANDOVER_SHARE
        for requests in split_batches(held):
            batch = _Batch(
                id=uuid.uuid4().hex,
                requests=requests,
                successors=self._list_successors()[:MAX_SUCCESSORS],
            )
            self._shutdown.batches[batch.id] = batch
            self._send_to_next(batch)

    def _send_to_next(self, batch: _Batch) -> None:
        if not batch.successors:
            self._store_batch(batch)
            return
        batch.asked = batch.successors.pop(0)
        batch.next_attempt_at = time.monotonic() + self._settings.handover_timeout_s
        message = Handover(
            sender=self._self_id, batch=batch.id, requests=batch.requests
        )
        self._context.post("peers", Send(to=batch.asked, message=message))

    def _handle_answer(self, answer: HandoverAnswer) -> None:
        batch = self._shutdown.batches.get(answer.batch)
        if batch is None:
            return  # a late answer; another daemon has the batch by now
        if not answer.accepted:
            if answer.sender == batch.asked:
                self._send_to_next(batch)
            return
        entry = self._members.read().entries.get(answer.sender)
        address = entry.member.http if entry else ""
        self._finish_batch(batch, address, "successor")
        change = UpdateOwnState(state="leaving", successor=answer.sender)
        self._context.post("peers", change)

    def _finish_batch(self, batch: _Batch, address: str, way: str) -> None:
        del self._shutdown.batches[batch.id]
        HANDOVERS.labels(way).inc(len(batch.requests))
        ids = tuple(request.id for request in batch.requests)
        log_event(LOGGER, "handed_over", n=len(ids), way=way, to=address)
        self._context.post("relay", MarkMoved(stream_ids=ids, address=address))

    def _retry_batches(self, now: float) -> None:
        for batch in list(self._shutdown.batches.values()):
            if now >= batch.next_attempt_at:
                self._send_to_next(batch)
        if now >= self._shutdown.next_hold_at and not self._shutdown.batches:
            self._hold_and_send()

    def _store_batch(self, batch: _Batch) -> None:
        """Stores a batch in the object API, for the daemon that collects it there."""
        key = f"{STORE_PREFIX}{self._self_id}/{batch.id}"
        try:
            self._objects.write(key, msgspec.msgpack.encode(batch.requests), version=0)
        except PlatformError as error:
            # Nobody can take the batch over, so its requests continue here until
            # the VM is gone.
            log_event(LOGGER, "handover_failed", logging.ERROR, error=error)
            del self._shutdown.batches[batch.id]
            self._context.post("relay", Resume(requests=batch.requests))
            self._shutdown.next_hold_at = time.monotonic() + 1.0
            return
        collector = choose_owner(0, [m.id for m in list_active(self._members.read())])
        entry = self._members.read().entries.get(collector)
        self._finish_batch(batch, entry.member.http if entry else "", "store")

    # Taking over.

    def _take_over(self, handover: Handover) -> None:
        serving = self.state.read() is DrainState.SERVING
        if serving and handover.batch not in self._known_batches:
            self._known_batches[handover.batch] = None
            while len(self._known_batches) > MAX_KNOWN_BATCHES:
                del self._known_batches[next(iter(self._known_batches))]
            log_event(
                LOGGER, "taken_over", n=len(handover.requests), by=handover.sender
            )
            self._context.post("relay", Resume(requests=handover.requests))
        answer = HandoverAnswer(
            sender=self._self_id, batch=handover.batch, accepted=serving
        )
        self._context.post("peers", Send(to=handover.sender, message=answer))

    def _handle_member_change(self, change: MemberChanged) -> None:
        """Collects the requests that a departed daemon stored in the object API."""
        if change.member.state not in GONE_STATES:
            return
        if self.state.read() is not DrainState.SERVING:
            return
        active = [m.id for m in list_active(self._members.read())]
        if choose_owner(0, active) != self._self_id:
            return
        try:
            self._resume_stored(f"{STORE_PREFIX}{change.member.id}/")
        except PlatformError as error:
            log_event(LOGGER, "store_unavailable", logging.WARNING, error=error)

    def _resume_stored(self, prefix: str) -> None:
        for key in self._objects.list_keys(prefix):
            stored = self._objects.read(key)
            if not stored.version:
                continue
            requests = msgspec.msgpack.decode(
                stored.value, type=tuple[HeldRequest, ...]
            )
            self._context.post("relay", Resume(requests=requests))
            # Deleted only now: a crash before the deletion merely repeats idempotent
            # work.
            self._objects.delete(key, version=stored.version)
            log_event(LOGGER, "stored_handover_resumed", n=len(requests), key=key)


def _build(context: Context) -> DrainTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    task = DrainTask(context=context, objects=objects, settings=context.settings.drain)
    peers = context.tasks["peers"]
    if isinstance(peers, PeersTask):
        peers.watch_members("drain")
    return task


register_plugin(Plugin(name="drain", requires=("peers", "relay"), build=_build))
