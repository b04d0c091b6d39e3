"""Work that its caller does not wait for: durable from the 202 on.

Lives in the ledger's shards. The owner of a shard writes the request down before
it is accepted, runs it on its own relay at the lowest priority, writes its progress
now and then and its result at the end. Whoever owns the shard next goes on from
there; a run that fails is tried again, since such work must arrive complete.
"""

import logging
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from .errors import BerylpostError, ErrorKind
from .kernel import Context
from .logs import log_event
from .messages import DeferAnswer, DeferRequest, HeldRequest
from .peers import Send
from .policy.ledger import Entry, EntryKind
from .relay_messages import Hold, Resume, Snapshot
from .shards import Shard, ShardKeeper
from .streams import Stream, StreamState, describe_answer, make_held_request

LOGGER: Final = logging.getLogger(__name__)
PREFIX: Final = "deferred-"
MAX_OPEN: Final = 1_000  # for each shard
CHECKPOINT_S: Final = 10.0
FIRST_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 60.0
RELAY_TIMEOUT_S: Final = 2.0
DEADLINE_S: Final = 86_400.0

_KINDS: Final = frozenset({EntryKind.WORK, EntryKind.PROGRESS, EntryKind.RESULT})


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferQuery:
    """Asks for deferred work; the result is None when it is not known here."""

    request: str
    owner: str
    result: "Future[dict[str, Any] | None]"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredRunEnded:
    """From the relay: a run is over, well or not."""

    shard: int
    stream: Stream


@dataclass(slots=True, kw_only=True)
class _Work:
    """One accepted request that has no result yet."""

    held: HeldRequest
    n_failures: int = 0
    run_at: float = 0.0
    running: bool = False
    written_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Result:
    """One finished request."""

    owner: str
    answer: bytes
    time: float


@dataclass(slots=True, kw_only=True)
class _ShardWork:
    """The deferred work of one shard."""

    open: dict[str, _Work] = field(default_factory=dict)
    results: dict[str, _Result] = field(default_factory=dict)
    checkpoint_at: float = 0.0


class _StoredResult(msgspec.Struct, frozen=True, array_like=True):
    owner: str
    answer: bytes


def make_request_id(shard: int, unique: str) -> str:
    """Makes the id of deferred work; it names the shard that keeps it."""
    return f"{PREFIX}{shard:04d}-{unique}"


def parse_shard_number(request_id: str) -> int | None:
    """Reads the shard out of an id; None when it is not of deferred work."""
    if not request_id.startswith(PREFIX):
        return None
    number = request_id.removeprefix(PREFIX).partition("-")[0]
    return int(number) if number.isdecimal() and len(number) <= 6 else None


def is_deferred_entry(entry: Entry) -> bool:
    """Tells entries of deferred work from those of calls."""
    return entry.kind in _KINDS


def _name_owner(held: HeldRequest) -> str:
    return f"{held.deployment}/{held.customer}"


def _encode(held: HeldRequest) -> bytes:
    return msgspec.msgpack.encode(held)


class DeferredWork:
    """Keeps and runs deferred work for the ledger task, in its thread.

    Args:
        context: to reach the relay and other daemons.
        keeper: of the shards.
        post: puts a message into the ledger task's mailbox, from any thread.
    """

    def __init__(
        self, *, context: Context, keeper: ShardKeeper, post: Callable[[Any], None]
    ) -> None:
        self._context = context
        self._keeper = keeper
        self._post = post
        self._work = [_ShardWork() for _ in keeper.shards]

    # Shards come and go.

    def open(self, shard: Shard, entries: list[Entry]) -> None:
        """Takes over what the journal holds and runs what has no result."""
        work = _ShardWork(checkpoint_at=time.monotonic() + CHECKPOINT_S)
        self._work[shard.number] = work
        for entry in entries:
            match entry.kind:
                case EntryKind.WORK | EntryKind.PROGRESS:
                    held = msgspec.msgpack.decode(entry.payload, type=HeldRequest)
                    if entry.key not in work.results:
                        work.open[entry.key] = _Work(held=held, written_at=entry.time)
                case EntryKind.RESULT:
                    self._keep_result(work, entry)
        if work.open:
            log_event(LOGGER, "deferred_taken", shard=shard.number, n=len(work.open))

    def _keep_result(self, work: _ShardWork, entry: Entry) -> None:
        stored = msgspec.msgpack.decode(entry.payload, type=_StoredResult)
        work.open.pop(entry.key, None)
        work.results[entry.key] = _Result(
            owner=stored.owner, answer=stored.answer, time=entry.time
        )

    def drop(self, shard: Shard) -> None:
        """Forgets a shard and ends its runs here."""
        work = self._work[shard.number]
        self._work[shard.number] = _ShardWork()
        running = tuple(i for i, w in work.open.items() if w.running)
        if running:
            self._context.post("relay", Hold(stream_ids=running, result=Future()))

    def suspend(self, shard: Shard) -> list[Entry]:
        """Ends the runs here and returns their progress for the journal."""
        work = self._work[shard.number]
        running = tuple(i for i, w in work.open.items() if w.running)
        if not running:
            return []
        for request_id in running:
            work.open[request_id].running = False
        return self._describe_progress(Hold, running)

    def compact(self, shard: Shard, keep_from: float) -> None:
        """Forgets old results; writes open work anew, so that it outlives old ones.

        A segment may be dropped once all its entries are old, and an accepted
        request must not go with it.
        """
        work = self._work[shard.number]
        work.results = {i: r for i, r in work.results.items() if r.time >= keep_from}
        rewrite_before = (keep_from + time.time()) / 2
        for request_id, item in work.open.items():
            if item.written_at >= rewrite_before:
                continue
            item.written_at = time.time()
            entry = self._make_entry(EntryKind.PROGRESS, request_id, _encode(item.held))
            self._keeper.write(shard, entry, lambda: None)

    # Accepting and answering.

    def accept(self, message: DeferRequest) -> None:
        """Writes a request down; answers once that is durable."""
        shard = self._keeper.find(message.shard)
        work = self._work[shard.number]
        request_id = message.held.id
        if not shard.is_open():
            return  # the asker asks again until an owner answers
        if request_id in work.open or request_id in work.results:
            self._answer(message.sender, request_id, None)
            return
        if len(work.open) >= MAX_OPEN:
            self._answer(message.sender, request_id, ErrorKind.OVERLOADED)
            return

        entry = self._make_entry(EntryKind.WORK, request_id, _encode(message.held))

        def accepted() -> None:
            work.open[request_id] = _Work(held=message.held, written_at=entry.time)
            self._answer(message.sender, request_id, None)

        self._keeper.write(shard, entry, accepted)

    def _answer(self, to: str, request_id: str, kind: ErrorKind | None) -> None:
        answer = DeferAnswer(
            sender=self._context.settings.daemon.id,
            request=request_id,
            accepted=kind is None,
            kind=kind,
        )
        self._context.post("peers", Send(to=to, message=answer))

    def answer(self, query: DeferQuery) -> None:
        """Answers a question for the state of deferred work."""
        number = parse_shard_number(query.request)
        if number is None or not self._keeper.find(number).is_open():
            query.result.set_result(None)
            return
        work = self._work[self._keeper.find(number).number]
        result = work.results.get(query.request)
        item = work.open.get(query.request)
        if result is not None and result.owner == query.owner:
            answer = msgspec.json.decode(result.answer)
            query.result.set_result({"state": "done", **answer})
        elif item is not None and _name_owner(item.held) == query.owner:
            query.result.set_result({"state": "accepted", "failures": item.n_failures})
        else:
            query.result.set_result({"state": "unknown"})

    # Running.

    def advance(self) -> None:
        """Starts what is due and writes progress down."""
        now = time.monotonic()
        for shard, work in zip(self._keeper.shards, self._work, strict=True):
            if not shard.is_open():
                continue
            for item in work.open.values():
                if not item.running and now >= item.run_at:
                    self._run(shard, item)
            if now >= work.checkpoint_at:
                work.checkpoint_at = now + CHECKPOINT_S
                self._write_progress(shard, work)

    def _run(self, shard: Shard, item: _Work) -> None:
        item.running = True
        number = shard.number

        def ended(stream: Stream) -> None:
            self._post(DeferredRunEnded(shard=number, stream=stream))

        self._context.post("relay", Resume(requests=(item.held,), on_end=ended))

    def _write_progress(self, shard: Shard, work: _ShardWork) -> None:
        running = tuple(i for i, w in work.open.items() if w.running)
        if not running:
            return
        for entry in self._describe_progress(Snapshot, running):
            held = msgspec.msgpack.decode(entry.payload, type=HeldRequest)
            item = work.open.get(entry.key)
            if item is not None and held.n_tokens > item.held.n_tokens:
                item.held = held
                item.written_at = entry.time
                self._keeper.write(shard, entry, lambda: None)

    def _describe_progress(
        self, question: type[Hold] | type[Snapshot], request_ids: tuple[str, ...]
    ) -> list[Entry]:
        result: Future[list[HeldRequest]] = Future()
        self._context.post("relay", question(stream_ids=request_ids, result=result))
        try:
            held = result.result(timeout=RELAY_TIMEOUT_S)
        except FutureTimeoutError:
            return []
        return [self._make_entry(EntryKind.PROGRESS, h.id, _encode(h)) for h in held]

    def end_run(self, message: DeferredRunEnded) -> None:
        """Writes a result down, or plans the next run."""
        stream = message.stream
        request_id = stream.request.id
        shard = self._keeper.find(message.shard)
        work = self._work[shard.number]
        item = work.open.get(request_id)
        if item is None or not shard.is_open():
            return  # another owner has it by now
        if stream.state is not StreamState.DONE:
            item.running = False
            item.n_failures += 1
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (item.n_failures - 1))
            item.run_at = time.monotonic() + pause_s
            held = make_held_request(stream, time.monotonic())
            item.held = msgspec.structs.replace(held, error=None, deadline_s=DEADLINE_S)
            error = stream.error or BerylpostError(ErrorKind.INTERNAL, "moved")
            log_event(
                LOGGER, "deferred_again", request=request_id, why=error, in_s=pause_s
            )
            return
        stored = _StoredResult(
            _name_owner(item.held), msgspec.json.encode(describe_answer(stream))
        )
        entry = self._make_entry(
            EntryKind.RESULT, request_id, msgspec.msgpack.encode(stored)
        )
        self._keeper.write(shard, entry, lambda: self._keep_result(work, entry))

    def _make_entry(self, kind: EntryKind, request_id: str, payload: bytes) -> Entry:
        return Entry(
            kind=kind,
            time=time.time(),
            key=request_id,
            request=request_id,
            payload=payload,
        )
