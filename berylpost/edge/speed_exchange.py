"""Sends what this daemon has seen of the servers' speeds to the other active daemons.

Nothing is sent while no server states a fourth figure.
"""

import asyncio
import random
from typing import Final

import msgspec

from .datagrams import DatagramChannel
from .members import Members
from .model import Endpoint
from .server_speeds import FigureRow, SampleRow, ServerSpeeds

# First bytes of these datagrams; no other message begins with them.
SPEED_MARK: Final = b"\xc1\xc6"
# Bytes that a daemon may send per second: half of the 8 KB/s that it may use for all
# control traffic.
BYTES_PER_S: Final = 4_000.0
PACKET_BYTES: Final = 30  # headers of IP and UDP, and the mark


class _Seen(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has seen; see `ServerSpeeds.export_state`."""

    name: str
    figures: dict[str, FigureRow]
    samples: list[SampleRow]


class SpeedExchange:
    """Exchanges figures and samples of servers in every gossip round.

    Args:
        name: name of this daemon.
        members: the other daemons.
        speeds: what this daemon knows of the servers.
    """

    def __init__(self, *, name: str, members: Members, speeds: ServerSpeeds) -> None:
        self._name = name
        self._members = members
        self._speeds = speeds
        self._budget = 0.0
        self._channel: DatagramChannel[_Seen] = DatagramChannel(
            members=members, mark=SPEED_MARK, message_type=_Seen, handle=self._handle
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the rounds; called from the event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ends the rounds."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            round_s = self._members.round_duration_s()
            self._budget = min(BYTES_PER_S, self._budget + BYTES_PER_S * round_s)
            self._send(round_s)
            await asyncio.sleep(round_s)

    def _send(self, round_s: float) -> None:
        figures, samples = self._speeds.export_state(round_s)
        if not figures and not samples:
            return
        message = _Seen(name=self._name, figures=figures, samples=samples)
        n_bytes = len(msgspec.msgpack.encode(message)) + PACKET_BYTES
        alive = self._members.list_alive()
        n_receivers = min(len(alive), int(self._budget / n_bytes))
        self._budget -= n_receivers * n_bytes
        for member in random.sample(alive, n_receivers):
            self._channel.send(member.address, message)

    def _handle(self, message: _Seen, _address: Endpoint) -> None:
        self._speeds.import_state(message.name, message.figures, message.samples)
