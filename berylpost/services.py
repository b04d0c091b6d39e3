"""Calls to plain services: forwarded, and those that must not repeat sent once.

The entry side of the ledger. A call that may not be repeated is sent only after
the shard's owner granted it, by the one thread that asked, which alone can say
that nothing was sent. What became of it is reported until an owner has it.
"""

import hashlib
import logging
import random
import threading
import time
import uuid
from collections.abc import Callable, Mapping
from concurrent.futures import Future, InvalidStateError
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Any, Final

import urllib3

from .errors import BerylpostError, ErrorKind, Ran
from .invariants import check_invariant
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .messages import (
    Backend,
    DeferAnswer,
    DeferRequest,
    IntentAnswer,
    IntentRequest,
    Outcome,
    OutcomeAnswer,
    OutcomeReport,
)
from .metrics import ATTEMPTS, LATE_ANSWERS
from .peers import BackendsHeard, Send
from .policy.ledger import choose_owner, choose_shard
from .policy.membership import Table
from .policy.retry import Budget, Failure, GiveUp, decide_retry, earn_budget
from .policy.routing import Replica, choose_plain

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.1
ASK_AGAIN_S: Final = 0.4
MOVED_PAUSE_S: Final = 0.05
REPORT_AGAIN_S: Final = 1.0
REPORT_FOR_S: Final = 120.0
REMEMBER_S: Final = 600.0
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


@dataclass(slots=True, kw_only=True)
class _Asked:
    """A request for a grant that is not yet answered."""

    intent: IntentRequest
    answer: "Future[IntentAnswer]"
    ask_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Reported:
    """A report that no owner has acknowledged yet."""

    report: OutcomeReport
    until: float
    send_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """From a request's thread: get me the right to send."""

    intent: IntentRequest
    answer: "Future[IntentAnswer]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Defer:
    """From a request's thread: get this request kept; the result is the answer."""

    request: DeferRequest
    answer: "Future[DeferAnswer]"


@dataclass(slots=True, kw_only=True)
class _Deferred:
    """A request that no owner has accepted yet."""

    request: DeferRequest
    answer: "Future[DeferAnswer]"
    ask_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """From a request's thread: this became of it."""

    report: OutcomeReport


class ServicesTask(MailboxTask):
    """Asks owners for grants and reports to them; see the module's docstring."""

    def __init__(self, *, context: Context) -> None:
        super().__init__(name="services", handle=self._handle_message, tick=self._tick)
        self._context = context
        self._members: Slot[Table] = context.slots["members"]
        self._asked: dict[str, _Asked] = {}
        self._reports: dict[str, _Reported] = {}
        self._deferred: dict[str, _Deferred] = {}
        self._given_up: dict[str, tuple[float, OutcomeReport]] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            Ask: self._ask,
            Report: self._report,
            Defer: self._defer,
            DeferAnswer: self._take_deferred,
            IntentAnswer: self._take_answer,
            OutcomeAnswer: self._take_acknowledgement,
            BackendsHeard: lambda m: None,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    def _ask(self, message: Ask) -> None:
        asked = _Asked(intent=message.intent, answer=message.answer)
        self._asked[message.intent.request] = asked
        self._send_intent(asked, time.monotonic())

    def _send_intent(self, asked: _Asked, now: float) -> None:
        asked.ask_at = now + ASK_AGAIN_S
        self._send_to_owner(asked.intent.shard, asked.intent)

    def _defer(self, message: Defer) -> None:
        deferred = _Deferred(request=message.request, answer=message.answer)
        self._deferred[message.request.held.id] = deferred

    def _take_deferred(self, answer: DeferAnswer) -> None:
        deferred = self._deferred.pop(answer.request, None)
        if deferred is not None and not deferred.answer.cancelled():
            deferred.answer.set_result(answer)

    def _send_to_owner(
        self, shard: int, message: IntentRequest | OutcomeReport | DeferRequest
    ) -> None:
        entries = self._members.read().entries.values()
        states = ("alive", "suspect")
        ids = [e.member.id for e in entries if e.member.state in states]
        owner = choose_owner(shard, ids)
        if owner:
            self._context.post("peers", Send(to=owner, message=message))

    def _take_answer(self, answer: IntentAnswer) -> None:
        asked = self._asked.get(answer.request)
        if asked is None:
            self._take_late_answer(answer)
            return
        if answer.verdict == "pending":
            asked.ask_at = time.monotonic() + 5 * ASK_AGAIN_S
            return
        if answer.verdict == "moved":
            asked.ask_at = time.monotonic() + MOVED_PAUSE_S
            return
        del self._asked[answer.request]
        try:
            asked.answer.set_result(answer)
        except InvalidStateError:
            # The thread gave up a moment ago; nothing was or will be sent.
            LATE_ANSWERS.inc()

    def _take_late_answer(self, answer: IntentAnswer) -> None:
        LATE_ANSWERS.inc()
        given_up = self._given_up.get(answer.request)
        if answer.verdict == "granted" and given_up is not None:
            self._report(Report(report=given_up[1]))

    def _take_acknowledgement(self, answer: OutcomeAnswer) -> None:
        self._reports.pop(answer.request, None)

    def _report(self, message: Report) -> None:
        report = message.report
        now = time.monotonic()
        self._asked.pop(report.request, None)
        if report.unsent:
            self._given_up[report.request] = (now, report)
        self._reports[report.request] = _Reported(
            report=report, until=now + REPORT_FOR_S
        )

    def _tick(self) -> float:
        now = time.monotonic()
        for asked in list(self._asked.values()):
            if asked.answer.cancelled():
                del self._asked[asked.intent.request]
            elif now >= asked.ask_at:
                self._send_intent(asked, now)
        for request, deferred in list(self._deferred.items()):
            if deferred.answer.cancelled():
                del self._deferred[request]
            elif now >= deferred.ask_at:
                deferred.ask_at = now + ASK_AGAIN_S
                self._send_to_owner(deferred.request.shard, deferred.request)
        for request, reported in list(self._reports.items()):
            if now >= reported.until:
                del self._reports[request]
            elif now >= reported.send_at:
                reported.send_at = now + REPORT_AGAIN_S
                self._send_to_owner(reported.report.shard, reported.report)
        for request, (since, _) in list(self._given_up.items()):
            if now - since < REMEMBER_S:
                break
            del self._given_up[request]
        return TICK_S


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


class Caller:
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
                    ran = Ran.NOT_RUN if error.failure is Failure.UNSENT else None
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


def _build(context: Context) -> ServicesTask:
    return ServicesTask(context=context)


register_plugin(Plugin(name="services", requires=("peers", "backends"), build=_build))
