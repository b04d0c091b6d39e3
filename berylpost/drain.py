"""The task that leaves: on a reclaim notice, at a planned stop, and for others.

Its state moves by `NEXT_STATE`. A notice hands every request that cannot finish to
a successor in another zone at once; a planned stop lets callers' kept addresses
age and streams finish first. Each step may be repeated, since the successor knows
a batch by its id and the relay a request by its own.
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
from .peers import BackendsHeard, ChangeSelf, MemberChanged, PeersTask, Send
from .platform.objects import HttpObjects, Objects
from .policy.ledger import choose_owner
from .policy.membership import GONE_STATES, Table, choose_successors, list_active
from .relay_messages import CountOpen, HoldAll, MarkMoved, Resume
from .settings import DrainSettings

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.05
IDLE_TICK_S: Final = 0.25
BATCH_BYTES: Final = 250_000
HANDOVER_SHARE: Final = 0.4  # of the notice; the rest is for a second try
END_MARGIN_S: Final = 0.5
RELAY_TIMEOUT_S: Final = 2.0
N_BATCHES_REMEMBERED: Final = 1_000
MAX_SUCCESSORS: Final = 3
STORE_PREFIX: Final = "handover/"


class DrainState(StrEnum):
    """Where this daemon stands on its way out."""

    SERVING = "serving"
    AGING = "aging"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    LEFT = "left"


class DrainEvent(StrEnum):
    """What moves the state."""

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
    """From an operator or a signal: leave gracefully."""


@dataclass(slots=True, kw_only=True)
class _Batch:
    """Requests on their way to a successor."""

    id: str
    requests: tuple[HeldRequest, ...]
    successors: list[str]
    asked: str = ""
    until: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Leaving:
    """Times of this daemon's leaving, monotonic seconds."""

    deadline: float = math.inf
    aged_at: float = math.inf
    next_hold_at: float = 0.0
    batches: dict[str, _Batch] = field(default_factory=dict)


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
    """Leads this daemon out; see the module's docstring."""

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
        self._leaving = _Leaving()
        self._known_batches: dict[str, None] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            PlannedStop: lambda _m: self._move(DrainEvent.PLANNED_STOP),
            BackendsHeard: self._hear_backends,
            Handover: self._take_over,
            HandoverAnswer: self._take_answer,
            MemberChanged: self._hear_member,
        }
        self._entries: dict[DrainState, Callable[[], None]] = {
            DrainState.AGING: self._enter_aging,
            DrainState.DRAINING: lambda: None,
            DrainState.HANDING_OVER: self._enter_handing_over,
            DrainState.LEFT: self._enter_left,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    # Moving.

    def _move(self, event: DrainEvent) -> None:
        before = self.state.read()
        after = NEXT_STATE.get((before, event))
        if after is None:
            return  # a second notice, or a stop while already leaving
        log_event(LOGGER, "drain_moved", before=before, after=after, by=event)
        self.state.publish(after)
        self._entries[after]()

    def _enter_aging(self) -> None:
        now = time.monotonic()
        self._leaving.aged_at = now + self._settings.address_ttl_s
        self._leaving.deadline = now + self._settings.planned_s
        self._context.post("peers", ChangeSelf(state="leaving"))

    def _enter_handing_over(self) -> None:
        self._context.post("peers", ChangeSelf(state="leaving"))
        self._hold_and_send()

    def _enter_left(self) -> None:
        successors = self._list_successors()
        successor = successors[0] if successors else ""
        self._context.post("peers", ChangeSelf(state="left", successor=successor))

    def _advance(self) -> float:
        state = self.state.read()
        if state in (DrainState.SERVING, DrainState.LEFT):
            return IDLE_TICK_S
        now = time.monotonic()
        leaving = self._leaving
        if now >= leaving.deadline:
            self._move(DrainEvent.TIME_OVER)
        elif state is DrainState.AGING and now >= leaving.aged_at:
            self._move(DrainEvent.ADDRESSES_AGED)
        elif state is DrainState.HANDING_OVER:
            self._tend_batches(now)
        if state is not DrainState.AGING and not leaving.batches:
            if self._ask_relay(CountOpen, 0) == 0:
                self._move(DrainEvent.IDLE)
        return TICK_S

    # Notices.

    def _hear_backends(self, heard: BackendsHeard) -> None:
        vm = self._context.settings.daemon.vm
        for backend in heard.backends:
            if vm and backend.id == vm and backend.state != "running":
                left_s = max(0.0, backend.deadline - time.time() - END_MARGIN_S)
                deadline = time.monotonic() + left_s
                self._leaving.deadline = min(self._leaving.deadline, deadline)
                self._move(DrainEvent.NOTICE)

    # Handing over.

    def _list_successors(self) -> list[str]:
        active = list_active(self._members.read())
        zone = self._context.settings.daemon.zone
        return choose_successors(active, self._self_id, zone)

    def _ask_relay(
        self, question: Callable[..., Any], default: Any, **more: Any
    ) -> Any:
        if "relay" not in self._context.tasks:
            return default
        result: Future[Any] = Future()
        self._context.post("relay", question(result=result, **more))
        try:
            return result.result(timeout=RELAY_TIMEOUT_S)
        except FutureTimeoutError:
            return default

    def _hold_and_send(self) -> None:
        now = time.monotonic()
        left_s = self._leaving.deadline - now
        # What would end just before the deadline goes too: a late token is lost.
        held = self._ask_relay(HoldAll, [], left_s=left_s * HANDOVER_SHARE)
        self._leaving.next_hold_at = now + left_s * HANDOVER_SHARE
        for requests in split_batches(held):
            batch = _Batch(
                id=uuid.uuid4().hex,
                requests=requests,
                successors=self._list_successors()[:MAX_SUCCESSORS],
            )
            self._leaving.batches[batch.id] = batch
            self._ask_next(batch)

    def _ask_next(self, batch: _Batch) -> None:
        if not batch.successors:
            self._store_batch(batch)
            return
        batch.asked = batch.successors.pop(0)
        batch.until = time.monotonic() + self._settings.handover_timeout_s
        message = Handover(
            sender=self._self_id, batch=batch.id, requests=batch.requests
        )
        self._context.post("peers", Send(to=batch.asked, message=message))

    def _take_answer(self, answer: HandoverAnswer) -> None:
        batch = self._leaving.batches.get(answer.batch)
        if batch is None:
            return  # answered late; another one has it by now
        if not answer.accepted:
            if answer.sender == batch.asked:
                self._ask_next(batch)
            return
        entry = self._members.read().entries.get(answer.sender)
        address = entry.member.http if entry else ""
        self._finish_batch(batch, address, "successor")
        change = ChangeSelf(state="leaving", successor=answer.sender)
        self._context.post("peers", change)

    def _finish_batch(self, batch: _Batch, address: str, way: str) -> None:
        del self._leaving.batches[batch.id]
        HANDOVERS.labels(way).inc(len(batch.requests))
        ids = tuple(request.id for request in batch.requests)
        log_event(LOGGER, "handed_over", n=len(ids), way=way, to=address)
        self._context.post("relay", MarkMoved(stream_ids=ids, address=address))

    def _tend_batches(self, now: float) -> None:
        for batch in list(self._leaving.batches.values()):
            if now >= batch.until:
                self._ask_next(batch)
        if now >= self._leaving.next_hold_at and not self._leaving.batches:
            self._hold_and_send()

    def _store_batch(self, batch: _Batch) -> None:
        """Puts a batch into the object API, where the next in line finds it."""
        key = f"{STORE_PREFIX}{self._self_id}/{batch.id}"
        try:
            self._objects.write(key, msgspec.msgpack.encode(batch.requests), version=0)
        except PlatformError as error:
            # Nobody can take it: go on here for as long as the VM lasts.
            log_event(LOGGER, "handover_failed", logging.ERROR, error=error)
            del self._leaving.batches[batch.id]
            self._context.post("relay", Resume(requests=batch.requests))
            self._leaving.next_hold_at = time.monotonic() + 1.0
            return
        heir = choose_owner(0, [m.id for m in list_active(self._members.read())])
        entry = self._members.read().entries.get(heir)
        self._finish_batch(batch, entry.member.http if entry else "", "store")

    # Taking over.

    def _take_over(self, handover: Handover) -> None:
        serving = self.state.read() is DrainState.SERVING
        if serving and handover.batch not in self._known_batches:
            self._known_batches[handover.batch] = None
            while len(self._known_batches) > N_BATCHES_REMEMBERED:
                del self._known_batches[next(iter(self._known_batches))]
            log_event(
                LOGGER, "taken_over", n=len(handover.requests), by=handover.sender
            )
            self._context.post("relay", Resume(requests=handover.requests))
        answer = HandoverAnswer(
            sender=self._self_id, batch=handover.batch, accepted=serving
        )
        self._context.post("peers", Send(to=handover.sender, message=answer))

    def _hear_member(self, change: MemberChanged) -> None:
        """Looks for requests that a daemon left in the object API."""
        if change.member.state not in GONE_STATES:
            return
        if self.state.read() is not DrainState.SERVING:
            return
        active = [m.id for m in list_active(self._members.read())]
        if choose_owner(0, active) != self._self_id:
            return
        try:
            self._collect(f"{STORE_PREFIX}{change.member.id}/")
        except PlatformError as error:
            log_event(LOGGER, "store_unavailable", logging.WARNING, error=error)

    def _collect(self, prefix: str) -> None:
        for key in self._objects.list_keys(prefix):
            stored = self._objects.read(key)
            if not stored.version:
                continue
            requests = msgspec.msgpack.decode(
                stored.value, type=tuple[HeldRequest, ...]
            )
            self._context.post("relay", Resume(requests=requests))
            # Deleted after: dying in between repeats idempotent work, no more.
            self._objects.delete(key, version=stored.version)
            log_event(LOGGER, "collected", n=len(requests), key=key)


def _build(context: Context) -> DrainTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    task = DrainTask(context=context, objects=objects, settings=context.settings.drain)
    peers = context.tasks["peers"]
    if isinstance(peers, PeersTask):
        peers.watch_members("drain")
    return task


register_plugin(Plugin(name="drain", requires=("peers", "relay"), build=_build))
