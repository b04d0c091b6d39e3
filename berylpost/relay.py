"""The task that owns the sockets of all open streams, to callers and to engines.

CherryPy accepts a request and hands its socket over; from then on one thread with
one selector admits, queues, routes and relays the request and, when its engine fails
or leaves, retries it on another one. One thread per stream would take at least twice
the processor time; see docs/DESIGN.md. This module contains the event loop, the
message handlers and the lifecycle of a request; its parts are `connections`
(callers), `admission` (the queue), `attempts` (engines) and `reclaims` (leaving
backend servers). The decisions are made in `policy`.
"""

import heapq
import logging
import random
import selectors
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

from .admission import AdmissionQueue
from .attempts import AttemptCallbacks, Attempts
from .backends import mark_leaving
from .callers import Caller
from .configurations import ConfigurationInForce
from .connections import Connections
from .engine_limits import EngineLimits
from .errors import ERROR_RESPONSES, BerylpostError, ErrorKind
from .invariants import check_invariant
from .kernel import Context, Inbox, Plugin, Slot, register_plugin, run_step
from .messages import (
    Backend,
    HeldRequest,
    PartPull,
    PartReport,
    RateQuestion,
    RateReport,
)
from .metrics import OPEN_STREAMS, QUEUED_STREAMS, REFUSALS, REQUESTS
from .movers import CacheMover, make_cache_mover
from .peers import BackendsReceived, Send
from .reclaims import CacheMoved, Reclaims
from .recording import Recorder
from .relay_holds import (
    HELD_SLOT,
    AdmitCall,
    CallAnswered,
    CallBroken,
    CallUnsent,
    RelayHolds,
    ServerProbed,
)
from .relay_messages import (
    Attach,
    CountOpen,
    Hold,
    HoldAll,
    MarkMoved,
    Query,
    Resume,
    Snapshot,
    Submit,
)
from .server_paths import ConnectFailed, find_paths
from .streams import (
    Stream,
    StreamRequest,
    StreamState,
    describe_status,
    make_held_request,
    render_error,
    restore_stream,
)

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.25


class RelayTask:
    """The relay of one daemon.

    Args:
        context: settings, slots and the other tasks.
        random_state: source of retry jitter.
        recorder: records decisions.
        mover: moves the KV cache of a text between two engines; it runs in another
            thread and calls back with whether it succeeded. None when engines cannot
            move caches.
    """

    def __init__(
        self,
        *,
        context: Context,
        random_state: random.Random,
        recorder: Recorder,
        mover: CacheMover | None = None,
    ) -> None:
        self._settings = context.settings.relay
        self._selector = selectors.DefaultSelector()
        self._inbox = Inbox()
        self._selector.register(self._inbox.wake_socket, selectors.EVENT_READ, None)
        self._streams: dict[str, Stream] = {}
        self._on_end: dict[str, Callable[[Stream], None]] = {}
        self._keys: dict[tuple[str, str], str] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._n_timers = 0
        self._next_tick_at = 0.0
        self._retained_bytes = 0
        self._leaving = False
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._in_force: Slot[Mapping[str, ConfigurationInForce]] = context.slots[
            "configurations"
        ]
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._connections = Connections(
            selector=self._selector,
            settings=self._settings,
            find_stream=self._streams.get,
            end_orphan=self._end_orphan,
            account=context.account,
        )
        self._context = context
        self._queue = AdmissionQueue(
            settings=self._settings, in_force=self._in_force, recorder=recorder
        )
        self._held: Slot[frozenset[int]] = context.open_slot(HELD_SLOT, frozenset())
        self._holds = RelayHolds(
            self_id=context.settings.daemon.id,
            members=context.slots["members"],
            send=lambda to, message: context.post(
                "peers", Send(to=to, message=message)
            ),
            post=self.post,
            schedule=self._schedule,
            on_held=self._handle_holds,
            refuses_connections=self._refuses_connections,
        )
        self._limits = EngineLimits(
            self_id=context.settings.daemon.id,
            members=context.slots["members"],
            send=lambda to, message: context.post(
                "peers", Send(to=to, message=message)
            ),
        )
        self._attempts = Attempts(
            selector=self._selector,
            settings=self._settings,
            in_force=self._in_force,
            queue=self._queue,
            holds=self._holds,
            limits=self._limits,
            recorder=recorder,
            random_state=random_state,
            callbacks=AttemptCallbacks(
                updated=self._connections.deliver,
                finished=self._finish,
                failed=self._fail,
                retry_due=lambda when: self._schedule(when, self._start_queued),
                leaving_named=self._note_leaving,
                connect_failed=lambda address: context.post(
                    "paths", ConnectFailed(address=address)
                ),
            ),
            resolve=self._resolve,
        )
        self._reclaims = Reclaims(
            streams=self._streams,
            queue=self._queue,
            attempts=self._attempts,
            backends=self._backends,
            members=context.slots["members"],
            recorder=recorder,
            mover=mover,
            post=self.post,
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            Attach: self._attach,
            Query: self._query,
            HoldAll: self._hold_all,
            Hold: self._hold,
            Snapshot: self._snapshot,
            MarkMoved: self._mark_moved,
            Resume: self._resume,
            CountOpen: lambda m: m.result.set_result(self._count_open()),
            BackendsReceived: self._handle_backends_received,
            CacheMoved: self._reclaims.handle_cache_moved,
            ServerProbed: self._holds.handle_probed,
            AdmitCall: self._holds.handle_admit,
            CallAnswered: self._holds.handle_answered,
            CallBroken: self._holds.handle_broken,
            CallUnsent: self._holds.handle_unsent,
            PartReport: self._holds.handle_report,
            PartPull: self._holds.handle_pull,
            RateReport: self._limits.handle_report,
            RateQuestion: self._limits.handle_question,
        }

    def _resolve(self, address: str) -> str:
        """Returns the address at which to connect to an engine now."""
        paths = find_paths(self._context)
        return address if paths is None else paths.resolve(address)

    def _refuses_connections(self, address: str) -> bool | None:
        """Tells whether an engine refuses all daemons; None if that is not known."""
        paths = find_paths(self._context)
        return None if paths is None else paths.refuses_connections(address)

    # Lifecycle and event loop of the task.

    def start(self) -> None:
        """Starts the relay's thread."""
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the relay's thread and closes every socket."""
        self._stopping = True
        self._inbox.wake()
        if self._thread is not None:
            self._thread.join(5)
        self._holds.stop()
        self._attempts.close()
        self._connections.close()
        self._selector.close()
        self._inbox.close()

    def post(self, message: Any) -> None:
        """Puts a message into the relay's mailbox."""
        self._inbox.post(message)

    def _run(self) -> None:
        while not self._stopping:
            for key, mask in self._selector.select(self._find_select_timeout()):
                run_step("relay", self._handle_ready, key, mask)
            for message in self._inbox.take():
                run_step("relay", self._handlers[type(message)], message)
            run_step("relay", self._run_timers)

    def _find_select_timeout(self) -> float:
        due = self._timers[0][0] if self._timers else self._next_tick_at
        return max(0.0, min(due, self._next_tick_at) - time.monotonic())

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_S
            self._tick(now)

    def _schedule(self, when: float, step: Callable[[], None]) -> None:
        self._n_timers += 1
        heapq.heappush(self._timers, (when, self._n_timers, step))

    def _handle_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.data is None:
            self._inbox.clear_wakeup()
        elif isinstance(key.data, Caller):
            self._connections.handle(key.data, mask)
        else:
            self._attempts.handle(key.data, mask)

    # New requests and callers.

    def _submit(self, message: Submit) -> None:
        try:
            self._accept(message)
        except Exception:
            # The caller waits on this socket and must be told of the failure.
            LOGGER.exception("event=task_error task=relay")
            error = BerylpostError(ErrorKind.INTERNAL, "see the log")
            self._refuse(message, error)

    def _accept(self, message: Submit) -> None:
        request = message.request
        now = time.monotonic()
        existing_id = (
            self._keys.get((request.owner, request.key)) if request.key else None
        )
        if existing_id is not None and existing_id in self._streams:
            self._attach_repeat(existing_id, message)
            return
        refusal = self._admit(request, now)
        if refusal is not None:
            self._refuse(message, refusal)
            return
        stream = Stream(
            request=request,
            accepted_at=now,
            deadline=now + request.deadline_s,
            start_by=now + self._queue.find_max_queue_wait(request),
        )
        self._streams[request.id] = stream
        if request.key:
            self._keys[request.owner, request.key] = request.id
        if message.on_end is not None:
            self._on_end[request.id] = message.on_end
        self._attempts.earn_retries()
        self._queue.add(stream)
        if message.socket is not None:
            self._connections.add(stream, message.socket, 0, not request.stream)
        self._start_queued()

    def _attach_repeat(self, stream_id: str, message: Submit) -> None:
        """Answers a repeated Idempotency-Key from the request that first used it."""
        stream = self._streams[stream_id]
        if stream.request.body != message.request.body:
            error = BerylpostError(ErrorKind.KEY_REUSED, "another body was sent")
            self._refuse(message, error)
        elif message.socket is not None:
            whole = not message.request.stream
            self._connections.add(stream, message.socket, 0, whole)

    def _refuse(self, message: Submit, error: BerylpostError) -> None:
        REFUSALS.labels(error.kind).inc()
        REQUESTS.labels(message.request.customer, "refused").inc()
        if message.on_end is not None:
            stream = Stream(
                request=message.request, accepted_at=0, deadline=0, start_by=0
            )
            stream.state, stream.error = StreamState.FAILED, error
            message.on_end(stream)
        if message.socket is not None:
            self._connections.send_and_close(message.socket, render_error(error))

    def _attach(self, message: Attach) -> None:
        stream = self._streams.get(message.stream_id)
        if stream is None:
            error = BerylpostError(ErrorKind.EXPIRED, "no longer kept here")
            self._connections.send_and_close(message.socket, render_error(error))
            return
        self._connections.add(stream, message.socket, message.after, message.whole)

    def _query(self, message: Query) -> None:
        stream = self._streams.get(message.stream_id)
        # A customer must not learn even that another customer's request exists.
        if stream is not None and stream.request.owner != message.owner:
            stream = None
        message.result.set_result(describe_status(stream) if stream else None)

    def _admit(self, request: StreamRequest, now: float) -> BerylpostError | None:
        if self._leaving:
            return BerylpostError(ErrorKind.LEAVING, "use another address")
        refusal = self._holds.admit(request)
        if refusal is not None:
            return refusal
        refusal = self._queue.admit(request, now)
        if refusal is not None:
            self._holds.cancel_trial(request)
        return refusal

    def _start_queued(self) -> None:
        self._queue.start_queued(time.monotonic(), self._attempts.start)

    def _handle_backends_received(self, _: BackendsReceived) -> None:
        self._reclaims.refresh_pools()
        self._start_queued()

    def _note_leaving(self, backend_id: str) -> None:
        """Tells all daemons of an engine that says in an answer that it leaves."""
        message = mark_leaving(self._backends.read(), backend_id)
        if message is not None:
            self._context.post("backends", message)

    def _handle_holds(self, held: frozenset[int]) -> None:
        """Publishes what is held for the threads that forward calls."""
        self._held.publish(held)
        self._fail_held()

    def _fail_held(self) -> None:
        """Fails queued requests that have become held."""
        for stream in list(self._queue.queued.values()):
            if self._holds.is_held(stream.request):
                self._fail_one_held(stream)

    def _fail_one_held(self, stream: Stream) -> None:
        kind = ErrorKind.QUARANTINED
        if stream.n_attempts or stream.n_tokens:
            kind = ErrorKind.ANSWER_CUT if stream.n_tokens else ErrorKind.BACKEND_FAILED
        self._fail(stream, BerylpostError(kind, "a part of the prompt is held back"))

    # End of requests.

    def _end_orphan(self, stream_id: str) -> None:
        self._connections.orphans.pop(stream_id, None)
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.is_final():
            error = BerylpostError(ErrorKind.ANSWER_CUT, "the caller left")
            self._fail(stream, error)

    def _finish(self, stream: Stream, reason: str, now: float) -> None:
        stream.finish_reason = reason
        self._holds.note_answered(stream.request)
        self._attempts.close_attempt(stream, now - stream.started_at)
        self._end(stream, StreamState.DONE, "done")

    def _fail(self, stream: Stream, error: BerylpostError) -> None:
        stream.error = error
        if stream.n_attempts == stream.n_not_run:
            self._holds.cancel_trial(stream.request)
        REFUSALS.labels(error.kind).inc()
        self._queue.remove(stream)
        self._attempts.close_attempt(stream)
        self._end(stream, StreamState.FAILED, "failed")

    def _end(self, stream: Stream, state: StreamState, outcome: str) -> None:
        check_invariant("ended_once", not stream.is_final(), request=stream.request.id)
        stream.state = state
        stream.ended_at = time.monotonic()
        REQUESTS.labels(stream.request.customer, outcome).inc()
        self._retained_bytes += len(stream.text)
        self._connections.orphans.pop(stream.request.id, None)
        on_end = self._on_end.pop(stream.request.id, None)
        if on_end is not None and state is not StreamState.MOVED:
            on_end(stream)
        self._connections.deliver(stream)
        self._start_queued()

    # Transfer of requests to and from other daemons.

    def _hold_all(self, message: HoldAll) -> None:
        """Stops requests that cannot finish in time; returns them for a successor."""
        self._leaving = True
        now = time.monotonic()
        held: list[HeldRequest] = []
        for stream in list(self._streams.values()):
            if stream.request.id in self._on_end:
                continue  # `deferred` submitted it and moves it itself
            if stream.is_final():
                # The answer is complete, but a caller may still reconnect for it.
                if stream.state is not StreamState.MOVED and not stream.delivered:
                    held.append(make_held_request(stream, now))
                continue
            described = self._reclaims.describe_open(stream, now)
            running = stream.state is StreamState.RUNNING
            if running and described.n_left * described.token_s < message.left_s:
                continue
            record = make_held_request(stream, now)
            self._queue.remove(stream)
            self._attempts.close_attempt(stream)
            stream.state = StreamState.HELD
            held.append(record)
        message.result.set_result(held)

    def _hold(self, message: Hold) -> None:
        now = time.monotonic()
        held: list[HeldRequest] = []
        for stream_id in message.stream_ids:
            stream = self._streams.get(stream_id)
            if stream is None or stream.is_final():
                continue
            held.append(make_held_request(stream, now))
            self._queue.remove(stream)
            self._attempts.close_attempt(stream)
            self._on_end.pop(stream_id, None)
            del self._streams[stream_id]
        message.result.set_result(held)

    def _snapshot(self, message: Snapshot) -> None:
        now = time.monotonic()
        found = (self._streams.get(stream_id) for stream_id in message.stream_ids)
        held = [make_held_request(s, now) for s in found if s and not s.is_final()]
        message.result.set_result(held)

    def _mark_moved(self, message: MarkMoved) -> None:
        for stream_id in message.stream_ids:
            stream = self._streams.get(stream_id)
            if stream is None:
                continue
            stream.moved_to = message.address
            if not stream.is_final():
                self._end(stream, StreamState.MOVED, "moved")

    def _resume(self, message: Resume) -> None:
        now = time.monotonic()
        for held in message.requests:
            existing = self._streams.get(held.id)
            if message.on_end is not None:
                self._on_end[held.id] = message.on_end
                if existing is not None and existing.is_final():
                    existing = None  # an earlier run failed; this is the next run
            if existing is not None and existing.state is not StreamState.HELD:
                continue  # the batch was delivered twice
            if existing is not None:
                self._queue.add(existing)
                continue
            stream = self._restore_stream(held, now)
            self._streams[held.id] = stream
            if stream.is_final():
                self._retained_bytes += len(stream.text)
            else:
                if message.on_end is None:
                    self._connections.orphans[held.id] = now
                self._queue.add(stream)
        self._fail_held()
        self._start_queued()

    def _restore_stream(self, held: HeldRequest, now: float) -> Stream:
        weight, priority = 1.0, 5
        in_force = self._in_force.read().get(held.deployment)
        if in_force is not None:
            for customer in in_force.deployment.customers:
                if customer.name == held.customer:
                    weight, priority = customer.weight, customer.priority
        return restore_stream(held, weight=weight, priority=priority, now=now)

    def _count_open(self) -> int:
        n_unfinished = sum(not s.is_final() for s in self._streams.values())
        return n_unfinished + self._connections.n_callers

    # Periodic work.

    def _tick(self, now: float) -> None:
        self._fail_overdue(now)
        self._holds.tick(now)
        self._limits.tick(now, self._backends.read())
        self._attempts.fail_stalled(now, self._streams)
        grace = self._settings.orphan_grace_s
        for stream_id, since in list(self._connections.orphans.items()):
            if now - since >= grace:
                self._end_orphan(stream_id)
        self._evict_ended(now)
        if not self._queue.pools and self._backends.read():
            self._reclaims.refresh_pools()
        self._start_queued()
        OPEN_STREAMS.set(len(self._attempts.open))
        QUEUED_STREAMS.set(len(self._queue.queued))

    def _fail_overdue(self, now: float) -> None:
        for stream_id in self._queue.list_overdue(now):
            stream = self._streams[stream_id]
            if stream.state is not StreamState.QUEUED:
                continue  # failing one of the others let it start
            if stream.n_attempts:
                kind = ErrorKind.ANSWER_CUT
            else:
                kind = ErrorKind.DEADLINE_UNREACHABLE
            error = BerylpostError(kind, ERROR_RESPONSES[kind].title, retry_after_s=1)
            self._fail(stream, error)
        for stream in list(self._streams.values()):
            if stream.state is StreamState.RUNNING and now >= stream.deadline:
                error = BerylpostError(ErrorKind.ANSWER_CUT, "deadline passed")
                self._fail(stream, error)

    def _evict_ended(self, now: float) -> None:
        """Evicts ended requests after the retention time.

        They are evicted earlier while their answers exceed `retained_bytes`.
        """
        settings = self._settings
        for stream_id, stream in list(self._streams.items()):
            if not stream.is_final() or stream_id in self._connections.by_stream:
                continue
            kept_s = now - stream.ended_at
            over = self._retained_bytes > settings.retained_bytes
            if kept_s < settings.retention_s and not over:
                continue
            del self._streams[stream_id]
            self._retained_bytes -= len(stream.text)
            if stream.request.key:
                self._keys.pop((stream.request.owner, stream.request.key), None)


def _build(context: Context) -> RelayTask:
    seed = f"{context.settings.daemon.id}/{time.time_ns()}"
    return RelayTask(
        context=context,
        random_state=random.Random(seed),
        recorder=Recorder(settings=context.settings.recording),
        mover=make_cache_mover(),
    )


register_plugin(
    Plugin(
        name="relay",
        requires=("peers", "configurations", "backends", "paths"),
        build=_build,
    )
)
