"""The request rates that engines name in their load reports, shared by the daemons.

Owned by the relay's thread. `rate_limits` keeps the rates and this daemon's slots; the
daemons tell each other by messages.
"""

import random
import time
from collections.abc import Callable, Collection
from typing import Final

from .kernel import Slot
from .messages import Message, RateQuestion, RateReport
from .policy.membership import Table, list_active
from .rate_limits import RateLimits

FAN_OUT: Final = 8  # daemons that are told of a change at once
QUESTION_INTERVAL_S: Final = 1.0


class EngineLimits:
    """The rates that the engines of one daemon's relay name.

    Args:
        self_id: id of this daemon.
        members: the slot with the table of members.
        send: sends a message to a member.
    """

    def __init__(
        self,
        *,
        self_id: str,
        members: Slot[Table],
        send: Callable[[str, Message], None],
    ) -> None:
        self._self_id = self_id
        self._members = members
        self._send = send
        self._next_question_at = 0.0
        self._rates = RateLimits(
            name=self_id,
            read_clock=time.monotonic,
            read_wall_clock=time.time,
            list_others=self._list_others,
            on_change=self._pass_on,
        )

    @property
    def is_empty(self) -> bool:
        """Whether no engine names a rate."""
        return not self._rates.n_limited

    def note_report(self, engine: str, rate: float | None) -> None:
        """Records the rate of a load report; None if it names none."""
        self._rates.note_answer(engine, rate)

    def list_full(self, engines: Collection[str]) -> frozenset[str]:
        """Lists the engines that may be sent no request now."""
        if self.is_empty:
            return frozenset()
        return frozenset(e for e in engines if self._rates.find_wait(e) > 0)

    def take(self, engine: str) -> None:
        """Uses the next slot of an engine, if it names a rate."""
        self._rates.take(engine)

    def handle_report(self, report: RateReport) -> None:
        """Adds another daemon's statements."""
        self._rates.merge(report.statements)

    def handle_question(self, question: RateQuestion) -> None:
        """Answers with what the other daemon has missed."""
        if question.digest != self._rates.digest():
            for statements in self._rates.export():
                report = RateReport(sender=self._self_id, statements=statements)
                self._send(question.sender, report)

    def tick(self, now: float, engines: Collection[str]) -> None:
        """Asks a random daemon for what was missed and drops what has ended."""
        if now < self._next_question_at:
            return
        self._next_question_at = now + QUESTION_INTERVAL_S
        self._rates.drop_outdated(engines)
        others = self._list_others()
        if others:
            question = RateQuestion(sender=self._self_id, digest=self._rates.digest())
            self._send(random.choice(others), question)

    def _pass_on(self, engines: list[str]) -> None:
        others = self._list_others()
        targets = random.sample(others, min(FAN_OUT, len(others)))
        for statements in self._rates.export(engines):
            for target in targets:
                report = RateReport(sender=self._self_id, statements=statements)
                self._send(target, report)

    def _list_others(self) -> list[str]:
        active = list_active(self._members.read())
        return [member.id for member in active if member.id != self._self_id]
