"""Servers that said in an answer that they leave.

They get no further request, whatever their entries say, until they start again. A
daemon that learns of one tells a few others at once, which pass it on; every daemon
also asks a random other one for what it has missed.
"""

import random
from collections import OrderedDict
from typing import Final

import msgspec

from ..hashing import hash_text
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .datagrams import DatagramChannel
from .members import Members
from .model import Backend, Endpoint

DATAGRAM_MARK: Final = b"\xc1\xc3"
MAX_TOLD: Final = 24  # servers in one message, 50 bytes each
MAX_ANSWERED: Final = 96  # servers in the answers to one question
# A server has ended by then, and no copy of the store is as old.
MEMORY_S: Final = 600.0
MAX_SERVERS: Final = 4_096  # bounds memory


class _Told(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Servers that leave, and the ages of their answers in seconds."""

    servers: tuple[tuple[str, float], ...]


class _Question(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Asks for servers; `digest` is equal for daemons that know the same ones."""

    digest: int


class LeavingServers:
    """The servers that this daemon knows to have said that they leave.

    Args:
        members: the other daemons.
        table: state of the backend servers.
    """

    def __init__(self, *, members: Members, table: BackendTable) -> None:
        self._members = members
        self._table = table
        # When each incarnation of a server said so, the oldest first.
        self._said_at: OrderedDict[str, float] = OrderedDict()
        self._channel: DatagramChannel[_Told | _Question] = DatagramChannel(
            members=members,
            mark=DATAGRAM_MARK,
            message_type=_Told | _Question,
            handle=self._handle,
        )
        table.bind_leaving(self.is_leaving)

    def start(self) -> None:
        """Starts to ask the other daemons; called from the event loop."""
        self._channel.start_asking(
            lambda: _Question(self._digest()), self._drop_outdated
        )

    def stop(self) -> None:
        """Stops asking."""
        self._channel.stop_asking()

    def is_leaving(self, backend: Backend) -> bool:
        """Tells whether a server said that it leaves since it was started."""
        return _identify(backend) in self._said_at

    def note(self, record: BackendRecord) -> None:
        """Records that an answer of a server says that it leaves."""
        self._add({_identify(record.backend): read_boottime()})

    def _add(self, said_at: dict[str, float]) -> None:
        """Adds servers, takes them out of use and tells others of the new ones."""
        horizon = read_boottime() - MEMORY_S
        added = {
            server: at
            for server, at in said_at.items()
            if server not in self._said_at and at > horizon
        }
        if not added:
            return
        self._said_at.update(added)
        while len(self._said_at) > MAX_SERVERS:
            self._said_at.popitem(last=False)
        for record in self._table.records.values():
            if _identify(record.backend) in added:
                self._table.record_leaving_notice(record, None)
        for message in self._make_messages(added):
            self._channel.spread(message)

    def _make_messages(self, said_at: dict[str, float]) -> list[_Told]:
        now = read_boottime()
        told = [(server, now - at) for server, at in said_at.items()]
        return [
            _Told(tuple(told[start : start + MAX_TOLD]))
            for start in range(0, len(told), MAX_TOLD)
        ]

    def _digest(self) -> int:
        digest = 0
        for server in self._said_at:
            digest ^= hash_text(server) >> 1  # fits into a 64-bit integer of msgpack
        return digest

    def _drop_outdated(self) -> None:
        horizon = read_boottime() - MEMORY_S
        for server in [s for s, at in self._said_at.items() if at <= horizon]:
            del self._said_at[server]

    def _handle(self, message: _Told | _Question, address: Endpoint) -> None:
        match message:
            case _Told(servers):
                now = read_boottime()
                self._add({server: now - max(0.0, age) for server, age in servers})
            case _Question(digest):
                if digest != self._digest():
                    known = list(self._said_at.items())
                    told = random.sample(known, min(MAX_ANSWERED, len(known)))
                    for answer in self._make_messages(dict(told)):
                        self._channel.send(address, answer)


def _identify(backend: Backend) -> str:
    """Returns what names one incarnation of a server."""
    return f"{backend.id}/{backend.started_ms}"
