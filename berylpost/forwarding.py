"""Calls to plain services: forwarded, and those that must not repeat sent once.

Runs in the threads of the HTTP server. A call that may not be repeated is sent only
after the shard's owner granted it, by the one thread that asked, which alone can
say that nothing was sent; `services` asks and reports for it.
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

from .errors import BerylpostError, ErrorKind, ExecutionStatus
from .invariants import check_invariant
from .kernel import Context, Slot
from .messages import Backend, IntentAnswer, IntentRequest, Outcome, OutcomeReport
from .metrics import ATTEMPTS
from .policy.ledger import choose_shard
from .policy.retry import Budget, Failure, GiveUp, decide_retry, earn_budget
from .policy.routing import Replica, choose_plain
from .services import Ask, Report

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


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """One call to a plain service; `path` includes the query."""

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


class Outstanding:
    """Counts this daemon's plain calls in progress by backend server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}

    def read(self) -> Mapping[str, int]:
        """Returns the counts now."""
        with self._lock:
            return dict(self._counts)

    def add(self, backend: str, change: int) -> None:
        """Changes one count."""
        with self._lock:
            self._counts[backend] = self._counts.get(backend, 0) + change


class Forwarder:
    """Forwards calls for the threads of the HTTP server.

    Args:
        context: settings, board and the other tasks.
        random_state: for the choice of servers and jitter.
    """

    def __init__(self, *, context: Context, random_state: random.Random) -> None:
        self._context = context
        self._settings = context.settings.ledger
        self._self_id = context.settings.daemon.id
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._random = random_state
        self._outstanding = Outstanding()
        self._budget = Budget()
        self._pool = urllib3.PoolManager(maxsize=64, num_pools=100, retries=False)

    def call(self, call: ServiceCall, *, idempotent: bool) -> Outcome:
        """Forwards one call.

        Args:
            call: what to send.
            idempotent: whether it may be sent more than once.

        Returns:
            The service's answer.

        Raises:
            BerylpostError: refused, failed or of unknown outcome.
        """
        if idempotent:
            return self._call_freely(call)
        return self._call_once(call)

    # Idempotent calls.

    def _call_freely(self, call: ServiceCall) -> Outcome:
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
        try:
            response = self._pool.request(
                call.method,
                f"http://{replica.address}{call.path}",
                body=call.body or None,
                headers=dict(call.headers),
                redirect=False,
                timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _SendError(Failure.UNSENT, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _SendError(Failure.CUT, str(error)) from error
        finally:
            self._outstanding.add(replica.id, -1)
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return Outcome(status=response.status, headers=headers, body=response.data)

    # Calls that must not repeat.

    def _call_once(self, call: ServiceCall) -> Outcome:
        deadline = time.monotonic() + call.deadline_s
        intent = self._make_intent(call)
        self._choose(call, frozenset())  # refuse early when nobody could take it
        answer = self._ask(intent, min(call.deadline_s, self._wait_s()))
        if answer.verdict == "known":
            return self._repeat_outcome(answer)
        if answer.verdict == "refused":
            kind = answer.kind or ErrorKind.INTERNAL
            raise BerylpostError(kind, f"key {call.key!r}", ran=answer.ran)
        check_invariant("sent_only_when_granted", answer.verdict == "granted")
        return self._send_granted(call, intent, deadline)

    def _make_intent(self, call: ServiceCall) -> IntentRequest:
        key = f"{call.deployment}/{call.customer}/{call.service}/{call.key}"
        text = f"{call.method} {call.path}\n".encode() + call.body
        return IntentRequest(
            sender=self._self_id,
            request=f"{self._context.process_id}.{uuid.uuid4().hex}",
            shard=choose_shard(key, self._settings.n_shards),
            key=key,
            digest=hashlib.sha256(text).hexdigest()[:32],
            issued_at=read_key_time(call.key),
        )

    def _wait_s(self) -> float:
        # A repeat waits for the first try's outcome, a new key for its grant.
        return self._settings.intent_timeout_s + self._settings.call_timeout_s

    def _ask(self, intent: IntentRequest, wait_s: float) -> IntentAnswer:
        future: Future[IntentAnswer] = Future()
        self._context.post("services", Ask(intent=intent, answer=future))
        try:
            return future.result(timeout=wait_s)
        except FutureTimeoutError:
            pass
        if not future.cancel():
            return future.result()  # it came in the last moment
        self._report(intent, None)
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE,
            "the ledger did not grant the call in time",
            retry_after_s=2,
        )

    def _report(self, intent: IntentRequest, outcome: Outcome | None) -> None:
        report = OutcomeReport(
            sender=self._self_id,
            request=intent.request,
            shard=intent.shard,
            key=intent.key,
            unsent=outcome is None,
            outcome=self._shorten(outcome) if outcome else None,
        )
        self._context.post("services", Report(report=report))

    def _shorten(self, outcome: Outcome) -> Outcome:
        """Drops a body that is too large for the journal; its status is kept."""
        if len(outcome.body) <= self._settings.max_answer_bytes:
            return outcome
        return Outcome(status=outcome.status, headers=(), body=b"", kept=False)

    def _repeat_outcome(self, answer: IntentAnswer) -> Outcome:
        outcome = answer.outcome
        if outcome is None:
            raise BerylpostError(ErrorKind.OUTCOME_UNKNOWN, "no outcome is kept")
        if not outcome.kept:
            raise BerylpostError(
                ErrorKind.EXPIRED,
                f"it ran with status {outcome.status}; its answer was too large",
                fields={"status_then": outcome.status},
            )
        repeated = (*outcome.headers, ("Idempotency-Replayed", "true"))
        return Outcome(status=outcome.status, headers=repeated, body=outcome.body)

    def _send_granted(
        self, call: ServiceCall, intent: IntentRequest, deadline: float
    ) -> Outcome:
        """Sends once; another server only if nothing at all was sent to the first."""
        failed: set[str] = set()
        while True:
            try:
                replica = self._choose(call, frozenset(failed))
            except BerylpostError:
                self._report(intent, None)
                raise
            left_s = deadline - time.monotonic()
            if replica.id in failed or left_s <= 0:
                self._report(intent, None)
                raise BerylpostError(
                    ErrorKind.NO_BACKEND, "no server could be reached", retry_after_s=1
                )
            try:
                outcome = self._send(call, replica, left_s)
            except _SendError as error:
                failed.add(replica.id)
                if error.failure is Failure.UNSENT:
                    continue
                # It may have run. The grant stays; repeats learn that much.
                raise BerylpostError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error
            self._report(intent, outcome)
            return outcome


class _SendError(Exception):
    """A call that brought no answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure


def read_key_time(key: str) -> float | None:
    """Reads when a key was made, if it is a UUID of version 7 (RFC 9562).

    Returns:
        Wall clock in seconds, or None when the key does not tell.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1_000
