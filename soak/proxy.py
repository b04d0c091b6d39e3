"""TCP proxy on loopback that delays, blocks or resets the connections of one link.

A blocked direction holds its bytes back, as a network that loses packets does: they
arrive late or, after a reset, never. No bytes are removed from within a stream.
"""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

READ_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 5.0


class Mode(StrEnum):
    """How a proxy treats the bytes of its connections.

    `CUT_UP` blocks the direction to the server, `CUT_DOWN` the direction to the client
    and `SILENT` both.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"


# Whether bytes are held back, by (mode, whether they go from client to server).
IS_HELD_BACK: Final = {
    (Mode.SILENT, True): True,
    (Mode.SILENT, False): True,
    (Mode.CUT_UP, True): True,
    (Mode.CUT_DOWN, False): True,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxiedConnection:
    """Both sides of a proxied connection."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter


class Proxy:
    """Forwards connections from one address to another.

    Args:
        listen: Address (IP, port) to listen on.
        target: Address (IP, port) to connect to.
    """

    def __init__(self, *, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._changed = asyncio.Event()
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, *self.listen)

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes the mode; bytes held back are sent once it no longer blocks them."""
        self.mode, self.delay_s = mode, delay_s
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all open connections on both sides."""
        for connection in list(self._connections):
            for writer in (connection.client, connection.server):
                _reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                upstream = await asyncio.open_connection(*self.target)
        except (OSError, TimeoutError):
            _reset_connection(writer)
            return
        connection = ProxiedConnection(client=writer, server=upstream[1])
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, upstream[1], to_server=True))
                group.create_task(self._forward(upstream[0], writer, to_server=False))
        except* (OSError, asyncio.CancelledError):
            # One side was reset, so the other is reset too.
            _reset_connection(writer)
            _reset_connection(upstream[1])
        finally:
            self._connections.discard(connection)
            writer.close()
            upstream[1].close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        while True:
            data = await reader.read(READ_BYTES)
            while IS_HELD_BACK.get((self.mode, to_server), False):
                await self._changed.wait()
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
