"""The request rates that servers name, and one daemon's slots under them.

Both daemons use it; each has its own way to read a rate from an answer and to exchange
statements. `policy.server_limit` shares a rate among the daemons.
"""

import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from .hashing import hash_text
from .logs import log_event
from .policy.server_limit import Share, count_sharers, find_slot

LOGGER: Final = logging.getLogger(__name__)

MAX_TOLD: Final = 24  # statements in one message, 50 bytes each
# An end is told for as long as a daemon that missed it may still come back.
MEMORY_S: Final = 120.0
PEAK_MEMORY_S: Final = 600.0  # for which the largest number of daemons counts
SHARE_TTL_S: Final = 1.0  # after which a daemon's share and clock are computed anew

NEVER: Final = float("-inf")


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What a server said in an answer, as told to other daemons.

    Attributes:
        server: id of the server, with its start where ids are used again.
        rate: requests a second that it takes; None for any number.
        age: age of the answer, seconds.
    """

    server: str
    rate: float | None
    age: float


@dataclass(slots=True, kw_only=True)
class _Limit:
    """The rate of one server.

    Attributes:
        rate: requests a second; None after it has ended.
        stated_at: time of the latest answer that says so.
        last_slot: time of the last slot that this daemon used, Unix seconds.
        share: this daemon's share, computed at `shared_at`.
    """

    rate: float | None
    stated_at: float
    last_slot: float = NEVER
    share: Share | None = None
    shared_at: float = NEVER


class RateLimits:
    """The rates that one daemon knows.

    Args:
        name: name of this daemon.
        read_clock: returns seconds of a clock that is never set.
        read_wall_clock: returns the time of day, Unix seconds.
        list_others: lists the other daemons that may be serving.
        on_change: called with the servers whose rate changed, to tell other daemons.
        event: name of the log line on a change.
    """

    def __init__(
        self,
        *,
        name: str,
        read_clock: Callable[[], float],
        read_wall_clock: Callable[[], float],
        list_others: Callable[[], Collection[str]],
        on_change: Callable[[list[str]], None],
        event: str = "backend_limit",
    ) -> None:
        self._name = name
        self._event = event
        self._read_clock = read_clock
        self._read_wall_clock = read_wall_clock
        self._list_others = list_others
        self._on_change = on_change
        self._limits: dict[str, _Limit] = {}
        self._wall_offset = 0.0
        self._wall_at = NEVER
        self._peak = 1
        self._peak_at = NEVER

    @property
    def n_limited(self) -> int:
        """Number of servers that name a rate."""
        return sum(1 for limit in self._limits.values() if limit.rate is not None)

    def note_answer(self, server: str, rate: float | None) -> None:
        """Records what an answer says of the rate; None if it names none."""
        if rate is None and server not in self._limits:
            return
        if self._update(server, rate, self._read_clock()):
            self._on_change([server])

    def find_rate(self, server: str) -> float | None:
        """Returns the rate that a server names; None if it names none."""
        limit = self._limits.get(server)
        return None if limit is None else limit.rate

    def find_wait(self, server: str) -> float:
        """Returns the seconds until a server may be sent a request; 0 for at once."""
        limit = self._limits.get(server)
        if limit is None or limit.rate is None:
            return 0.0
        now = self._estimate_wall_clock()
        return max(0.0, self._find_slot(server, limit, now) - now)

    def take(self, server: str) -> None:
        """Uses the next slot of a server, if it names a rate."""
        limit = self._limits.get(server)
        if limit is not None and limit.rate is not None:
            now = self._estimate_wall_clock()
            limit.last_slot = self._find_slot(server, limit, now)

    def merge(self, statements: Iterable[Statement]) -> None:
        """Adds another daemon's statements and passes on what was new."""
        now = self._read_clock()
        news = [
            statement.server
            for statement in statements
            if self._update(
                statement.server, statement.rate, now - max(0.0, statement.age)
            )
        ]
        if news:
            self._on_change(news)

    def export(
        self, servers: Iterable[str] | None = None
    ) -> list[tuple[Statement, ...]]:
        """Returns statements for other daemons; all of them by default."""
        now = self._read_clock()
        statements = [
            Statement(server, limit.rate, now - limit.stated_at)
            for server in (self._limits if servers is None else servers)
            if (limit := self._limits.get(server)) is not None
        ]
        return [
            tuple(statements[start : start + MAX_TOLD])
            for start in range(0, len(statements), MAX_TOLD)
        ]

    def digest(self) -> int:
        """Returns a number that is equal for daemons that know the same rates."""
        digest = 0
        for server, limit in self._limits.items():
            if limit.rate is not None:
                digest ^= hash_text(f"{server}:{limit.rate}") >> 1
        return digest

    def drop_outdated(self, present: Collection[str]) -> None:
        """Drops rates that have ended, and those of servers that are gone.

        Args:
            present: the servers that exist.
        """
        horizon = self._read_clock() - MEMORY_S
        for server, limit in list(self._limits.items()):
            is_over = limit.rate is None or server not in present
            if is_over and limit.stated_at < horizon:
                del self._limits[server]

    def _estimate_wall_clock(self) -> float:
        now = self._read_clock()
        if now - self._wall_at > SHARE_TTL_S:
            self._wall_offset = self._read_wall_clock() - now
            self._wall_at = now
        return now + self._wall_offset

    def _find_slot(self, server: str, limit: _Limit, now: float) -> float:
        if limit.share is None or self._read_clock() - limit.shared_at > SHARE_TTL_S:
            limit.share = self._make_share(server, limit.rate or 0.0)
            limit.shared_at = self._read_clock()
        return find_slot(limit.share, now=now, last_slot=limit.last_slot)

    def _make_share(self, server: str, rate: float) -> Share:
        names = [*self._list_others(), self._name]
        own_hash = hash_text(f"{server}/{self._name}")
        rank = sum(hash_text(f"{server}/{name}") < own_hash for name in names)
        now = self._read_clock()
        if len(names) >= self._peak or now - self._peak_at > PEAK_MEMORY_S:
            self._peak, self._peak_at = len(names), now
        n_daemons = count_sharers(len(names), self._peak)
        return Share(rate=rate, n_daemons=n_daemons, phase=rank / len(names))

    def _update(self, server: str, rate: float | None, stated_at: float) -> bool:
        """Applies a statement unless a later one is known; tells whether it is news."""
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = _Limit(rate=None, stated_at=NEVER)
        if stated_at <= limit.stated_at:
            return False
        limit.stated_at = stated_at
        if rate == limit.rate:
            return False
        log_event(
            LOGGER,
            self._event,
            backend=server,
            rate="none" if rate is None else rate,
            before="none" if limit.rate is None else limit.rate,
            age_s=self._read_clock() - stated_at,
        )
        limit.rate = rate
        limit.share = None
        return True
