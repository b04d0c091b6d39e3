"""Exchanges the request rates that servers name between the entry daemons.

A daemon that learns of a rate, or of its end, tells a few others at once, and these
pass it on. `rate_limits` keeps the rates and this daemon's slots.
"""

from typing import Final

import msgspec

from ..policy.brittle import find_epochs, share_slots
from ..rate_limits import RateLimits, Statement
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .datagrams import DatagramChannel
from .members import Members
from .model import Backend, Endpoint

# First bytes of the datagrams of each kind of rate; no other message begins with them.
LIMIT_MARK: Final = b"\xc1\xc2"
RISK_MARK: Final = b"\xc1\xc4"


class _Told(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Statements that the sender knows."""

    statements: tuple[Statement, ...]


class _Question(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Asks for statements; `digest` is equal for daemons that know the same rates."""

    digest: int


class ServerLimits:
    """The rates that servers name, shared by all daemons.

    Args:
        name: name of this daemon.
        members: the other daemons, and the time of day that they agree on.
        table: state of the backend servers.
        mark: `LIMIT_MARK`, or `RISK_MARK` for the rate of what brittle servers may
            turn away.
    """

    def __init__(
        self,
        *,
        name: str,
        members: Members,
        table: BackendTable,
        mark: bytes = LIMIT_MARK,
    ) -> None:
        self._name = name
        self._members = members
        self._table = table
        # This daemon's share of each server and the epochs that it holds for.
        self._shares: dict[str, tuple[tuple[int, ...], int]] = {}
        self._rates = RateLimits(
            name=name,
            read_clock=read_boottime,
            read_wall_clock=members.estimate_wall_clock,
            list_others=members.list_serving,
            on_change=self._pass_on,
            event="backend_limit" if mark == LIMIT_MARK else "backend_brittle",
        )
        self._channel: DatagramChannel[_Told | _Question] = DatagramChannel(
            members=members,
            mark=mark,
            message_type=_Told | _Question,
            handle=self._handle,
        )

    @property
    def n_limited(self) -> int:
        """Number of servers that name a rate."""
        return self._rates.n_limited

    def start(self) -> None:
        """Starts to ask the other daemons; called from the event loop."""
        self._channel.start_asking(
            lambda: _Question(self._rates.digest()), self._drop_outdated
        )

    def stop(self) -> None:
        """Stops asking."""
        self._channel.stop_asking()

    def note_answer(self, record: BackendRecord, rate: float | None) -> None:
        """Records what an answer says of the rate; None if it names none."""
        self._rates.note_answer(_identify(record.backend), rate)

    def has_rate(self, record: BackendRecord) -> bool:
        """Tells whether a server names a rate."""
        return self._rates.find_rate(_identify(record.backend)) is not None

    def has_slot(self, record: BackendRecord) -> bool:
        """Tells whether a slot of a rate above zero can be used now."""
        server = _identify(record.backend)
        return bool(self._rates.find_rate(server)) and not self._rates.find_wait(server)

    def find_wait(self, record: BackendRecord) -> float:
        """Returns the seconds until a server may be sent a request; 0 for at once."""
        return self._rates.find_wait(_identify(record.backend))

    def take(self, record: BackendRecord) -> None:
        """Uses the next slot of a server, if it names a rate."""
        self._rates.take(_identify(record.backend))

    def count_share(self, record: BackendRecord) -> int:
        """Returns how many requests this daemon may have at a brittle server."""
        server = record.backend.id
        epochs = find_epochs(self._members.estimate_wall_clock())
        known = self._shares.get(server)
        if known is None or known[0] != epochs:
            names = [self._name, *self._members.list_serving()]
            slots = record.backend.slots
            share = min(share_slots(slots, server, names, e)[0] for e in epochs)
            known = self._shares[server] = (epochs, share)
        return known[1]

    def _drop_outdated(self) -> None:
        self._rates.drop_outdated(
            {_identify(record.backend) for record in self._table.records.values()}
        )
        for server in self._shares.keys() - self._table.records.keys():
            del self._shares[server]

    def _pass_on(self, servers: list[str]) -> None:
        for statements in self._rates.export(servers):
            self._channel.spread(_Told(statements))

    def _handle(self, message: _Told | _Question, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        match message:
            case _Told(statements):
                self._rates.merge(statements)
            case _Question(digest):
                if digest != self._rates.digest():
                    for told in self._rates.export():
                        self._channel.send(address, _Told(told))


def _identify(backend: Backend) -> str:
    """Returns what names one incarnation of a server."""
    return f"{backend.id}/{backend.started_ms}"
