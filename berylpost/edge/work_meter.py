"""How much work callers bring, by service, for the fleet's size.

Work is server-seconds a second: predicted prefill time of prompts for model engines.
Each daemon measures its own and gossips it; the sum is over all daemons.
"""

import math
from collections.abc import Mapping
from typing import Final

from .clock import read_boottime

MEMORY_S: Final = 4.0  # weight of the past; a server boots in about that time
REPORT_TTL_S: Final = 3.0  # a dead daemon's load comes to the others by then


class WorkMeter:
    """Exponentially weighted rates of work."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._reports: dict[str, tuple[float, Mapping[str, float]]] = {}

    def add(self, service: str, work_s: float) -> None:
        """Counts the work of one request, seconds of one server."""
        now = read_boottime()
        rate, at = self._rates.get(service, (0.0, now))
        decayed = rate * math.exp(-(now - at) / MEMORY_S)
        self._rates[service] = (decayed + work_s / MEMORY_S, now)

    def export_rates(self) -> dict[str, float]:
        """Returns this daemon's rates now."""
        now = read_boottime()
        return {
            service: round(rate * math.exp(-(now - at) / MEMORY_S), 4)
            for service, (rate, at) in self._rates.items()
        }

    def import_rates(self, member: str, rates: Mapping[str, float]) -> None:
        """Takes another daemon's rates."""
        self._reports[member] = (read_boottime(), rates)

    def sum_rates(self, n_daemons: int) -> dict[str, float]:
        """Sums the rates over all daemons; those heard lately stand for the rest."""
        now = read_boottime()
        sums = self.export_rates()
        recent = [r for at, r in self._reports.values() if now - at < REPORT_TTL_S]
        scale = max(1.0, (n_daemons - 1) / len(recent)) if recent else 1.0
        for rates in recent:
            for service, rate in rates.items():
                sums[service] = sums.get(service, 0.0) + rate * scale
        return sums
