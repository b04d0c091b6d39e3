"""The era of the store, which rises when the store comes back from an older copy.

What the store held since that copy is gone, and it gives out its revisions again.
"""

import logging
from typing import Final

from ..logs import log_event
from .clock import read_boottime

LOGGER: Final = logging.getLogger(__name__)

UNKNOWN_ERA: Final = -1


class StoreEra:
    """The store's era as this daemon knows it.

    Attributes:
        number: the era; `UNKNOWN_ERA` until the store has named one.
        learnt_at: boot-time clock at which this daemon learnt of it.
    """

    def __init__(self) -> None:
        self.number = UNKNOWN_ERA
        self.learnt_at = float("-inf")

    def note_answer(self, era: int | None, asked_at: float) -> bool:
        """Records the era that an answer names; None for none.

        Args:
            era: the era, or None if the answer names none that can be read.
            asked_at: boot-time clock at which the call was made.

        Returns:
            Whether the answer counts.
        """
        if era is not None and era > self.number:
            log_event(
                LOGGER,
                "store_era",
                logging.WARNING if self.number != UNKNOWN_ERA else logging.INFO,
                era=era,
                before=self.number,
                asked_s=read_boottime() - asked_at,
            )
            self.number = era
            self.learnt_at = read_boottime()
        return True
