"""The entry side of the ledger: asks shards' owners and reports to them.

The threads that forward calls, see `forwarding`, ask this task for the right to
send and tell it what became of a call; it asks and reports again until the owner
of the moment has answered, whoever that is by then.
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
ASK_AGAIN_S: Final = 0.4
MOVED_PAUSE_S: Final = 0.05
REPORT_AGAIN_S: Final = 1.0
REPORT_FOR_S: Final = 120.0
REMEMBER_S: Final = 600.0


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
            BackendsReceived: lambda m: None,
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


def _build(context: Context) -> ServicesTask:
    return ServicesTask(context=context)


register_plugin(Plugin(name="services", requires=("peers", "backends"), build=_build))
