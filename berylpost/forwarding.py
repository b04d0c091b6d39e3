"""Forwards calls to plain services; non-idempotent calls are sent at most once.

Runs in the threads of the HTTP server. A non-idempotent call is sent only after the
shard's owner has granted it, and only by the thread that requested the grant, since
only this thread can tell that nothing was sent. `services` requests the grant and
reports the outcome for it.
"""

import hashlib
import random
import threading
import time
import uuid
from collections.abc import Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Final

import urllib3

from .backends import mark_leaving
from .errors import BerylpostError, ErrorKind, ExecutionStatus
from .event_stream import CONTENT_TYPE, ends_inside_event
from .http_pools import make_pool
from .invariants import check_invariant
from .kernel import Context, Slot
from .messages import Backend, IntentAnswer, IntentRequest, Outcome, OutcomeReport
from .metrics import ATTEMPTS
from .policy.ledger import choose_shard
from .policy.retry import Budget, Failure, GiveUp, decide_retry, earn_budget
from .policy.routing import Replica, choose_plain
from .policy.stream_end import EndedStream, find_missing_end
from .relay_holds import (
    HELD_SLOT,
    AdmitCall,
    CallAnswered,
    CallBroken,
    CallUnsent,
    make_refusal,
)
from .request_holds import TRIAL_S, Suspects, digest_request
from .server_paths import find_paths
from .services import ReportOutcome, RequestGrant
from .upstream import LOAD_HEADER, decode_load_report

HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
    }
)

HOLD_ANSWER_TIMEOUT_S: Final = 0.5  # the relay's thread answers in milliseconds
READ_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 4 << 20  # as of a buffered answer at the entry daemon


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """One call to a plain service; `path` includes the query string."""

    id: str
    deployment: str
    customer: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    deadline_s: float

    @property
    def suspects(self) -> Suspects:
        """What of the call may crash servers; its id and key do not count."""
        fields = (self.deployment, self.customer, self.service, self.method, self.path)
        return Suspects((), digest_request(*map(str.encode, fields), self.body))


class OutstandingCalls:
    """Counts this daemon's service calls in progress, per backend server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def read(self) -> Mapping[str, int]:
        """Returns the current counts."""
        with self._lock:
            return dict(self._counts)

    def add(self, backend: str, change: int) -> None:
        """Adds `change` to a backend server's count."""
        with self._lock:
            self._counts[backend] = self._counts.get(backend, 0) + change


class Forwarder:
    """Forwards calls for the threads of the HTTP server.

    Args:
        context: settings, slots and the other tasks.
        random_state: random source for the choice of servers and retry jitter.
    """

    def __init__(self, *, context: Context, random_state: random.Random) -> None:
        self._context = context
        self._settings = context.settings.ledger
        self._self_id = context.settings.daemon.id
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._random = random_state
        self._outstanding = OutstandingCalls()
        self._budget = Budget()
        self._pool = make_pool(maxsize=64, num_pools=100, retries=False)

    def call(self, call: ServiceCall, *, idempotent: bool) -> Outcome:
        """Forwards one call.

        Args:
            call: the call to forward.
            idempotent: whether the call may be sent more than once.

        Returns:
            The service's response.

        Raises:
            BerylpostError: the call was refused, failed or has an unknown outcome.
        """
        is_trial = self._check_held(call)
        try:
            if idempotent:
                return self._call_idempotent(call, is_trial)
            return self._call_non_idempotent(call)
        except BerylpostError as error:
            if is_trial and error.ran is ExecutionStatus.NOT_RUN:
                self._tell_holds(CallUnsent(request=call.suspects))
            raise

    def _check_held(self, call: ServiceCall) -> bool:
        """Refuses a call that is held back, unless it may be tried.

        Returns:
            Whether the call tries what is held.

        Raises:
            BerylpostError: `QUARANTINED`; this call has not run.
        """
        if not self._is_held(call):
            return False
        answer: Future[BerylpostError | None] = Future()
        message = AdmitCall(request=call.suspects, answer=answer)
        self._context.post("relay", message)
        try:
            refusal = answer.result(timeout=HOLD_ANSWER_TIMEOUT_S)
        except FutureTimeoutError:
            refusal = make_refusal(TRIAL_S)
        if refusal is not None:
            raise refusal
        return True

    def _is_held(self, call: ServiceCall) -> bool:
        slot = self._context.slots.get(HELD_SLOT)
        held = slot.read() if slot is not None else frozenset()
        return bool(held) and call.suspects.digest in held

    def _tell_holds(self, message: CallAnswered | CallBroken | CallUnsent) -> None:
        """Tells the relay, which keeps the records, how a call ended."""
        if "relay" in self._context.tasks:
            self._context.post("relay", message)

    # Idempotent calls.

    def _call_idempotent(self, call: ServiceCall, is_trial: bool) -> Outcome:
        deadline = time.monotonic() + call.deadline_s
        self._budget = earn_budget(
            self._budget, self._context.settings.relay.retry_ratio
        )
        failed: set[str] = set()
        for n_attempts in range(1, self._context.settings.relay.max_attempts + 1):
            replica = self._choose(call, frozenset(failed))
            left_s = deadline - time.monotonic()
            try:
                return self._send(call, replica, left_s)
            except _SendError as error:
                failed.add(replica.id)
                is_trial = is_trial and error.failure is Failure.UNSENT
                if self._is_held(call) and not is_trial:
                    raise BerylpostError(
                        ErrorKind.BACKEND_FAILED, f"{error}; the call is held back"
                    ) from error
                decision = decide_retry(
                    failure=error.failure,
                    idempotent=True,
                    n_attempts=n_attempts,
                    max_attempts=self._context.settings.relay.max_attempts,
                    n_tokens=0,
                    left_s=deadline - time.monotonic(),
                    budget=self._budget,
                    random_state=self._random,
                )
                if isinstance(decision, GiveUp):
                    ran = (
                        ExecutionStatus.NOT_RUN
                        if error.failure is Failure.UNSENT
                        else None
                    )
                    raise BerylpostError(
                        ErrorKind.BACKEND_FAILED,
                        f"{error}; {decision.reason}",
                        ran=ran,
                        retry_after_s=1,
                    ) from error
                self._budget = decision.budget
                time.sleep(decision.pause_s)
        raise BerylpostError(ErrorKind.BACKEND_FAILED, "no attempt left")

    def _choose(self, call: ServiceCall, failed: frozenset[str]) -> Replica:
        replicas = [
            Replica(id=b.id, address=b.address, name=b.name)
            for b in self._backends.read().values()
            if b.role == "service"
            and b.name == call.service
            and b.deployment == call.deployment
            and b.state == "running"
        ]
        replica = choose_plain(
            replicas,
            own=self._outstanding.read(),
            excluded=failed if len(failed) < len(replicas) else frozenset(),
            random_state=self._random,
        )
        if replica is None:
            raise BerylpostError(
                ErrorKind.NO_BACKEND,
                f"no replica of service {call.service!r}",
                retry_after_s=1,
            )
        return replica

    def _send(self, call: ServiceCall, replica: Replica, left_s: float) -> Outcome:
        ATTEMPTS.labels("service").inc()
        self._outstanding.add(replica.id, 1)
        timeout_s = max(0.01, min(left_s, self._settings.call_timeout_s))
        sent_at = time.monotonic()
        try:
            response = self._request(call, replica.address, timeout_s)
            body = _read_body(response, time.monotonic() + timeout_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _SendError(Failure.UNSENT, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            backend = self._backends.read().get(replica.id)
            # A server that was to leave has not crashed.
            if backend is not None and backend.state == "running":
                self._tell_holds(
                    CallBroken(
                        backend=replica.id,
                        address=replica.address,
                        sent_at=sent_at,
                        request=call.suspects,
                    )
                )
            raise _SendError(Failure.CUT, str(error)) from error
        finally:
            self._outstanding.add(replica.id, -1)
        self._note_leaving(response, replica)
        missing = _find_missing_end(response, body)
        if missing:
            raise _SendError(Failure.CUT, missing)
        if response.status < 500:
            self._tell_holds(CallAnswered(request=call.suspects))
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return Outcome(status=response.status, headers=headers, body=body)

    def _request(
        self, call: ServiceCall, address: str, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        """Sends a call; by way of another daemon if the link to the server is cut.

        Raises:
            urllib3.exceptions.HTTPError: there is no response.
        """
        paths = find_paths(self._context)
        route = address if paths is None else paths.resolve(address)
        try:
            return self._request_at(call, route, timeout_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            other = route if paths is None else paths.find_route(address)
            if other == route:
                raise
            return self._request_at(call, other, timeout_s)

    def _request_at(
        self, call: ServiceCall, address: str, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            call.method,
            f"http://{address}{call.path}",
            body=call.body or None,
            headers=dict(call.headers),
            redirect=False,
            preload_content=False,
            timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s),
        )

    def _note_leaving(
        self, response: urllib3.BaseHTTPResponse, replica: Replica
    ) -> None:
        """Tells all daemons of a server that says in its answer that it leaves."""
        value = response.headers.get(LOAD_HEADER.decode(), "")
        report = decode_load_report(value.encode("latin-1")) if value else None
        if report is None or not report.leaving:
            return
        message = mark_leaving(self._backends.read(), replica.id)
        if message is not None:
            self._context.post("backends", message)

    # Non-idempotent calls.

    def _call_non_idempotent(self, call: ServiceCall) -> Outcome:
        deadline = time.monotonic() + call.deadline_s
        intent = self._make_intent(call)
        self._choose(call, frozenset())  # refuse early if no server is available
        answer = self._request_grant(
            intent, min(call.deadline_s, self._find_grant_timeout_s())
        )
        if answer.verdict == "known":
            return self._replay_outcome(answer)
        if answer.verdict == "refused":
            kind = answer.kind or ErrorKind.INTERNAL
            raise BerylpostError(kind, f"key {call.key!r}", ran=answer.ran)
        check_invariant("sent_only_when_granted", answer.verdict == "granted")
        return self._send_granted(call, intent, deadline)

    def _make_intent(self, call: ServiceCall) -> IntentRequest:
        key = f"{call.deployment}/{call.customer}/{call.service}/{call.key}"
        content = f"{call.method} {call.path}\n".encode() + call.body
        return IntentRequest(
            sender=self._self_id,
            request=f"{self._context.process_id}.{uuid.uuid4().hex}",
            shard=choose_shard(key, self._settings.n_shards),
            key=key,
            digest=hashlib.sha256(content).hexdigest()[:32],
            issued_at=read_key_time(call.key),
        )

    def _find_grant_timeout_s(self) -> float:
        # A repeated key waits for the outcome of the first call, a new key for its
        # grant.
        return self._settings.intent_timeout_s + self._settings.call_timeout_s

    def _request_grant(self, intent: IntentRequest, wait_s: float) -> IntentAnswer:
        future: Future[IntentAnswer] = Future()
        self._context.post("services", RequestGrant(intent=intent, answer=future))
        try:
            return future.result(timeout=wait_s)
        except FutureTimeoutError:
            pass
        if not future.cancel():
            return future.result()  # the answer came between the time-out and cancel()
        self._report_outcome(intent, None)
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE,
            "the ledger did not grant the call in time",
            retry_after_s=2,
        )

    def _report_outcome(self, intent: IntentRequest, outcome: Outcome | None) -> None:
        report = OutcomeReport(
            sender=self._self_id,
            request=intent.request,
            shard=intent.shard,
            key=intent.key,
            unsent=outcome is None,
            outcome=self._drop_large_body(outcome) if outcome else None,
        )
        self._context.post("services", ReportOutcome(report=report))

    def _drop_large_body(self, outcome: Outcome) -> Outcome:
        """Drops a body that is too large for the journal, but keeps the status."""
        if len(outcome.body) <= self._settings.max_answer_bytes:
            return outcome
        return Outcome(status=outcome.status, headers=(), body=b"", kept=False)

    def _replay_outcome(self, answer: IntentAnswer) -> Outcome:
        outcome = answer.outcome
        if outcome is None:
            raise BerylpostError(ErrorKind.OUTCOME_UNKNOWN, "no outcome is kept")
        if not outcome.kept:
            raise BerylpostError(
                ErrorKind.EXPIRED,
                f"it ran with status {outcome.status}; its answer was too large",
                fields={"status_then": outcome.status},
            )
        replayed = (*outcome.headers, ("Idempotency-Replayed", "true"))
        return Outcome(status=outcome.status, headers=replayed, body=outcome.body)

    def _send_granted(
        self, call: ServiceCall, intent: IntentRequest, deadline: float
    ) -> Outcome:
        """Sends a call once; tries another server only if nothing at all was sent."""
        failed: set[str] = set()
        while True:
            try:
                replica = self._choose(call, frozenset(failed))
            except BerylpostError:
                self._report_outcome(intent, None)
                raise
            left_s = deadline - time.monotonic()
            if replica.id in failed or left_s <= 0:
                self._report_outcome(intent, None)
                raise BerylpostError(
                    ErrorKind.NO_BACKEND, "no server could be reached", retry_after_s=1
                )
            try:
                outcome = self._send(call, replica, left_s)
            except _SendError as error:
                failed.add(replica.id)
                if error.failure is Failure.UNSENT:
                    continue
                # The call may have run. The grant stays in place, so that repeats
                # learn that the outcome is unknown.
                raise BerylpostError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error
            self._report_outcome(intent, outcome)
            return outcome


class _SendError(Exception):
    """A call without a response."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure


def _read_body(response: urllib3.BaseHTTPResponse, ends_at: float) -> bytes:
    """Reads the whole body of a response and returns its connection to the pool.

    Raises:
        _SendError: the body is too large, or goes on after its time.
        urllib3.exceptions.HTTPError: the response broke off.
    """
    pieces = []
    n_bytes = 0
    for data in response.stream(READ_BYTES):
        pieces.append(data)
        n_bytes += len(data)
        if n_bytes > MAX_BODY_BYTES or time.monotonic() > ends_at:
            response.close()
            raise _SendError(Failure.CUT, "the body of the answer has no end")
    response.release_conn()
    return b"".join(pieces)


def _find_missing_end(response: urllib3.BaseHTTPResponse, body: bytes) -> str:
    """Returns why a response with a stream is not complete; empty if it is."""
    headers = response.headers
    if CONTENT_TYPE not in headers.get("content-type", "").lower():
        return ""
    return find_missing_end(
        EndedStream(
            framed="content-length" in headers or "transfer-encoding" in headers,
            inside_event=ends_inside_event(body),
            has_events=bool(body),
            may_be_stopped=False,
        )
    )


def read_key_time(key: str) -> float | None:
    """Reads the creation time of a key that is a UUID of version 7 (RFC 9562).

    Returns:
        Wall clock time in seconds, or None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1_000
