"""Adds up what all daemons counted of one order."""

from collections import deque
from collections.abc import Iterable
from statistics import median
from typing import Final

from ..policy.rollout import NO_ROUTE, AnswerCounts, RolloutView
from .clock import read_boottime
from .model import Backend
from .rollout_counts import RolloutReport, count_breaks
from .rollout_records import KnownRollout

RATE_SPAN_S: Final = 4.0  # two reports of each daemon
# Daemons that have not reported for longer run nothing more, as far as can be known.
RUNNING_TTL_S: Final = 5.0


class RolloutTally:
    """The last report of each daemon on one order."""

    def __init__(self) -> None:
        # Counts of ended incarnations stay.
        self._reports: dict[tuple[str, int], tuple[float, RolloutReport]] = {}
        self._reached: deque[tuple[float, int]] = deque()

    @property
    def n_reports(self) -> int:
        """Number of daemons that reported."""
        return len(self._reports)

    def note_report(self, report: RolloutReport) -> None:
        """Records the counts of a daemon; datagrams may arrive in another order."""
        key = (report.sender, report.incarnation)
        known = self._reports.get(key)
        if known is None or report.n_reached >= known[1].n_reached:
            self._reports[key] = (read_boottime(), report)

    def find_typical(self) -> dict[str, float]:
        """Returns the medians of what the daemons find usual."""
        figures: dict[str, list[float]] = {}
        for _, report in self._reports.values():
            for route, figure in report.typical.items():
                figures.setdefault(route, []).append(figure)
        return {route: round(median(found), 4) for route, found in figures.items()}

    def make_view(
        self, rollout: KnownRollout, backends: Iterable[Backend]
    ) -> RolloutView:
        """Makes the input of the decision.

        Args:
            rollout: the order.
            backends: all registered servers.
        """
        now = read_boottime()
        record = rollout.record
        reports = [report for _, report in self._reports.values()]
        n_reached = sum(report.n_reached for report in reports)
        self._reached.append((now, n_reached))
        while now - self._reached[0][0] > RATE_SPAN_S:
            self._reached.popleft()
        since, n_before = self._reached[0]
        versions = [b.software_version for b in backends if b.service == record.service]
        n_new = versions.count(record.to)
        return RolloutView(
            elapsed_s=rollout.elapsed_s,
            duration_s=record.duration_s,
            is_stable=record.is_stable,
            n_new_servers=n_new,
            n_old_servers=len(versions) - n_new,
            n_reached=n_reached,
            rate=(n_reached - n_before) / max(1.0, now - since),
            n_sent=sum(report.n_sent for report in reports),
            n_running_old=sum(
                report.n_running
                for at, report in self._reports.values()
                if now - at < RUNNING_TTL_S
            ),
            drain_s=max((report.drain_s for report in reports), default=0.0),
            new=_add_rows(reports, is_new=True),
            old=_add_rows(reports, is_new=False),
        )


def _add_rows(
    reports: Iterable[RolloutReport], *, is_new: bool
) -> dict[str, AnswerCounts]:
    """Adds up the answers of one version by route."""
    counts: dict[str, AnswerCounts] = {}
    breaks: dict[str, int] = {}
    for report in reports:
        for route, row in report.rows.items():
            n_good, n_failed, n_slow = row[:3] if is_new else row[3:]
            counts[route] = counts.get(route, AnswerCounts()) + AnswerCounts(
                n_good=n_good, n_failed=n_failed, n_slow=n_slow
            )
        own = report.new_breaks if is_new else report.old_breaks
        for server, n in own.items():
            breaks[server] = breaks.get(server, 0) + n
    counts[NO_ROUTE] = count_breaks(breaks)
    return counts
