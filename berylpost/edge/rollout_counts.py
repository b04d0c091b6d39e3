"""Counts the answers of a service's versions, while an order is undecided.

An answer is slow if it took several times what answers of the old version usually take
on the same route. Times of streams are compared with what the daemon predicted, since
a prompt that no engine has cached takes several times as long.
"""

import asyncio
from collections import Counter, defaultdict, deque
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from statistics import median
from typing import Final

import msgspec

from ..errors import BerylpostError
from ..policy.rollout import AnswerCounts, exceeds_bad_limit, sum_counts
from .backend_table import BackendRecord
from .clock import read_boottime
from .model import RouteKind
from .upstream import Failure, UpstreamError
from .work import AttemptFailed, RequestContext

# Bad versions answer several times slower; servers differ by up to 2.2, and a noisy
# neighbour makes work take 2.5 times as long.
SLOW_FACTOR: Final = 3.0
N_SAMPLES: Final = 48  # answers that say what is usual
MAX_KINDS: Final = 512  # services, versions and routes; bounds memory
MIN_OWN_SAMPLES: Final = 8  # fewer are not trusted before those of other daemons
MIN_TOLD_SAMPLES: Final = 3
# Part of a stream's first token that does not depend on the prompt.
FIRST_TOKEN_BASE_S: Final = 0.05
MIN_SLOW_S: Final = 0.05  # less is within the noise of a busy daemon
DURATION_DECAY: Final = 0.98  # with each answer, of the longest duration
# Broken connections that count for one server: a server that dies breaks all that it
# runs, which says nothing about its version.
MAX_BREAKS: Final = 3
MAX_BREAKING_SERVERS: Final = 16  # bounds a report
PACE: Final = "~"  # follows a route's name: time between two events


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """What one daemon counted since an order.

    Attributes:
        order: era and revision of the order.
        sender: name of the daemon.
        incarnation: its incarnation; the counts of earlier ones stay.
        n_reached: requests that reached the service.
        n_sent: requests sent to the new version.
        n_running: requests that run at other versions.
        drain_s: longest time that requests of the old version took lately.
        rows: good, failed and slow answers of the new version, then of the old one, by
            route.
        typical: usual figures of the old version by route.
        new_breaks: broken connections by server of the new version.
        old_breaks: the same of the old version.
    """

    service: str
    order: tuple[int, int]
    sender: str
    incarnation: int
    n_reached: int
    n_sent: int
    n_running: int
    drain_s: float
    rows: dict[str, tuple[int, int, int, int, int, int]]
    typical: dict[str, float]
    new_breaks: dict[str, int]
    old_breaks: dict[str, int]


class OrderCounts:
    """Counts of one order.

    Attributes:
        to: the ordered version.
        typical: usual figures by route, as the holder says.
    """

    def __init__(self, *, to: str, order: tuple[int, int]) -> None:
        self.to = to
        self.order = order
        self.n_reached = 0
        self.n_sent = 0
        self.n_changes = 0
        self.typical: Mapping[str, float] = {}
        self.answers: dict[tuple[bool, str], AnswerCounts] = {}
        self.breaks: dict[bool, Counter[str]] = {True: Counter(), False: Counter()}

    def add(self, is_new: bool, route: str, change: AnswerCounts) -> None:
        """Adds an answer of the new or the old version."""
        key = (is_new, route)
        self.answers[key] = self.answers.get(key, AnswerCounts()) + change
        self.n_changes += is_new

    def add_break(self, is_new: bool, server: str) -> None:
        """Adds a broken connection."""
        breaks = self.breaks[is_new]
        if server in breaks or len(breaks) < MAX_BREAKING_SERVERS:
            breaks[server] += 1
        self.n_changes += is_new

    def is_over(self) -> bool:
        """Tells whether this daemon alone has seen too many bad answers."""
        return exceeds_bad_limit(self._sum(True), self._sum(False))

    def count_bad(self) -> int:
        """Counts the bad answers of the new version."""
        return self._sum(True).n_bad

    def _sum(self, is_new: bool) -> AnswerCounts:
        answers = {key[1]: c for key, c in self.answers.items() if key[0] is is_new}
        return sum_counts(answers) + count_breaks(self.breaks[is_new])


def count_breaks(breaks: Mapping[str, int]) -> AnswerCounts:
    """Returns the failures that broken connections count for."""
    return AnswerCounts(n_failed=sum(min(MAX_BREAKS, n) for n in breaks.values()))


class RolloutCounts:
    """Measures the answers that this daemon gets, and counts them for orders."""

    def __init__(self) -> None:
        self.orders: dict[str, OrderCounts] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._longest_s: dict[tuple[str, str], float] = defaultdict(float)
        # Latest figures by service, version and route.
        self._samples: dict[tuple[str, str, str], deque[float]] = {}

    @contextmanager
    def measure(self, context: RequestContext, record: BackendRecord) -> Iterator[None]:
        """Measures one attempt and counts how it ends."""
        backend = record.backend
        key = (context.service, backend.software_version)
        counts = self.orders.get(context.service)
        is_new = counts is not None and backend.software_version == counts.to
        if counts is not None and is_new:
            counts.n_sent += 1
            counts.n_changes += 1
        self._running[key] += 1
        began_at = read_boottime()
        first_s = -1.0
        route = context.route.name

        def note_first_event() -> None:
            nonlocal first_s
            first_s = read_boottime() - began_at

        context.on_first_event = note_first_event
        outcome = ""
        try:
            yield
            outcome = "answered"
        except AttemptFailed as error:
            if error.may_have_run:
                outcome = "broken" if error.unreachable else "failed"
            raise
        except BerylpostError as error:
            outcome = _find_break(error.__cause__)
            raise
        except asyncio.CancelledError:
            outcome = "left"
            raise
        finally:
            self._running[key] -= 1
            total_s = read_boottime() - began_at
            figures = _list_figures(context, first_s, total_s)
            is_slow = self._is_slow(counts, key, route, figures)
            if outcome == "answered":
                longest_s = DURATION_DECAY * self._longest_s[key]
                self._longest_s[key] = max(longest_s, total_s)
                self._note_samples(key, figures)
            if counts is self.orders.get(context.service) and counts is not None:
                _count(counts, is_new, route, backend.id, outcome, is_slow)

    def begin_order(self, service: str, order: OrderCounts) -> None:
        """Counts for another order of a service from now on."""
        self.orders[service] = order

    def count_running(self, service: str, without: str) -> int:
        """Counts the requests that run at other versions of a service."""
        return sum(
            n
            for (name, version), n in self._running.items()
            if name == service and version != without
        )

    def export(self, service: str, sender: str, incarnation: int) -> RolloutReport:
        """Makes the report on a service's order."""
        counts = self.orders[service]
        rows = {}
        for route in {route for _, route in counts.answers}:
            new = counts.answers.get((True, route), AnswerCounts())
            old = counts.answers.get((False, route), AnswerCounts())
            rows[route] = (
                *(new.n_good, new.n_failed, new.n_slow),
                *(old.n_good, old.n_failed, old.n_slow),
            )
        longest_s = [
            longest_s
            for (name, version), longest_s in self._longest_s.items()
            if name == service and version != counts.to
        ]
        return RolloutReport(
            service=service,
            order=counts.order,
            sender=sender,
            incarnation=incarnation,
            n_reached=counts.n_reached,
            n_sent=counts.n_sent,
            n_running=self.count_running(service, counts.to),
            drain_s=round(max(longest_s, default=0.0), 2),
            rows=rows,
            typical=self._export_typical(service, counts.to),
            new_breaks=dict(counts.breaks[True]),
            old_breaks=dict(counts.breaks[False]),
        )

    def _export_typical(self, service: str, without: str) -> dict[str, float]:
        return {
            route: round(median(samples), 4)
            for (name, version, route), samples in self._samples.items()
            if name == service
            and version != without
            and len(samples) >= MIN_TOLD_SAMPLES
        }

    def _note_samples(self, key: tuple[str, str], figures: Mapping[str, float]) -> None:
        for name, figure in figures.items():
            samples = self._samples.setdefault((*key, name), deque(maxlen=N_SAMPLES))
            samples.append(figure)
        while len(self._samples) > MAX_KINDS:
            del self._samples[next(iter(self._samples))]  # of the earliest version

    def _is_slow(
        self,
        counts: OrderCounts | None,
        key: tuple[str, str],
        route: str,
        figures: Mapping[str, float],
    ) -> bool:
        """Tells whether an answer took several times what is usual."""
        if counts is None:
            return False
        for name, figure in figures.items():
            usual = self._find_usual(counts, key[0], name)
            is_noise = name == route and figure < MIN_SLOW_S
            if usual and figure > SLOW_FACTOR * usual and not is_noise:
                return True
        return False

    def _find_usual(self, counts: OrderCounts, service: str, name: str) -> float:
        """Returns the usual figure of the old version; 0 if it is not known."""
        samples: list[float] = []
        for (of_service, version, of_name), own in self._samples.items():
            if of_service == service and of_name == name and version != counts.to:
                samples += own
        if len(samples) >= MIN_OWN_SAMPLES:
            return median(samples)
        told = counts.typical.get(name, 0.0)
        return told or (median(samples) if len(samples) >= MIN_TOLD_SAMPLES else 0.0)


def _list_figures(
    context: RequestContext, first_s: float, total_s: float
) -> dict[str, float]:
    """Returns what is compared with other answers of a route, by name."""
    route = context.route.name
    if context.route.kind is not RouteKind.STREAM:
        return {route: total_s}
    began_s = first_s if first_s >= 0 else total_s
    figures = {route: began_s / (FIRST_TOKEN_BASE_S + context.predicted_wait_s)}
    n_events = context.splitter.n_events
    if first_s >= 0 and n_events > 1:
        figures[route + PACE] = (total_s - first_s) / (n_events - 1)
    return figures


def _find_break(cause: BaseException | None) -> str:
    """Returns how an attempt ended whose answer could not be completed."""
    if isinstance(cause, UpstreamError):
        return "failed" if cause.kind is Failure.BAD_ANSWER else "broken"
    return "broken" if isinstance(cause, TimeoutError) else ""


def _count(
    counts: OrderCounts,
    is_new: bool,
    route: str,
    server: str,
    outcome: str,
    is_slow: bool,
) -> None:
    """Counts the outcome of one attempt."""
    if outcome == "broken":
        counts.add_break(is_new, server)
    elif outcome == "failed":
        counts.add(is_new, route, AnswerCounts(n_failed=1))
    elif outcome and is_slow:
        counts.add(is_new, route, AnswerCounts(n_slow=1))
    elif outcome == "answered":
        counts.add(is_new, route, AnswerCounts(n_good=1))
