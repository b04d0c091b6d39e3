"""Counts of started requests, by report window and customer.

Each daemon counts its own requests and keeps the counts that the others send by gossip,
so that the daemon that holds the reporting duty can sum all of them, including those of
daemons that have died since.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

KEPT_WINDOWS: Final = 4  # a report is due two windows after its window ends


class Usage:
    """Request counts of the last windows, over all daemons.

    Args:
        window_s: length of a window.
        read_wall_clock: returns the median time of day of the daemons, Unix seconds.
    """

    def __init__(
        self, *, window_s: float, read_wall_clock: Callable[[], float]
    ) -> None:
        self._window_s = window_s
        self._read_wall_clock = read_wall_clock
        self._own: dict[int, dict[str, int]] = {}
        self._others: dict[tuple[str, int], dict[int, dict[str, int]]] = {}
        self._pruned_at = 0  # newest window when old ones were last dropped

    def read_window(self) -> float:
        """Returns the current window's number plus its elapsed fraction."""
        return self._read_wall_clock() / self._window_s

    def count(self, customer: str) -> None:
        """Counts a request that starts now."""
        window = int(self.read_window())
        counts = self._own.get(window)
        if counts is None:
            counts = self._own[window] = {}
            for old in [w for w in self._own if w <= window - KEPT_WINDOWS]:
                del self._own[old]
        counts[customer] = counts.get(customer, 0) + 1

    def export_counts(self, *, whole: bool) -> dict[int, dict[str, int]]:
        """Returns this daemon's counts for gossip: all, or the last two windows."""
        if whole:
            return self._own
        previous = int(self.read_window()) - 1
        return {window: c for window, c in self._own.items() if window >= previous}

    def import_counts(
        self, member: str, incarnation: int, counts: Mapping[Any, Mapping[str, int]]
    ) -> None:
        """Records another daemon's counts; keeps those of earlier incarnations."""
        if not counts:
            return
        kept = self._others.setdefault((member, incarnation), {})
        for window, by_customer in counts.items():
            kept[int(window)] = dict(by_customer)
        newest = int(self.read_window())
        if newest != self._pruned_at:
            self._pruned_at = newest
            self._drop_old(newest)

    def _drop_old(self, newest: int) -> None:
        """Drops windows that were reported long ago, and daemons without any."""
        for windows in self._others.values():
            for old in [w for w in windows if w <= newest - 2 * KEPT_WINDOWS]:
                del windows[old]
        for key in [k for k, windows in self._others.items() if not windows]:
            del self._others[key]

    def export_all(self, name: str, incarnation: int) -> list[Any]:
        """Returns the known counts of all daemons, to be saved in the store."""
        all_counts = {**self._others, (name, incarnation): self._own}
        return [
            [
                member,
                member_incarnation,
                {str(w): counts for w, counts in windows.items()},
            ]
            for (member, member_incarnation), windows in all_counts.items()
            if windows
        ]

    def import_all(self, saved: Iterable[Any], name: str, incarnation: int) -> None:
        """Merges the counts that an earlier holder saved, lost daemons' included."""
        for member, member_incarnation, windows in saved:
            if (member, member_incarnation) == (name, incarnation):
                continue
            kept = self._others.setdefault((member, member_incarnation), {})
            for window, counts in windows.items():
                known = kept.setdefault(int(window), {})
                for customer, n_requests in counts.items():
                    known[customer] = max(known.get(customer, 0), n_requests)

    def total(self, window: int) -> dict[str, int]:
        """Sums a window over all daemons."""
        sums = dict(self._own.get(window, {}))
        for windows in self._others.values():
            for customer, n_requests in windows.get(window, {}).items():
                sums[customer] = sums.get(customer, 0) + n_requests
        return sums
