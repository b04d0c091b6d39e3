"""The era of the store, which rises when the store comes back from an older copy.

All modules that keep something of the store register what carries it over to a new
era. The first call that is answered with a new era, or the first neighbour that knows
it, starts that for all of them. When the era began that this daemon found at its start
is not known until `era_record` dates it.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from ..logs import log_event
from ..policy.store_era import EraVerdict, judge_era
from .clock import read_boottime

LOGGER: Final = logging.getLogger(__name__)

UNKNOWN_ERA: Final = -1
MAX_LOGGED_AGE_S: Final = 1e6
LONG_AGO: Final = float("-inf")  # before anything that this daemon knows


class StoreEra:
    """The store's era as this daemon knows it.

    Attributes:
        number: the era; `UNKNOWN_ERA` until the store or a neighbour has named one.
        was_dated: set while it is known when the era began.
        began_at: the latest time at which it began, boot-time clock.
    """

    def __init__(self) -> None:
        self.number = UNKNOWN_ERA
        self.was_dated = asyncio.Event()
        self.began_at = LONG_AGO
        self._learnt_at = float("-inf")
        self._listeners: list[Callable[[int], None]] = []
        self._date_listeners: list[Callable[[float], None]] = []
        self._has_fallen = False

    @property
    def is_dated(self) -> bool:
        """Whether it is known when the era began."""
        return self.was_dated.is_set()

    def add_listener(self, listener: Callable[[int], None]) -> None:
        """Registers a function to call with the number of each new era."""
        self._listeners.append(listener)

    def add_date_listener(self, listener: Callable[[float], None]) -> None:
        """Registers a function to call with the time at which an era began."""
        self._date_listeners.append(listener)

    def date(self, began_at: float) -> None:
        """Sets when the era began, unless that is known.

        Args:
            began_at: the latest time at which it can have begun, boot-time clock.
        """
        if self.was_dated.is_set():
            return
        self.was_dated.set()
        self.began_at = began_at
        log_event(
            LOGGER,
            "era_dated",
            era=self.number,
            age_s=min(MAX_LOGGED_AGE_S, read_boottime() - began_at),
        )
        for listener in self._date_listeners:
            listener(began_at)

    def note_answer(self, era: int | None, asked_at: float) -> bool:
        """Records the era that an answer of the store names.

        Args:
            era: the era, or None if the answer names none that can be read.
            asked_at: boot-time clock at which the call was made.

        Returns:
            Whether the answer belongs to the present era.
        """
        verdict = judge_era(
            era, known=self.number, asked_at=asked_at, learnt_at=self._learnt_at
        )
        if verdict is EraVerdict.RISEN and era is not None:
            self._begin(era, "store")
        elif verdict is EraVerdict.OUTDATED:
            log_event(LOGGER, "answer_of_earlier_era", era=era, known=self.number)
            return False
        elif era is not None and era < self.number and not self._has_fallen:
            self._has_fallen = True
            log_event(LOGGER, "era_fell", logging.WARNING, era=era, known=self.number)
        return True

    def note_neighbour(self, era: int) -> None:
        """Records the era that another daemon knows."""
        if era > self.number:
            self._begin(era, "neighbour")

    def _begin(self, era: int, source: str) -> None:
        is_first = self.number == UNKNOWN_ERA
        log_event(
            LOGGER,
            "store_era",
            logging.INFO if is_first else logging.WARNING,
            era=era,
            before=self.number,
            source=source,
        )
        self.number = era
        self._learnt_at = read_boottime()
        for listener in self._listeners:
            listener(era)
        if not is_first:
            self.was_dated.clear()
            self.date(self._learnt_at)
