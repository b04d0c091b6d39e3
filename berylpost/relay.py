"""The task that owns the sockets of all open streams, on both sides.

CherryPy accepts a request and hands its socket over; from then on one thread with
one selector admits, queues, routes, relays and, when an engine fails or leaves,
goes on elsewhere. A thread a stream would cost six times the processor time; see
docs/DESIGN.md. What to do is decided in `policy`; this module carries it out.
"""

import heapq
import logging
import random
import selectors
import socket
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Final

from .callers import Caller
from .configurations import InForce
from .errors import ANSWERS, BerylpostError, ErrorKind
from .invariants import check_invariant
from .kernel import Context, Plugin, Slot, register_plugin
from .logs import log_event
from .messages import Backend, HeldRequest
from .metrics import (
    ATTEMPTS,
    FIRST_TOKEN,
    LATE_ANSWERS,
    OPEN_STREAMS,
    QUEUED_STREAMS,
    RECOMPUTED_TOKENS,
    REFUSALS,
    REQUESTS,
    TOKEN_GAP,
)
from .peers import BackendsHeard
from .policy.admission import (
    Refused,
    Usage,
    Waiting,
    allow_wait,
    decide_admission,
    list_overdue,
    order_queue,
)
from .policy.membership import Table, list_active
from .policy.reclaim import OpenStream, Plan, Way, plan_reclaim
from .policy.retry import (
    Budget,
    Failure,
    GiveUp,
    Retry,
    decide_retry,
    earn_budget,
)
from .policy.routing import CHARS_PER_TOKEN
from .pools import Pool, group_backends
from .recording import Recorder
from .streams import (
    Stream,
    StreamRequest,
    StreamState,
    build_body,
    describe_status,
    hold_stream,
    render_error,
    resume_stream,
)
from .upstream import Ended, LoadReport, Refusal, Token, Upstream, UpstreamEvent

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.25
PATHS: Final = {False: "/v1/completions", True: "/v1/chat/completions"}
FULL_STATUSES: Final = frozenset({429, 503})
DEFAULT_TOKEN_S: Final = 0.042
GAP_SAMPLE: Final = 16  # one gap in so many is observed; each costs 8 us


@dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A new request with the socket of its caller, if one waits."""

    request: StreamRequest
    socket: socket.socket | None
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """A caller that asks for the answer of a request accepted earlier."""

    stream_id: str
    socket: socket.socket
    after: int = 0
    whole: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """Asks for a request's status; the result is None when it is not known."""

    stream_id: str
    customer: str
    result: "Future[dict[str, Any] | None]"


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldAll:
    """Asks for all requests that need longer than `left_s`; they stop here."""

    left_s: float
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Asks for some requests, which stop here; those that ended are left out."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Peek:
    """Asks how far some requests are; they go on."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Released:
    """Another daemon has these requests; tell the callers to go there."""

    stream_ids: tuple[str, ...]
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Requests to go on with: taken over, or held and not taken by anyone.

    With `on_end` nobody else waits for them, and it hears of their end.
    """

    requests: tuple[HeldRequest, ...]
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CountOpen:
    """Asks how many requests are not final yet."""

    result: "Future[int]"


class RelayTask:
    """The relay of one daemon.

    Args:
        context: settings, board and the other tasks.
        random_state: for jitter.
        mover: moves the KV cache of a text between two engines; it runs elsewhere
            and calls back with whether it succeeded. None when engines cannot.
    """

    def __init__(
        self,
        *,
        context: Context,
        random_state: random.Random,
        recorder: Recorder,
        mover: Callable[[str, str, str, Callable[[bool], None]], None] | None = None,
    ) -> None:
        self._context = context
        self._settings = context.settings.relay
        self._random = random_state
        self._recorder = recorder
        self._mover = mover
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._inbox: list[Any] = []
        self._streams: dict[str, Stream] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._callers: dict[str, list[Caller]] = {}
        self._on_end: dict[str, Callable[[Stream], None]] = {}
        self._keys: dict[tuple[str, str], str] = {}
        self._queue: dict[str, Stream] = {}
        self._pools: dict[tuple[str, str], Pool] = {}
        self._usage: dict[tuple[str, str], Usage] = {}
        self._running: dict[str, int] = {}
        self._orphans: dict[str, float] = {}
        self._budget = Budget()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._n_timers = 0
        self._next_tick_at = 0.0
        self._retained_bytes = 0
        self._leaving = False
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._members: Slot[Table] = context.slots["members"]
        self._in_force: Slot[Mapping[str, InForce]] = context.slots["configurations"]
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            Attach: self._attach,
            Query: self._query,
            HoldAll: self._hold_all,
            Hold: self._hold,
            Peek: self._peek,
            Released: self._release,
            Resume: self._resume,
            CountOpen: lambda m: m.result.set_result(self._count_open()),
            BackendsHeard: self._hear_backends,
        }

    # The task's life.

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and closes every socket."""
        self._stopping = True
        self._wake()
        if self._thread is not None:
            self._thread.join(5)
        for upstream in self._upstreams.values():
            upstream.close()
        for callers in self._callers.values():
            for caller in callers:
                caller.socket.close()
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox."""
        self._inbox.append(message)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_write.send(b"x")
        except OSError:
            pass  # awake already, or stopped

    def _run(self) -> None:
        while not self._stopping:
            for key, mask in self._selector.select(self._next_wait()):
                self._guard(self._handle_ready, key, mask)
            inbox, self._inbox = self._inbox, []
            for message in inbox:
                self._guard(self._handlers[type(message)], message)
            self._guard(self._run_timers)

    def _guard(self, step: Callable[..., None], *arguments: Any) -> None:
        try:
            step(*arguments)
        except Exception:
            # One stream's failure must not end the others'.
            LOGGER.exception("event=task_error task=relay")

    def _next_wait(self) -> float:
        due = self._timers[0][0] if self._timers else self._next_tick_at
        return max(0.0, min(due, self._next_tick_at) - time.monotonic())

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_S
            self._tick(now)

    def _call_at(self, when: float, step: Callable[[], None]) -> None:
        self._n_timers += 1
        heapq.heappush(self._timers, (when, self._n_timers, step))

    def _handle_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.data is None:
            self._wake_read.recv(4_096)
        elif isinstance(key.data, Caller):
            self._handle_caller(key.data, mask)
        else:
            self._handle_upstream(key.data, mask)

    # Requests come in.

    def _submit(self, message: Submit) -> None:
        request = message.request
        now = time.monotonic()
        same = self._keys.get((request.customer, request.key)) if request.key else None
        if same is not None and same in self._streams:
            self._attach_repeat(same, message)
            return
        refusal = self._admit(request, now)
        if refusal is not None:
            self._refuse(message, refusal)
            return
        stream = Stream(
            request=request,
            accepted_at=now,
            deadline=now + request.deadline_s,
            start_by=now + self._allow_wait(request),
        )
        self._streams[request.id] = stream
        if request.key:
            self._keys[request.customer, request.key] = request.id
        if message.on_end is not None:
            self._on_end[request.id] = message.on_end
        self._budget = earn_budget(self._budget, self._settings.retry_ratio)
        self._enqueue(stream)
        if message.socket is not None:
            self._add_caller(stream, message.socket, 0, not request.stream)
        self._start_waiting(now)

    def _allow_wait(self, request: StreamRequest) -> float:
        pool = self._find_pool(request)
        return allow_wait(request.patience_s, pool.first_token_s if pool else 0.0)

    def _attach_repeat(self, stream_id: str, message: Submit) -> None:
        """Answers a repeated Idempotency-Key from the request it names."""
        stream = self._streams[stream_id]
        if stream.request.body != message.request.body:
            error = BerylpostError(ErrorKind.KEY_REUSED, "another body was sent")
            self._refuse(message, error)
        elif message.socket is not None:
            whole = not message.request.stream
            self._add_caller(stream, message.socket, 0, whole)

    def _admit(self, request: StreamRequest, now: float) -> BerylpostError | None:
        if self._leaving:
            return BerylpostError(ErrorKind.LEAVING, "use another address")
        in_force = self._in_force.read().get(request.deployment)
        pool = self._find_pool(request)
        if in_force is None or pool is None or not pool.replicas:
            detail = f"no replica of {request.model!r}"
            return BerylpostError(ErrorKind.NO_BACKEND, detail, retry_after_s=2)
        customers = {c.name: c for c in in_force.deployment.customers}
        customer = customers[request.customer]
        place = (request.deployment, request.customer)
        usage = self._usage.get(place, Usage())
        active = {
            name
            for (deployment, name), used in self._usage.items()
            if deployment == request.deployment and used.running + used.queued
        }
        weights = {c: customers[c].weight for c in active if c in customers}
        load = pool.describe_load(self._settings.max_streams, self._settings.max_queue)
        patience_s = self._allow_wait(request)
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
                "customer": customer,
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
            self._answer_once(message.socket, render_error(error))

    def _answer_once(self, sock: socket.socket, data: bytes) -> None:
        sock.setblocking(False)
        caller = Caller(socket=sock, stream_id="", closing=True)
        caller.buffer += data
        self._selector.register(sock, selectors.EVENT_READ, caller)
        self._flush(caller)

    def _attach(self, message: Attach) -> None:
        stream = self._streams.get(message.stream_id)
        if stream is None:
            error = BerylpostError(ErrorKind.EXPIRED, "no longer kept here")
            self._answer_once(message.socket, render_error(error))
            return
        self._add_caller(stream, message.socket, message.after, message.whole)

    def _query(self, message: Query) -> None:
        stream = self._streams.get(message.stream_id)
        # One customer never learns of another one's request, not even that it is.
        if stream is not None and stream.request.customer != message.customer:
            stream = None
        message.result.set_result(describe_status(stream) if stream else None)

    # Callers.

    def _add_caller(
        self, stream: Stream, sock: socket.socket, after: int, whole: bool
    ) -> None:
        sock.setblocking(False)
        caller = Caller(
            socket=sock,
            stream_id=stream.request.id,
            next_event=after + 1,
            whole=whole,
        )
        self._callers.setdefault(stream.request.id, []).append(caller)
        self._orphans.pop(stream.request.id, None)
        self._selector.register(sock, selectors.EVENT_READ, caller)
        self._serve_caller(caller, stream)

    def _serve_callers(self, stream: Stream) -> None:
        callers = self._callers.get(stream.request.id)
        if callers is None:
            return
        for caller in tuple(callers):
            self._serve_caller(caller, stream)

    def _serve_caller(self, caller: Caller, stream: Stream) -> None:
        caller.fill(stream, self._settings.caller_buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _flush(self, caller: Caller) -> None:
        if not caller.flush():
            self._drop_caller(caller)
            return
        if caller.closing and not caller.buffer:
            stream = self._streams.get(caller.stream_id)
            if stream is not None and stream.state is StreamState.DONE:
                stream.delivered = True
            self._drop_caller(caller)
            return
        wants_write = bool(caller.buffer)
        if wants_write != caller.wants_write:
            caller.wants_write = wants_write
            mask = selectors.EVENT_READ | selectors.EVENT_WRITE * wants_write
            self._selector.modify(caller.socket, mask, caller)

    def _handle_caller(self, caller: Caller, mask: int) -> None:
        if mask & selectors.EVENT_READ and caller.is_gone():
            self._drop_caller(caller)
            return
        stream = self._streams.get(caller.stream_id)
        if stream is not None and not caller.closing:
            caller.fill(stream, self._settings.caller_buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _drop_caller(self, caller: Caller) -> None:
        try:
            self._selector.unregister(caller.socket)
        except (KeyError, ValueError):
            return  # dropped already
        caller.socket.close()
        callers = self._callers.get(caller.stream_id)
        if callers is None:
            return
        callers.remove(caller)
        if callers:
            return
        del self._callers[caller.stream_id]
        stream = self._streams.get(caller.stream_id)
        if stream is not None and not stream.is_final():
            self._orphans[caller.stream_id] = time.monotonic()
            self._limit_orphans()

    def _limit_orphans(self) -> None:
        """Ends the requests that have gone longest without a caller."""
        while len(self._orphans) > self._settings.max_orphans:
            self._end_orphan(next(iter(self._orphans)))

    def _end_orphan(self, stream_id: str) -> None:
        self._orphans.pop(stream_id, None)
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.is_final():
            error = BerylpostError(ErrorKind.ANSWER_CUT, "the caller left")
            self._fail(stream, error)

    # The queue.

    def _enqueue(self, stream: Stream) -> None:
        stream.state = StreamState.QUEUED
        self._queue[stream.request.id] = stream
        self._change_usage(stream, queued=1)
        pool = self._find_pool(stream.request)
        if pool is not None:
            pool.n_queued += 1

    def _dequeue(self, stream: Stream) -> None:
        if self._queue.pop(stream.request.id, None) is None:
            return
        self._change_usage(stream, queued=-1)
        pool = self._find_pool(stream.request)
        if pool is not None:
            pool.n_queued -= 1

    def _change_usage(self, stream: Stream, running: int = 0, queued: int = 0) -> None:
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

    def _find_pool(self, request: StreamRequest) -> Pool | None:
        return self._pools.get((request.deployment, request.model))

    def _start_waiting(self, now: float) -> None:
        """Starts as many waiting requests as there is room for."""
        ready = [s for s in self._queue.values() if s.not_before <= now]
        rooms = {
            key: pool for key, pool in self._pools.items() if ready and pool.has_room()
        }
        if not rooms:
            return
        waiting = [self._describe_waiting(s) for s in ready]
        running = {c: u.running for (_, c), u in self._usage.items()}
        for item in order_queue(waiting, running):
            stream = self._queue[item.id]
            pool = rooms.get((stream.request.deployment, stream.request.model))
            if pool is None:
                continue
            if not self._start_attempt(stream, pool, now):
                if not pool.has_room():
                    del rooms[stream.request.deployment, stream.request.model]
                if not rooms:
                    return

    def _describe_waiting(self, stream: Stream) -> Waiting:
        request = stream.request
        return Waiting(
            id=request.id,
            customer=request.customer,
            weight=request.weight,
            # What has begun goes first: its caller already waits for the next token.
            priority=-1 if stream.n_tokens else request.priority,
            start_by=stream.start_by,
            queued_at=stream.accepted_at,
        )

    # Attempts.

    def _start_attempt(self, stream: Stream, pool: Pool, now: float) -> bool:
        choice = pool.choose(stream, now)
        if choice is None:
            return False
        self._recorder.record_choice(stream.request, choice, now)
        self._dequeue(stream)
        replica = choice.replica
        if stream.n_attempts:
            moved = replica.id != stream.prefer
            n_chars = len(stream.request.prompt) + len(stream.text)
            RECOMPUTED_TOKENS.inc(n_chars // CHARS_PER_TOKEN if moved else 0)
        stream.n_attempts += 1
        stream.state = StreamState.RUNNING
        stream.backend = replica.id
        stream.prefer = ""
        stream.base_tokens = stream.n_tokens
        stream.started_at = now
        stream.last_token_at = 0.0
        pool.start(stream, replica.id)
        self._change_usage(stream, running=1)
        ATTEMPTS.labels("first" if stream.n_attempts == 1 else "again").inc()
        upstream = Upstream(
            address=replica.address,
            path=PATHS[stream.request.chat],
            body=build_body(stream),
            request_id=stream.request.id,
            now=now,
        )
        self._upstreams[stream.request.id] = upstream
        mask = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._selector.register(upstream.socket, mask, (stream, upstream))
        return True

    def _handle_upstream(self, data: tuple[Stream, Upstream], mask: int) -> None:
        stream, upstream = data
        if self._upstreams.get(stream.request.id) is not upstream:
            LATE_ANSWERS.inc()
            return
        events: list[UpstreamEvent] = []
        if mask & selectors.EVENT_WRITE:
            events += upstream.write_ready()
            if not upstream.wants_write():
                self._selector.modify(upstream.socket, selectors.EVENT_READ, data)
        if mask & selectors.EVENT_READ and not events:
            events += upstream.read_ready(time.monotonic())
        for event in events:
            if self._upstreams.get(stream.request.id) is not upstream:
                break
            self._take_event(stream, event)
        self._serve_callers(stream)

    def _take_event(self, stream: Stream, event: UpstreamEvent) -> None:
        now = time.monotonic()
        match event:
            case Token():
                self._take_token(stream, event, now)
            case LoadReport():
                self._take_load(stream, event, now)
            case Refusal():
                self._observe(stream, None, now)
                full = event.status in FULL_STATUSES
                self._fail_attempt(stream, Failure.REFUSED if full else Failure.CUT)
            case Ended():
                if not event.whole or not stream.finish_reason:
                    failure = Failure.CUT if event.sent else Failure.UNSENT
                    self._fail_attempt(stream, failure)

    def _take_token(self, stream: Stream, token: Token, now: float) -> None:
        if not stream.first_token_at:
            stream.first_token_at = now
            FIRST_TOKEN.observe(now - stream.accepted_at)
        if not stream.last_token_at:
            self._observe(stream, now - stream.started_at, now)
        elif not token.n_tokens % GAP_SAMPLE:
            TOKEN_GAP.observe(now - stream.last_token_at)
        stream.last_token_at = now
        stream.n_tokens = stream.base_tokens + token.n_tokens
        if stream.n_tokens > stream.max_tokens:
            check_invariant(
                "answer_within_max_tokens", False, request=stream.request.id
            )
        if token.text or token.finish_reason:
            stream.add(token.text)
        if token.finish_reason:
            self._finish(stream, token.finish_reason, now)

    def _take_load(self, stream: Stream, report: LoadReport, now: float) -> None:
        pool = self._find_pool(stream.request)
        if pool is not None:
            pool.report(stream.backend, report, now)

    def _observe(self, stream: Stream, first_s: float | None, now: float) -> None:
        pool = self._find_pool(stream.request)
        in_force = self._in_force.read().get(stream.request.deployment)
        if pool is not None and in_force is not None:
            target_s = in_force.deployment.target.first_token_ms / 1_000
            pool.observe(stream.backend, first_s, target_s, now)

    def _close_attempt(self, stream: Stream, service_s: float | None = None) -> None:
        upstream = self._upstreams.pop(stream.request.id, None)
        if upstream is None:
            return
        self._selector.unregister(upstream.socket)
        upstream.close()
        self._change_usage(stream, running=-1)
        pool = self._find_pool(stream.request)
        if pool is not None:
            pool.end(stream.backend, service_s)

    def _fail_attempt(self, stream: Stream, failure: Failure) -> None:
        """Ends an attempt that did not finish and decides how to go on."""
        now = time.monotonic()
        backend = stream.backend
        self._close_attempt(stream)
        if stream.n_tokens >= stream.max_tokens:
            # All tokens came; only the engine's closing word was cut.
            stream.add("")
            self._finish(stream, "length", now)
            return
        if failure is not Failure.LEAVING:
            stream.n_failures += 1
            stream.avoid.add(backend)
        decision = decide_retry(
            failure=failure,
            idempotent=True,
            n_attempts=stream.n_failures,
            max_attempts=self._settings.max_attempts,
            n_tokens=stream.n_tokens,
            left_s=stream.deadline - now,
            budget=self._budget,
            random_state=self._random,
        )
        log_event(
            LOGGER,
            "attempt_ended",
            request=stream.request.id,
            backend=backend,
            failure=failure,
            tokens=stream.n_tokens,
            decision=type(decision).__name__,
        )
        match decision:
            case Retry():
                self._budget = decision.budget
                stream.not_before = now + decision.pause_s
                stream.start_by = stream.deadline
                self._enqueue(stream)
                restart = time.monotonic
                self._call_at(stream.not_before, lambda: self._start_waiting(restart()))
            case GiveUp():
                kind = (
                    ErrorKind.ANSWER_CUT
                    if stream.n_tokens
                    else ErrorKind.NO_BACKEND
                    if failure in (Failure.UNSENT, Failure.REFUSED)
                    else ErrorKind.BACKEND_FAILED
                )
                self._fail(stream, BerylpostError(kind, decision.reason))

    # Ends.

    def _finish(self, stream: Stream, reason: str, now: float) -> None:
        stream.finish_reason = reason
        self._close_attempt(stream, now - stream.started_at)
        self._end(stream, StreamState.DONE, "done")

    def _fail(self, stream: Stream, error: BerylpostError) -> None:
        stream.error = error
        REFUSALS.labels(error.kind).inc()
        self._dequeue(stream)
        self._close_attempt(stream)
        self._end(stream, StreamState.FAILED, "failed")

    def _end(self, stream: Stream, state: StreamState, outcome: str) -> None:
        check_invariant("ended_once", not stream.is_final(), request=stream.request.id)
        stream.state = state
        stream.ended_at = time.monotonic()
        REQUESTS.labels(stream.request.customer, outcome).inc()
        self._retained_bytes += len(stream.text)
        self._orphans.pop(stream.request.id, None)
        on_end = self._on_end.pop(stream.request.id, None)
        if on_end is not None and state is not StreamState.MOVED:
            on_end(stream)
        self._serve_callers(stream)
        self._start_waiting(time.monotonic())

    # Backend servers.

    def _hear_backends(self, _: BackendsHeard) -> None:
        table = self._backends.read()
        n_daemons = len(list_active(self._members.read()))
        groups = group_backends(table.values(), "engine")
        for key in groups.keys() - self._pools.keys():
            self._pools[key] = Pool(deployment=key[0], model=key[1])
        for key, pool in self._pools.items():
            before = pool.leaving
            pool.set_backends(groups.get(key, ()), n_daemons)
            for backend_id in pool.leaving - before:
                self._reclaim_backend(table[backend_id])
        self._start_waiting(time.monotonic())

    def _reclaim_backend(self, backend: Backend) -> None:
        """Plans for the streams on a backend server that got notice."""
        now = time.monotonic()
        on_it = {
            s.request.id: s
            for s in self._streams.values()
            if s.state is StreamState.RUNNING and s.backend == backend.id
        }
        left_s = backend.deadline - time.time()
        open_streams = [self._describe_open(s, now) for s in on_it.values()]
        plans = plan_reclaim(
            open_streams, left_s=left_s, can_move=self._mover is not None
        )
        self._recorder.record(
            "reclaim",
            now=now,
            inputs={
                "streams": open_streams,
                "left_s": left_s,
                "can_move": self._mover is not None,
            },
            outcome=plans,
        )
        for plan in plans:
            self._carry_out(plan, on_it[plan.id], backend)

    def _describe_open(self, stream: Stream, now: float) -> OpenStream:
        n_attempt = stream.n_tokens - stream.base_tokens
        pace = (now - stream.started_at) / n_attempt if n_attempt else DEFAULT_TOKEN_S
        n_prompt = len(stream.request.prompt) // CHARS_PER_TOKEN
        return OpenStream(
            id=stream.request.id,
            n_context=n_prompt + stream.n_tokens,
            n_left=stream.max_tokens - stream.n_tokens,
            token_s=pace,
        )

    def _carry_out(self, plan: Plan, stream: Stream, backend: Backend) -> None:
        log_event(
            LOGGER,
            "stream_planned",
            request=plan.id,
            backend=backend.id,
            way=plan.way,
            reason=plan.reason,
        )
        if plan.way is Way.FINISH:
            return
        pool = self._find_pool(stream.request)
        choice = pool.choose(stream, time.monotonic()) if pool else None
        if plan.way is Way.RESTART or choice is None or self._mover is None:
            self._fail_attempt(stream, Failure.LEAVING)
            return
        target = choice.replica
        text = stream.request.prompt + stream.text.decode()

        def go_on(moved: bool) -> None:
            self.post(
                CacheMoved(
                    stream_id=plan.id, source=backend.id, target=target.id, moved=moved
                )
            )

        self._handlers.setdefault(CacheMoved, self._go_on)
        self._mover(text, backend.address, target.address, go_on)

    def _go_on(self, message: "CacheMoved") -> None:
        stream = self._streams.get(message.stream_id)
        if (
            stream is None
            or stream.state is not StreamState.RUNNING
            or stream.backend != message.source
        ):
            return  # finished or failed over while the cache moved
        if message.moved:
            stream.prefer = message.target
        prefer = stream.prefer
        self._fail_attempt(stream, Failure.LEAVING)
        stream.prefer = prefer

    # This daemon leaves, or takes over from one that does.

    def _hold_all(self, message: HoldAll) -> None:
        """Stops what cannot finish in time and returns it for a successor."""
        self._leaving = True
        now = time.monotonic()
        held: list[HeldRequest] = []
        for stream in list(self._streams.values()):
            if stream.request.id in self._on_end:
                continue  # whoever waits for it moves it, see `deferred`
            if stream.is_final():
                # Answered, but a caller may still be on its way back for it.
                if stream.state is not StreamState.MOVED and not stream.delivered:
                    held.append(hold_stream(stream, now))
                continue
            described = self._describe_open(stream, now)
            running = stream.state is StreamState.RUNNING
            if running and described.n_left * described.token_s < message.left_s:
                continue
            record = hold_stream(stream, now)
            self._dequeue(stream)
            self._close_attempt(stream)
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
            held.append(hold_stream(stream, now))
            self._dequeue(stream)
            self._close_attempt(stream)
            self._on_end.pop(stream_id, None)
            del self._streams[stream_id]
        message.result.set_result(held)

    def _peek(self, message: Peek) -> None:
        now = time.monotonic()
        found = (self._streams.get(stream_id) for stream_id in message.stream_ids)
        held = [hold_stream(s, now) for s in found if s and not s.is_final()]
        message.result.set_result(held)

    def _release(self, message: Released) -> None:
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
            present = self._streams.get(held.id)
            if message.on_end is not None:
                self._on_end[held.id] = message.on_end
                if present is not None and present.is_final():
                    present = None  # a run that failed; this is the next one
            if present is not None and present.state is not StreamState.HELD:
                continue  # the batch came twice
            if present is not None:
                self._enqueue(present)
                continue
            stream = self._revive(held, now)
            self._streams[held.id] = stream
            if stream.is_final():
                self._retained_bytes += len(stream.text)
            else:
                if message.on_end is None:
                    self._orphans[held.id] = now
                self._enqueue(stream)
        self._start_waiting(now)

    def _revive(self, held: HeldRequest, now: float) -> Stream:
        weight, priority = 1.0, 5
        in_force = self._in_force.read().get(held.deployment)
        if in_force is not None:
            for customer in in_force.deployment.customers:
                if customer.name == held.customer:
                    weight, priority = customer.weight, customer.priority
        return resume_stream(held, weight=weight, priority=priority, now=now)

    def _count_open(self) -> int:
        return sum(not s.is_final() for s in self._streams.values()) + len(
            self._callers
        )

    # Time.

    def _tick(self, now: float) -> None:
        self._end_overdue(now)
        self._end_stalled(now)
        grace = self._settings.orphan_grace_s
        for stream_id, since in list(self._orphans.items()):
            if now - since >= grace:
                self._end_orphan(stream_id)
        self._forget_ended(now)
        if not self._pools and self._backends.read():
            self._hear_backends(BackendsHeard(backends=()))
        self._start_waiting(now)
        OPEN_STREAMS.set(len(self._upstreams))
        QUEUED_STREAMS.set(len(self._queue))

    def _end_overdue(self, now: float) -> None:
        waiting = [self._describe_waiting(s) for s in self._queue.values()]
        for stream_id in list_overdue(waiting, now):
            stream = self._streams[stream_id]
            if stream.n_attempts:
                kind = ErrorKind.ANSWER_CUT
            else:
                kind = ErrorKind.DEADLINE_UNREACHABLE
            error = BerylpostError(kind, ANSWERS[kind].title, retry_after_s=1)
            self._fail(stream, error)
        for stream in list(self._streams.values()):
            if stream.state is StreamState.RUNNING and now >= stream.deadline:
                error = BerylpostError(ErrorKind.ANSWER_CUT, "deadline passed")
                self._fail(stream, error)

    def _end_stalled(self, now: float) -> None:
        for stream_id, upstream in list(self._upstreams.items()):
            silent_s = now - upstream.last_data_at
            stream = self._streams[stream_id]
            if not upstream.connected and silent_s > self._settings.connect_timeout_s:
                self._fail_attempt(stream, Failure.UNSENT)
            elif silent_s > self._settings.stall_timeout_s:
                self._observe(stream, None, now)
                self._fail_attempt(stream, Failure.STALLED)

    def _forget_ended(self, now: float) -> None:
        """Forgets ended requests after their retention, or earlier when many."""
        settings = self._settings
        for stream_id, stream in list(self._streams.items()):
            if not stream.is_final() or stream_id in self._callers:
                continue
            kept_s = now - stream.ended_at
            over = self._retained_bytes > settings.retained_bytes
            if kept_s < settings.retention_s and not over:
                continue
            del self._streams[stream_id]
            self._retained_bytes -= len(stream.text)
            if stream.request.key:
                self._keys.pop((stream.request.customer, stream.request.key), None)


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheMoved:
    """The mover's word on one stream."""

    stream_id: str
    source: str
    target: str
    moved: bool


def _build(context: Context) -> RelayTask:
    from .movers import make_mover

    seed = f"{context.settings.daemon.id}/{time.time_ns()}"
    return RelayTask(
        context=context,
        random_state=random.Random(seed),
        recorder=Recorder(settings=context.settings.recording),
        mover=make_mover(),
    )


register_plugin(
    Plugin(name="relay", requires=("peers", "configurations", "backends"), build=_build)
)
