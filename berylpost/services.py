"""The client side of the ledger: sends requests and reports to shard owners.

The threads that forward calls, see `forwarding`, request grants from this task and
report the outcomes of calls to it. The task repeats each message until the shard's
current owner, which may change meanwhile, has answered it.
"""

import logging
import time
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass
from typing import Any, Final

from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .messages import (
    DeferAnswer,
    DeferRequest,
    IntentAnswer,
    IntentRequest,
    OutcomeAnswer,
    OutcomeReport,
)
from .metrics import LATE_ANSWERS
from .peers import BackendsReceived, Send
from .policy.ledger import choose_owner
from .policy.membership import Table

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.1
ASK_INTERVAL_S: Final = 0.4
MOVED_RETRY_S: Final = 0.05
REPORT_INTERVAL_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 120.0
ABANDONED_RETENTION_S: Final = 600.0


@dataclass(slots=True, kw_only=True)
class _PendingGrant:
    """A grant request that is not answered yet."""

    intent: IntentRequest
    answer: "Future[IntentAnswer]"
    next_send_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class _PendingReport:
    """An outcome report that no owner has acknowledged yet."""

    report: OutcomeReport
    expires_at: float
    next_send_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestGrant:
    """Asks for a grant to send a call; sent by the thread that forwards the call."""

    intent: IntentRequest
    answer: "Future[IntentAnswer]"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreDeferred:
    """Has the shard's owner store a deferred request; sent by the request's thread."""

    request: DeferRequest
    answer: "Future[DeferAnswer]"


@dataclass(slots=True, kw_only=True)
class _PendingDeferral:
    """A deferred request that no owner has answered yet."""

    request: DeferRequest
    answer: "Future[DeferAnswer]"
    next_send_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportOutcome:
    """Reports the outcome of a call; sent by the thread that forwarded the call."""

    report: OutcomeReport


class ServicesTask(MailboxTask):
    """Requests grants from shard owners and reports outcomes to them."""

    def __init__(self, *, context: Context) -> None:
        super().__init__(name="services", handle=self._handle_message, tick=self._tick)
        self._context = context
        self._members: Slot[Table] = context.slots["members"]
        self._pending_grants: dict[str, _PendingGrant] = {}
        self._pending_reports: dict[str, _PendingReport] = {}
        self._pending_deferrals: dict[str, _PendingDeferral] = {}
        self._abandoned: dict[str, tuple[float, OutcomeReport]] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestGrant: self._request_grant,
            ReportOutcome: self._report_outcome,
            StoreDeferred: self._store_deferred,
            DeferAnswer: self._handle_defer_answer,
            IntentAnswer: self._handle_intent_answer,
            OutcomeAnswer: self._handle_outcome_answer,
            BackendsReceived: lambda m: None,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    def _request_grant(self, message: RequestGrant) -> None:
        pending = _PendingGrant(intent=message.intent, answer=message.answer)
        self._pending_grants[message.intent.request] = pending
        self._send_intent(pending, time.monotonic())

    def _send_intent(self, pending: _PendingGrant, now: float) -> None:
        pending.next_send_at = now + ASK_INTERVAL_S
        self._send_to_owner(pending.intent.shard, pending.intent)

    def _store_deferred(self, message: StoreDeferred) -> None:
        pending = _PendingDeferral(request=message.request, answer=message.answer)
        self._pending_deferrals[message.request.held.id] = pending

    def _handle_defer_answer(self, answer: DeferAnswer) -> None:
        pending = self._pending_deferrals.pop(answer.request, None)
        if pending is not None and not pending.answer.cancelled():
            pending.answer.set_result(answer)

    def _send_to_owner(
        self, shard: int, message: IntentRequest | OutcomeReport | DeferRequest
    ) -> None:
        entries = self._members.read().entries.values()
        states = ("alive", "suspect")
        ids = [e.member.id for e in entries if e.member.state in states]
        owner = choose_owner(shard, ids)
        if owner:
            self._context.post("peers", Send(to=owner, message=message))

    def _handle_intent_answer(self, answer: IntentAnswer) -> None:
        pending = self._pending_grants.get(answer.request)
        if pending is None:
            self._handle_late_answer(answer)
            return
        if answer.verdict == "pending":
            pending.next_send_at = time.monotonic() + 5 * ASK_INTERVAL_S
            return
        if answer.verdict == "moved":
            pending.next_send_at = time.monotonic() + MOVED_RETRY_S
            return
        del self._pending_grants[answer.request]
        try:
            pending.answer.set_result(answer)
        except InvalidStateError:
            # The thread has just timed out; the call was not and will not be sent.
            LATE_ANSWERS.inc()

    def _handle_late_answer(self, answer: IntentAnswer) -> None:
        LATE_ANSWERS.inc()
        abandoned = self._abandoned.get(answer.request)
        if answer.verdict == "granted" and abandoned is not None:
            self._report_outcome(ReportOutcome(report=abandoned[1]))

    def _handle_outcome_answer(self, answer: OutcomeAnswer) -> None:
        self._pending_reports.pop(answer.request, None)

    def _report_outcome(self, message: ReportOutcome) -> None:
        report = message.report
        now = time.monotonic()
        self._pending_grants.pop(report.request, None)
        if report.unsent:
            self._abandoned[report.request] = (now, report)
        self._pending_reports[report.request] = _PendingReport(
            report=report, expires_at=now + REPORT_TIMEOUT_S
        )

    def _tick(self) -> float:
        now = time.monotonic()
        for grant in list(self._pending_grants.values()):
            if grant.answer.cancelled():
                del self._pending_grants[grant.intent.request]
            elif now >= grant.next_send_at:
                self._send_intent(grant, now)
        for request, deferral in list(self._pending_deferrals.items()):
            if deferral.answer.cancelled():
                del self._pending_deferrals[request]
            elif now >= deferral.next_send_at:
                deferral.next_send_at = now + ASK_INTERVAL_S
                self._send_to_owner(deferral.request.shard, deferral.request)
        for request, pending in list(self._pending_reports.items()):
            if now >= pending.expires_at:
                del self._pending_reports[request]
            elif now >= pending.next_send_at:
                pending.next_send_at = now + REPORT_INTERVAL_S
                self._send_to_owner(pending.report.shard, pending.report)
        for request, (since, _) in list(self._abandoned.items()):
            if now - since < ABANDONED_RETENTION_S:
                break
            del self._abandoned[request]
        return TICK_S


def _build(context: Context) -> ServicesTask:
    return ServicesTask(context=context)


register_plugin(
    Plugin(name="services", requires=("peers", "backends", "paths"), build=_build)
)
