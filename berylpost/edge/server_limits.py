"""The request rates that servers name in their answers, and this daemon's slots.

A daemon that learns of a rate, or of its end, tells a few others at once, and these
pass it on. `policy.server_limit` shares a rate among the daemons.
"""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from ..hashing import hash_text
from ..logs import log_event
from ..policy.server_limit import Share, count_sharers, find_slot
from .anti_entropy import ask_regularly
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .members import FAN_OUT, Members
from .model import Backend, Endpoint

LOGGER: Final = logging.getLogger(__name__)

# First bytes of this module's datagrams; no other message begins with them.
DATAGRAM_MARK: Final = b"\xc1\xc2"
MAX_TOLD: Final = 24  # statements in one datagram, 50 bytes each
# An end is told for as long as a daemon that missed it may still come back.
MEMORY_S: Final = 120.0
PEAK_MEMORY_S: Final = 600.0  # for which the largest number of daemons counts
SHARE_TTL_S: Final = 1.0  # after which a daemon's rank and clock are computed anew


class _Statement(msgspec.Struct, frozen=True, array_like=True):
    """What a server said in an answer.

    Attributes:
        server: id and start of the server.
        rate: requests a second that it takes; None for any number.
        age: age of the answer, seconds.
    """

    server: str
    rate: float | None
    age: float


class _Told(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Statements that the sender knows."""

    statements: tuple[_Statement, ...]


class _Question(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Asks for statements; `digest` is equal for daemons that know the same rates."""

    digest: int


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Told | _Question)


@dataclass(slots=True, kw_only=True)
class _Limit:
    """The rate of one server.

    Attributes:
        rate: requests a second; None after it has ended.
        stated_at: boot-time clock of the latest answer that says so.
        last_slot: time of the last slot that this daemon used, Unix seconds.
        share: this daemon's share, computed at `shared_at`.
    """

    rate: float | None
    stated_at: float
    last_slot: float = float("-inf")
    share: Share | None = None
    shared_at: float = float("-inf")


class ServerLimits:
    """The rates that servers name, shared by all daemons.

    Args:
        name: name of this daemon.
        members: the other daemons, and the time of day that they agree on.
        table: state of the backend servers.
    """

    def __init__(self, *, name: str, members: Members, table: BackendTable) -> None:
        self._name = name
        self._members = members
        self._table = table
        self._limits: dict[str, _Limit] = {}
        self._wall_offset = 0.0
        self._wall_at = float("-inf")
        self._peak = 1
        self._peak_at = float("-inf")
        self._task: asyncio.Task[None] | None = None
        members.bind_messages(self._receive, DATAGRAM_MARK)

    @property
    def n_limited(self) -> int:
        """Number of servers that name a rate."""
        return sum(1 for limit in self._limits.values() if limit.rate is not None)

    def start(self) -> None:
        """Starts to ask the other daemons; called from the event loop."""
        self._task = asyncio.create_task(
            ask_regularly(self._members, self._ask, self._drop_outdated)
        )

    def stop(self) -> None:
        """Stops asking."""
        if self._task is not None:
            self._task.cancel()

    def note_answer(self, record: BackendRecord, rate: float | None) -> None:
        """Records what an answer says of the rate; None if it names none."""
        server = _identify(record.backend)
        if rate is None and server not in self._limits:
            return
        if self._update(server, rate, read_boottime()):
            self._tell([server], self._pick_others())

    def find_wait(self, record: BackendRecord) -> float:
        """Returns the seconds until a server may be sent a request; 0 for at once."""
        limit = self._limits.get(_identify(record.backend)) if self._limits else None
        if limit is None or limit.rate is None:
            return 0.0
        now = self._read_wall_clock()
        return max(0.0, self._find_slot(record, limit, now) - now)

    def take(self, record: BackendRecord) -> None:
        """Uses the next slot of a server, if it names a rate."""
        limit = self._limits.get(_identify(record.backend)) if self._limits else None
        if limit is not None and limit.rate is not None:
            now = self._read_wall_clock()
            limit.last_slot = self._find_slot(record, limit, now)

    def _read_wall_clock(self) -> float:
        """Returns the time of day that the daemons agree on, Unix seconds."""
        now = read_boottime()
        if now - self._wall_at > SHARE_TTL_S:
            self._wall_offset = self._members.estimate_wall_clock() - now
            self._wall_at = now
        return now + self._wall_offset

    def _find_slot(self, record: BackendRecord, limit: _Limit, now: float) -> float:
        if read_boottime() - limit.shared_at > SHARE_TTL_S or limit.share is None:
            limit.share = self._make_share(_identify(record.backend), limit.rate or 0.0)
            limit.shared_at = read_boottime()
        return find_slot(limit.share, now=now, last_slot=limit.last_slot)

    def _make_share(self, server: str, rate: float) -> Share:
        names = [*self._members.list_serving(), self._name]
        own_hash = hash_text(f"{server}/{self._name}")
        rank = sum(hash_text(f"{server}/{name}") < own_hash for name in names)
        now = read_boottime()
        if len(names) >= self._peak or now - self._peak_at > PEAK_MEMORY_S:
            self._peak, self._peak_at = len(names), now
        n_daemons = count_sharers(len(names), self._peak)
        return Share(rate=rate, n_daemons=n_daemons, phase=rank / len(names))

    def _update(self, server: str, rate: float | None, stated_at: float) -> bool:
        """Applies a statement unless a later one is known; tells whether it is news."""
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = _Limit(rate=None, stated_at=float("-inf"))
        if stated_at <= limit.stated_at:
            return False
        limit.stated_at = stated_at
        if rate == limit.rate:
            return False
        log_event(
            LOGGER,
            "backend_limit",
            backend=server,
            rate="none" if rate is None else rate,
            before="none" if limit.rate is None else limit.rate,
            age_s=read_boottime() - stated_at,
        )
        limit.rate = rate
        limit.share = None
        return True

    def _drop_outdated(self) -> None:
        """Drops rates that have ended, and those of servers that are gone."""
        present = {_identify(r.backend) for r in self._table.records.values()}
        horizon = read_boottime() - MEMORY_S
        for server, limit in list(self._limits.items()):
            is_over = limit.rate is None or server not in present
            if is_over and limit.stated_at < horizon:
                del self._limits[server]

    def _pick_others(self) -> list[Endpoint]:
        alive = [member.address for member in self._members.list_alive()]
        return random.sample(alive, min(FAN_OUT, len(alive)))

    def _digest(self) -> int:
        digest = 0
        for server, limit in self._limits.items():
            if limit.rate is not None:
                digest ^= hash_text(f"{server}:{limit.rate}") >> 1
        return digest

    def _ask(self, address: Endpoint) -> None:
        self._send(address, _Question(self._digest()))

    def _tell(self, servers: Iterable[str], addresses: list[Endpoint]) -> None:
        now = read_boottime()
        statements = [
            _Statement(server, limit.rate, now - limit.stated_at)
            for server in servers
            if (limit := self._limits.get(server)) is not None
        ]
        for start in range(0, len(statements), MAX_TOLD):
            message = _Told(tuple(statements[start : start + MAX_TOLD]))
            for address in addresses:
                self._send(address, message)

    def _receive(self, data: bytes, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        try:
            message = _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        match message:
            case _Told(statements):
                now = read_boottime()
                news = [
                    statement.server
                    for statement in statements
                    if self._update(
                        statement.server, statement.rate, now - max(0.0, statement.age)
                    )
                ]
                if news:
                    self._tell(news, self._pick_others())
            case _Question(digest):
                if digest != self._digest():
                    self._tell(list(self._limits), [address])

    def _send(self, address: Endpoint, message: _Told | _Question) -> None:
        self._members.send_message(address, _ENCODER.encode(message), DATAGRAM_MARK)


def _identify(backend: Backend) -> str:
    """Returns what names one incarnation of a server."""
    return f"{backend.id}/{backend.started_ms}"
