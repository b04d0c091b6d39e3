"""Measures the share of the time for which callers keep the event loop busy."""

import asyncio
import selectors
from collections.abc import Callable
from typing import Any, Final

from .clock import read_boottime

TIME_CONSTANT_S: Final = 2.0  # of the moving average


class LoopMeter(selectors.DefaultSelector):
    """A selector that measures the time between its calls.

    Args:
        clock: returns seconds of the boot-time clock.
    """

    def __init__(self, *, clock: Callable[[], float] = read_boottime) -> None:
        super().__init__()
        self._clock = clock
        self._returned_at = clock()
        self._read_at = self._returned_at
        self._busy_s = 0.0
        self._share = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Waits for events; the time until the next call counts as busy."""
        self._busy_s += self._clock() - self._returned_at
        events = super().select(timeout)
        self._returned_at = self._clock()
        return events

    def exclude(self, seconds: float) -> None:
        """Excludes time that was not spent for callers, such as that for gossip."""
        self._busy_s -= seconds

    def read_share(self) -> float:
        """Returns the moving average of the busy share, 0 to 1."""
        now = self._clock()
        elapsed_s = now - self._read_at
        if elapsed_s > 0:
            weight = min(1.0, elapsed_s / TIME_CONSTANT_S)
            share = min(1.0, max(0.0, self._busy_s) / elapsed_s)
            self._share += weight * (share - self._share)
            self._busy_s, self._read_at = 0.0, now
        return self._share

    def make_loop(self) -> asyncio.AbstractEventLoop:
        """Makes the event loop that this meter measures."""
        return asyncio.SelectorEventLoop(self)
