"""Deferred work: requests whose caller does not wait, durable once answered with 202.

Deferred work is stored in the shards of the ledger. The owner of a shard writes a
request to the journal before it accepts it, runs it on its own relay at the lowest
priority, and writes its progress at intervals and its result at the end. The next
owner of the shard continues from the last progress. A run that fails is retried,
since deferred work must be completed.
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
from .shards import Shard, ShardManager
from .streams import Stream, StreamState, describe_answer, make_held_request

LOGGER: Final = logging.getLogger(__name__)
ID_PREFIX: Final = "deferred-"
MAX_OPEN_PER_SHARD: Final = 1_000
CHECKPOINT_S: Final = 10.0
FIRST_RETRY_PAUSE_S: Final = 1.0
MAX_RETRY_PAUSE_S: Final = 60.0
RELAY_TIMEOUT_S: Final = 2.0
DEADLINE_S: Final = 86_400.0

_ENTRY_KINDS: Final = frozenset({EntryKind.WORK, EntryKind.PROGRESS, EntryKind.RESULT})


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferQuery:
    """Asks for the state of deferred work; the result is None if not known here."""

    request: str
    owner: str
    result: "Future[dict[str, Any] | None]"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeferredRunEnded:
    """Posted by the relay's callback when a run has succeeded or failed."""

    shard: int
    stream: Stream


@dataclass(slots=True, kw_only=True)
class _WorkItem:
    """One accepted request that has no result yet.

    Attributes:
        run_at: when the next run may start, monotonic seconds.
        written_at: time of its last journal entry, wall clock.
    """

    held: HeldRequest
    n_failures: int = 0
    run_at: float = 0.0
    running: bool = False
    written_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Result:
    """One finished request.

    Attributes:
        time: time of its journal entry, wall clock.
    """

    owner: str
    answer: bytes
    time: float


@dataclass(slots=True, kw_only=True)
class _ShardWork:
    """The deferred work of one shard.

    Attributes:
        open: requests without a result, by id.
        results: finished requests, by id.
        checkpoint_at: when progress is written next, monotonic seconds.
    """

    open: dict[str, _WorkItem] = field(default_factory=dict)
    results: dict[str, _Result] = field(default_factory=dict)
    checkpoint_at: float = 0.0


class _StoredResult(msgspec.Struct, frozen=True, array_like=True):
    owner: str
    answer: bytes


def make_request_id(shard: int, unique: str) -> str:
    """Makes the id of a deferred request, which contains the number of its shard."""
    return f"{ID_PREFIX}{shard:04d}-{unique}"


def parse_shard_number(request_id: str) -> int | None:
    """Returns the shard number in a request id, None if it is not of deferred work."""
    if not request_id.startswith(ID_PREFIX):
        return None
    number = request_id.removeprefix(ID_PREFIX).partition("-")[0]
    return int(number) if number.isdecimal() and len(number) <= 6 else None


def is_deferred_entry(entry: Entry) -> bool:
    """Tells whether a journal entry belongs to deferred work rather than to a call."""
    return entry.kind in _ENTRY_KINDS


def _format_owner(held: HeldRequest) -> str:
    return f"{held.deployment}/{held.customer}"


def _encode(held: HeldRequest) -> bytes:
    return msgspec.msgpack.encode(held)


class DeferredWork:
    """Stores and runs deferred work for the ledger task, in that task's thread.

    Args:
        context: gives access to the relay and to other daemons.
        shard_manager: opens, renews and writes the shards.
        post: puts a message into the ledger task's mailbox, from any thread.
    """

    def __init__(
        self,
        *,
        context: Context,
        shard_manager: ShardManager,
        post: Callable[[Any], None],
    ) -> None:
        self._context = context
        self._shard_manager = shard_manager
        self._post = post
        self._work = [_ShardWork() for _ in shard_manager.shards]

    # Opening and closing shards.

    def open(self, shard: Shard, entries: list[Entry]) -> None:
        """Loads a shard's journal entries; requests without a result become due."""
        work = _ShardWork(checkpoint_at=time.monotonic() + CHECKPOINT_S)
        self._work[shard.number] = work
        for entry in entries:
            match entry.kind:
                case EntryKind.WORK | EntryKind.PROGRESS:
                    held = msgspec.msgpack.decode(entry.payload, type=HeldRequest)
                    if entry.key not in work.results:
                        work.open[entry.key] = _WorkItem(
                            held=held, written_at=entry.time
                        )
                case EntryKind.RESULT:
                    self._add_result(work, entry)
        if work.open:
            log_event(
                LOGGER, "deferred_work_loaded", shard=shard.number, n=len(work.open)
            )

    def _add_result(self, work: _ShardWork, entry: Entry) -> None:
        stored = msgspec.msgpack.decode(entry.payload, type=_StoredResult)
        work.open.pop(entry.key, None)
        work.results[entry.key] = _Result(
            owner=stored.owner, answer=stored.answer, time=entry.time
        )

    def drop(self, shard: Shard) -> None:
        """Removes a shard that is no longer owned and stops its runs here."""
        work = self._work[shard.number]
        self._work[shard.number] = _ShardWork()
        running = tuple(i for i, w in work.open.items() if w.running)
        if running:
            self._context.post("relay", Hold(stream_ids=running, result=Future()))

    def suspend(self, shard: Shard) -> list[Entry]:
        """Stops the shard's runs here and returns their progress for the journal."""
        work = self._work[shard.number]
        running = tuple(i for i, w in work.open.items() if w.running)
        if not running:
            return []
        for request_id in running:
            work.open[request_id].running = False
        return self._query_progress(Hold, running)

    def compact(self, shard: Shard, keep_from: float) -> None:
        """Removes old results and rewrites open work before its entries grow old.

        A journal segment may be deleted once all its entries are old, and an accepted
        request must not be deleted with it.
        """
        work = self._work[shard.number]
        work.results = {i: r for i, r in work.results.items() if r.time >= keep_from}
        rewrite_before = (keep_from + time.time()) / 2
        for request_id, item in work.open.items():
            if item.written_at >= rewrite_before:
                continue
            item.written_at = time.time()
            entry = self._make_entry(EntryKind.PROGRESS, request_id, _encode(item.held))
            self._shard_manager.write(shard, entry, lambda: None)

    # Accepting and answering.

    def accept(self, message: DeferRequest) -> None:
        """Writes a request to the journal and answers once the entry is durable."""
        shard = self._shard_manager.find(message.shard)
        work = self._work[shard.number]
        request_id = message.held.id
        if not shard.is_open():
            return  # the sender retries until an owner answers
        if request_id in work.open or request_id in work.results:
            self._send_answer(message.sender, request_id, None)
            return
        if len(work.open) >= MAX_OPEN_PER_SHARD:
            self._send_answer(message.sender, request_id, ErrorKind.OVERLOADED)
            return

        entry = self._make_entry(EntryKind.WORK, request_id, _encode(message.held))

        def finish_accept() -> None:
            work.open[request_id] = _WorkItem(held=message.held, written_at=entry.time)
            self._send_answer(message.sender, request_id, None)

        self._shard_manager.write(shard, entry, finish_accept)

    def _send_answer(self, to: str, request_id: str, kind: ErrorKind | None) -> None:
        answer = DeferAnswer(
            sender=self._context.settings.daemon.id,
            request=request_id,
            accepted=kind is None,
            kind=kind,
        )
        self._context.post("peers", Send(to=to, message=answer))

    def answer(self, query: DeferQuery) -> None:
        """Answers a query for the state of deferred work."""
        number = parse_shard_number(query.request)
        if number is None or not self._shard_manager.find(number).is_open():
            query.result.set_result(None)
            return
        work = self._work[self._shard_manager.find(number).number]
        result = work.results.get(query.request)
        item = work.open.get(query.request)
        if result is not None and result.owner == query.owner:
            answer = msgspec.json.decode(result.answer)
            query.result.set_result({"state": "done", **answer})
        elif item is not None and _format_owner(item.held) == query.owner:
            query.result.set_result({"state": "accepted", "failures": item.n_failures})
        else:
            query.result.set_result({"state": "unknown"})

    # Running requests.

    def advance(self) -> None:
        """Starts the runs that are due and writes progress to the journal."""
        now = time.monotonic()
        for shard, work in zip(self._shard_manager.shards, self._work, strict=True):
            if not shard.is_open():
                continue
            for item in work.open.values():
                if not item.running and now >= item.run_at:
                    self._run(shard, item)
            if now >= work.checkpoint_at:
                work.checkpoint_at = now + CHECKPOINT_S
                self._write_progress(shard, work)

    def _run(self, shard: Shard, item: _WorkItem) -> None:
        item.running = True
        number = shard.number

        def post_end(stream: Stream) -> None:
            self._post(DeferredRunEnded(shard=number, stream=stream))

        self._context.post("relay", Resume(requests=(item.held,), on_end=post_end))

    def _write_progress(self, shard: Shard, work: _ShardWork) -> None:
        running = tuple(i for i, w in work.open.items() if w.running)
        if not running:
            return
        for entry in self._query_progress(Snapshot, running):
            held = msgspec.msgpack.decode(entry.payload, type=HeldRequest)
            item = work.open.get(entry.key)
            if item is not None and held.n_tokens > item.held.n_tokens:
                item.held = held
                item.written_at = entry.time
                self._shard_manager.write(shard, entry, lambda: None)

    def _query_progress(
        self, query_type: type[Hold] | type[Snapshot], request_ids: tuple[str, ...]
    ) -> list[Entry]:
        result: Future[list[HeldRequest]] = Future()
        self._context.post("relay", query_type(stream_ids=request_ids, result=result))
        try:
            held = result.result(timeout=RELAY_TIMEOUT_S)
        except FutureTimeoutError:
            return []
        return [self._make_entry(EntryKind.PROGRESS, h.id, _encode(h)) for h in held]

    def end_run(self, message: DeferredRunEnded) -> None:
        """Writes the result of a run to the journal, or schedules a retry."""
        stream = message.stream
        request_id = stream.request.id
        shard = self._shard_manager.find(message.shard)
        work = self._work[shard.number]
        item = work.open.get(request_id)
        if item is None or not shard.is_open():
            return  # another daemon owns the request by now
        if stream.state is not StreamState.DONE:
            item.running = False
            item.n_failures += 1
            pause_s = min(
                MAX_RETRY_PAUSE_S, FIRST_RETRY_PAUSE_S * 2 ** (item.n_failures - 1)
            )
            item.run_at = time.monotonic() + pause_s
            held = make_held_request(stream, time.monotonic())
            item.held = msgspec.structs.replace(held, error=None, deadline_s=DEADLINE_S)
            error = stream.error or BerylpostError(ErrorKind.INTERNAL, "moved")
            log_event(
                LOGGER,
                "deferred_run_failed",
                request=request_id,
                why=error,
                in_s=pause_s,
            )
            return
        stored = _StoredResult(
            _format_owner(item.held), msgspec.json.encode(describe_answer(stream))
        )
        entry = self._make_entry(
            EntryKind.RESULT, request_id, msgspec.msgpack.encode(stored)
        )
        self._shard_manager.write(shard, entry, lambda: self._add_result(work, entry))

    def _make_entry(self, kind: EntryKind, request_id: str, payload: bytes) -> Entry:
        return Entry(
            kind=kind,
            time=time.time(),
            key=request_id,
            request=request_id,
            payload=payload,
        )
