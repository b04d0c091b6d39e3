"""Measures the work that callers' requests cause, by service, to size the fleet.

Work is measured in server-seconds per second; for model engines it is the predicted
prefill time of prompts. Each daemon measures its own rates and reports them by gossip;
the sum is over all daemons.
"""

import math
from collections.abc import Mapping
from typing import Final

from .clock import read_boottime

# Time constant of the moving average; a server boots in about this time.
TIME_CONSTANT_S: Final = 4.0
# Lifetime of a report; by then the load of a dead daemon has moved to the others.
REPORT_TTL_S: Final = 3.0


class WorkMeter:
    """Exponentially weighted moving averages of the work rates."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._reports: dict[str, tuple[float, Mapping[str, float]]] = {}

    def add(self, service: str, work_s: float) -> None:
        """Adds the work of one request, in seconds of one server."""
        now = read_boottime()
        rate, at = self._rates.get(service, (0.0, now))
        decayed = rate * math.exp(-(now - at) / TIME_CONSTANT_S)
        self._rates[service] = (decayed + work_s / TIME_CONSTANT_S, now)

    def export_rates(self) -> dict[str, float]:
        """Returns this daemon's current rates by service."""
        now = read_boottime()
        return {
            service: round(rate * math.exp(-(now - at) / TIME_CONSTANT_S), 4)
            for service, (rate, at) in self._rates.items()
        }

    def import_rates(self, member: str, rates: Mapping[str, float]) -> None:
        """Records the rates that another daemon reports."""
        self._reports[member] = (read_boottime(), rates)

    def sum_rates(self, n_daemons: int) -> dict[str, float]:
        """Sums the rates over all daemons; extrapolates from recent reports."""
        now = read_boottime()
        sums = self.export_rates()
        recent = [r for at, r in self._reports.values() if now - at < REPORT_TTL_S]
        scale = max(1.0, (n_daemons - 1) / len(recent)) if recent else 1.0
        for rates in recent:
            for service, rate in rates.items():
                sums[service] = sums.get(service, 0.0) + rate * scale
        return sums
