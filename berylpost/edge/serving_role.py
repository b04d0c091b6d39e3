"""Decides whether this daemon is active or stands by, and who serves callers.

An active daemon knows all others and chooses the serving set itself; a standby daemon
takes it from the answers of active ones. `policy.serving_set` has the rules.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from ..logs import log_event
from ..policy.rounds import STANDBY_TIMEOUT_S
from ..policy.serving_set import (
    Candidate,
    SetSize,
    Standing,
    choose_serving,
    may_stand_by,
    update_size,
)
from .member import Member
from .model import EdgeSettings

LOGGER: Final = logging.getLogger(__name__)

# A daemon that starts learns by then whether it is in the set.
STARTUP_S: Final = 2.0


class ServingRole:
    """The role of this daemon.

    Args:
        settings: settings of this daemon.
        started_at: boot-time clock at its start.

    Attributes:
        active: whether this daemon exchanges totals; otherwise it stands by.
        active_since: boot-time clock since which it is active.
        serving: names of the daemons to which callers are to be sent; empty while
            nothing is known.
        answered_at: boot-time clock of the newest answer of an active daemon to this
            one while it stands by.
        must_stay_active: tells whether this daemon has work that needs all totals.
        has_callers: tells whether callers are connected to this daemon.
    """

    def __init__(self, *, settings: EdgeSettings, started_at: float) -> None:
        self.active = True
        self.active_since = started_at
        self.serving: frozenset[str] = frozenset()
        self.answered_at = float("-inf")
        self.must_stay_active: Callable[[], bool] = lambda: False
        self.has_callers: Callable[[], bool] = lambda: True
        self._settings = settings
        self._started_at = started_at
        self._size = SetSize()
        self._in_set_at = float("-inf")

    @property
    def is_in_set(self) -> bool:
        """Whether this daemon is in the serving set."""
        return self._settings.name in self.serving

    def note_answer(self, serving: Iterable[str], now: float) -> None:
        """Takes over the set that an active daemon names to this standby daemon."""
        self.answered_at = now
        self.serving = frozenset(serving)

    def update_standby(self, *, now: float, leaving: bool) -> bool:
        """Returns whether this standby daemon has become active.

        It does if it is in the set, if no active daemon answers, and to tell all others
        that it leaves.
        """
        unanswered_s = now - self.answered_at
        if self.is_in_set or leaving or unanswered_s > STANDBY_TIMEOUT_S:
            self.active = True
            self.active_since = now
        return self.active

    def update_active(
        self,
        reachable: list[Member],
        *,
        now: float,
        ready: bool,
        leaving: bool,
        busy_share: float,
    ) -> bool:
        """Chooses the set and returns whether this active daemon now stands by.

        Args:
            reachable: the other daemons that were heard from lately.
            now: boot-time clock.
            ready: whether this daemon serves callers.
            leaving: whether it is shutting down.
            busy_share: share of the time for which callers keep it busy.
        """
        self._update_size(reachable, busy_share, now)
        self._choose_serving(reachable, may_serve=ready and not leaving)
        has_started = now - self._started_at >= STARTUP_S
        # While it starts it knows too few others to tell whether it is in the set.
        if has_started and self.is_in_set:
            self._in_set_at = now
        standing = Standing(
            in_set=self.is_in_set,
            n_active_in_set=sum(m.active and m.name in self.serving for m in reachable),
            n_wanted=self._size.n_wanted,
            out_of_set_s=now - self._in_set_at,
            has_callers=self.has_callers(),
            is_needed=leaving or not has_started or self.must_stay_active(),
        )
        if may_stand_by(standing):
            self.active = False
            self.answered_at = now
        return not self.active

    def _update_size(
        self, reachable: list[Member], busy_share: float, now: float
    ) -> None:
        # Only the work in the set is spread over more daemons if the set grows.
        busy_shares = [m.busy_share for m in reachable if m.name in self.serving]
        busy_shares.append(busy_share)
        before = self._size.n_wanted
        self._size = update_size(self._size, busy_shares=busy_shares, now=now)
        if self._size.n_wanted != before:
            log_event(
                LOGGER,
                "serving_set_sized",
                n_wanted=self._size.n_wanted,
                busy=sum(busy_shares),
            )

    def _choose_serving(self, reachable: list[Member], *, may_serve: bool) -> None:
        candidates = [
            Candidate(name=m.name, zone=m.zone, n_cores=m.n_cores, active=m.active)
            for m in reachable
            if m.ready and not m.leaving
        ]
        if may_serve:
            own = self._settings
            candidates.append(
                Candidate(name=own.name, zone=own.zone, n_cores=own.n_cores)
            )
        self.serving = frozenset(choose_serving(candidates, self._size.n_wanted))
