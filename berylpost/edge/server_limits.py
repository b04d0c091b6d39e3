"""Exchanges the request rates that servers name between the entry daemons.

A daemon that learns of a rate, or of its end, tells a few others at once, and these
pass it on. `rate_limits` keeps the rates and this daemon's slots.
"""

from typing import Final

import msgspec

from ..rate_limits import RateLimits, Statement
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .datagrams import DatagramChannel
from .members import Members
from .model import Backend, Endpoint

# First bytes of this module's datagrams; no other message begins with them.
DATAGRAM_MARK: Final = b"\xc1\xc2"


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
    """

    def __init__(self, *, name: str, members: Members, table: BackendTable) -> None:
        self._members = members
        self._table = table
        self._rates = RateLimits(
            name=name,
            read_clock=read_boottime,
            read_wall_clock=members.estimate_wall_clock,
            list_others=members.list_serving,
            on_change=self._pass_on,
        )
        self._channel: DatagramChannel[_Told | _Question] = DatagramChannel(
            members=members,
            mark=DATAGRAM_MARK,
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

    def find_wait(self, record: BackendRecord) -> float:
        """Returns the seconds until a server may be sent a request; 0 for at once."""
        return self._rates.find_wait(_identify(record.backend))

    def take(self, record: BackendRecord) -> None:
        """Uses the next slot of a server, if it names a rate."""
        self._rates.take(_identify(record.backend))

    def _drop_outdated(self) -> None:
        self._rates.drop_outdated(
            {_identify(record.backend) for record in self._table.records.values()}
        )

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
