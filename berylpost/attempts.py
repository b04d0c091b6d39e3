"""The relay's attempts at engines: connections, their events, and retries.

Owned by the relay's thread. `upstream` is one connection; this module keeps all of
them, adds received tokens to their streams and asks `policy.retry` whether a failed
attempt is retried.
"""

import logging
import random
import selectors
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from .admission import AdmissionQueue
from .configurations import ConfigurationInForce
from .engine_limits import EngineLimits
from .errors import BerylpostError, ErrorKind
from .invariants import check_invariant
from .kernel import Slot
from .logs import log_event
from .metrics import ATTEMPTS, FIRST_TOKEN, LATE_ANSWERS, RECOMPUTED_TOKENS, TOKEN_GAP
from .policy.retry import Budget, Failure, GiveUp, Retry, decide_retry, earn_budget
from .policy.routing import CHARS_PER_TOKEN
from .pools import Pool
from .recording import Recorder
from .relay_holds import RelayHolds
from .settings import RelaySettings
from .streams import Stream, StreamState, build_body
from .upstream import AttemptEnded, LoadReport, Refusal, Token, Upstream, UpstreamEvent

LOGGER: Final = logging.getLogger(__name__)
PATHS: Final = {False: "/v1/completions", True: "/v1/chat/completions"}
OVERLOAD_STATUSES: Final = frozenset({429, 503})
# One in this many gaps between tokens is observed, since an observation takes 8 us.
GAP_SAMPLE_INTERVAL: Final = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptCallbacks:
    """Callbacks of the relay for events of attempts.

    Attributes:
        updated: a stream may have new data for its callers.
        finished: the answer is complete; called with its finish reason and the time.
        failed: the request has failed and is not retried.
        retry_due: called with the time of a retry, in monotonic seconds.
        leaving_named: called with the id of an engine that says that it leaves.
        connect_failed: called with the address of an engine that could not be reached.
    """

    updated: Callable[[Stream], None]
    finished: Callable[[Stream, str, float], None]
    failed: Callable[[Stream, BerylpostError], None]
    retry_due: Callable[[float], None]
    leaving_named: Callable[[str], None]
    connect_failed: Callable[[str], None]


class Attempts:
    """All open attempts.

    Args:
        selector: the relay's selector.
        settings: the relay's settings.
        in_force: the slot with the configurations in force.
        queue: the admission queue, which holds the pools.
        holds: prompts that are held back.
        limits: request rates that engines name.
        recorder: records decisions.
        random_state: source of retry jitter.
        callbacks: the relay's callbacks.
        resolve: returns the address at which to connect to an engine now.
    """

    def __init__(
        self,
        *,
        selector: selectors.BaseSelector,
        settings: RelaySettings,
        in_force: Slot[Mapping[str, ConfigurationInForce]],
        queue: AdmissionQueue,
        holds: RelayHolds,
        limits: EngineLimits,
        recorder: Recorder,
        random_state: random.Random,
        callbacks: AttemptCallbacks,
        resolve: Callable[[str], str],
    ) -> None:
        self._resolve = resolve
        self.open: dict[str, Upstream] = {}
        self._selector = selector
        self._settings = settings
        self._in_force = in_force
        self._queue = queue
        self._holds = holds
        self._limits = limits
        self._recorder = recorder
        self._random = random_state
        self._callbacks = callbacks
        self._budget = Budget()

    def close(self) -> None:
        """Closes every connection."""
        for upstream in self.open.values():
            upstream.close()

    def earn_retries(self) -> None:
        """Adds a new request's share of a retry to the retry budget."""
        self._budget = earn_budget(self._budget, self._settings.retry_ratio)

    def start(self, stream: Stream, pool: Pool, now: float) -> bool:
        """Starts a stream's next attempt; False when no replica can be chosen."""
        choice = pool.choose(stream, now, self._limits.list_full(pool.replicas))
        if choice is None:
            return False
        self._limits.take(choice.replica.id)
        self._recorder.record_routing(stream.request, choice, now)
        self._queue.remove(stream)
        replica = choice.replica
        if stream.n_attempts:
            moved = replica.id != stream.preferred_backend
            n_chars = len(stream.request.prompt) + len(stream.text)
            RECOMPUTED_TOKENS.inc(n_chars // CHARS_PER_TOKEN if moved else 0)
        stream.n_attempts += 1
        stream.state = StreamState.RUNNING
        stream.backend = replica.id
        stream.preferred_backend = ""
        stream.n_earlier_tokens = stream.n_tokens
        stream.started_at = now
        stream.last_token_at = 0.0
        pool.start(stream, replica.id)
        self._queue.change_usage(stream, running=1)
        ATTEMPTS.labels("first" if stream.n_attempts == 1 else "again").inc()
        upstream = Upstream(
            address=self._resolve(replica.address),
            path=PATHS[stream.request.chat],
            body=build_body(stream),
            request_id=stream.request.id,
            now=now,
        )
        self.open[stream.request.id] = upstream
        mask = selectors.EVENT_READ | selectors.EVENT_WRITE
        self._selector.register(upstream.socket, mask, (stream, upstream))
        return True

    def handle(self, data: tuple[Stream, Upstream], mask: int) -> None:
        """Handles an engine's socket that the selector reports as ready."""
        stream, upstream = data
        if self.open.get(stream.request.id) is not upstream:
            LATE_ANSWERS.inc()
            return
        events: list[UpstreamEvent] = []
        if mask & selectors.EVENT_WRITE:
            events += upstream.on_writable()
            if not upstream.wants_write():
                self._selector.modify(upstream.socket, selectors.EVENT_READ, data)
        if mask & selectors.EVENT_READ and not events:
            events += upstream.on_readable(time.monotonic())
        for event in events:
            if self.open.get(stream.request.id) is not upstream:
                break
            self._handle_event(stream, event)
        self._callbacks.updated(stream)

    def _handle_event(self, stream: Stream, event: UpstreamEvent) -> None:
        now = time.monotonic()
        match event:
            case Token():
                self._handle_token(stream, event, now)
            case LoadReport():
                self._handle_load_report(stream, event, now)
            case Refusal():
                self._observe(stream, None, now)
                full = event.status in OVERLOAD_STATUSES
                self.fail(stream, Failure.REFUSED if full else Failure.CUT)
            case AttemptEnded():
                if not event.whole or not stream.finish_reason:
                    failure = Failure.CUT if event.sent else Failure.UNSENT
                    self.fail(stream, failure)

    def _handle_token(self, stream: Stream, token: Token, now: float) -> None:
        if not stream.first_token_at:
            stream.first_token_at = now
            FIRST_TOKEN.observe(now - stream.accepted_at)
        if not stream.last_token_at:
            self._observe(stream, now - stream.started_at, now)
        elif not token.n_tokens % GAP_SAMPLE_INTERVAL:
            TOKEN_GAP.observe(now - stream.last_token_at)
        stream.last_token_at = now
        stream.n_tokens = stream.n_earlier_tokens + token.n_tokens
        if stream.n_tokens > stream.max_tokens:
            check_invariant(
                "answer_within_max_tokens", False, request=stream.request.id
            )
        if token.text or token.finish_reason:
            stream.add(token.text)
        if token.finish_reason:
            self._callbacks.finished(stream, token.finish_reason, now)

    def _handle_load_report(
        self, stream: Stream, report: LoadReport, now: float
    ) -> None:
        pool = self._queue.find_pool(stream.request)
        if pool is not None:
            pool.report(stream.backend, report, now)
        self._limits.note_report(stream.backend, report.rate_limit)
        if report.leaving:
            self._callbacks.leaving_named(stream.backend)

    def _observe(self, stream: Stream, first_s: float | None, now: float) -> None:
        pool = self._queue.find_pool(stream.request)
        in_force = self._in_force.read().get(stream.request.deployment)
        if pool is not None and in_force is not None:
            target_s = in_force.deployment.target.first_token_ms / 1_000
            pool.observe(stream.backend, first_s, target_s, now)

    def close_attempt(self, stream: Stream, service_s: float | None = None) -> None:
        """Closes the stream's connection to an engine, if one is open."""
        upstream = self.open.pop(stream.request.id, None)
        if upstream is None:
            return
        self._selector.unregister(upstream.socket)
        upstream.close()
        self._queue.change_usage(stream, running=-1)
        pool = self._queue.find_pool(stream.request)
        if pool is not None:
            pool.end(stream.backend, service_s)

    def fail(self, stream: Stream, failure: Failure) -> None:
        """Closes a failed attempt, then queues a retry or fails the request."""
        now = time.monotonic()
        backend = stream.backend
        self.close_attempt(stream)
        if stream.n_tokens >= stream.max_tokens:
            # All tokens have arrived; only the event with the finish reason was cut.
            stream.add("")
            self._callbacks.finished(stream, "length", now)
            return
        if failure is not Failure.LEAVING:
            stream.n_failures += 1
            stream.excluded_backends.add(backend)
        if failure in (Failure.UNSENT, Failure.REFUSED):
            stream.n_not_run += 1
        if failure is Failure.UNSENT:
            self._report_unsent(stream, backend)
        if failure is Failure.CUT:
            self._note_broken(stream, backend)
        decision: Retry | GiveUp
        if self._holds.is_held(stream.request):
            decision = GiveUp(reason="a part of the prompt is held back")
        else:
            decision = self._decide_retry(stream, failure, now)
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
                self._queue.add(stream)
                self._callbacks.retry_due(stream.not_before)
            case GiveUp():
                kind = (
                    ErrorKind.ANSWER_CUT
                    if stream.n_tokens
                    else ErrorKind.NO_BACKEND
                    if failure in (Failure.UNSENT, Failure.REFUSED)
                    else ErrorKind.BACKEND_FAILED
                )
                self._callbacks.failed(stream, BerylpostError(kind, decision.reason))

    def _decide_retry(
        self, stream: Stream, failure: Failure, now: float
    ) -> Retry | GiveUp:
        return decide_retry(
            failure=failure,
            idempotent=True,
            n_attempts=stream.n_failures,
            max_attempts=self._settings.max_attempts,
            n_tokens=stream.n_tokens,
            left_s=stream.deadline - now,
            budget=self._budget,
            random_state=self._random,
        )

    def _report_unsent(self, stream: Stream, backend: str) -> None:
        pool = self._queue.find_pool(stream.request)
        replica = pool.replicas.get(backend) if pool else None
        if replica is not None:
            self._callbacks.connect_failed(replica.address)

    def _note_broken(self, stream: Stream, backend: str) -> None:
        pool = self._queue.find_pool(stream.request)
        replica = pool.replicas.get(backend) if pool else None
        # An engine that was to leave has not crashed.
        if pool is not None and replica is not None and backend not in pool.leaving:
            self._holds.note_broken(stream, backend, replica.address)

    def fail_stalled(self, now: float, streams: Mapping[str, Stream]) -> None:
        """Fails attempts that have not connected in time or have stalled."""
        for stream_id, upstream in list(self.open.items()):
            silent_s = now - upstream.last_data_at
            stream = streams[stream_id]
            if not upstream.connected and silent_s > self._settings.connect_timeout_s:
                self.fail(stream, Failure.UNSENT)
            elif silent_s > self._settings.stall_timeout_s:
                self._observe(stream, None, now)
                self.fail(stream, Failure.STALLED)
