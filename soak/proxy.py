"""A TCP proxy on loopback that delays, resets, silences or cuts one link.

A silenced direction holds its bytes back, as a network that loses packets does: they
come late or, after a reset, never. Nothing is taken out of the middle of a stream.
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
    """What a link does at present."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"


# (mode, whether bytes go from the client up to the server) to whether they are held.
HELD: Final = {
    (Mode.SILENT, True): True,
    (Mode.SILENT, False): True,
    (Mode.CUT_UP, True): True,
    (Mode.CUT_DOWN, False): True,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """One proxied connection."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter


class Proxy:
    """Forwards connections from one address to another.

    Args:
        listen: (ip, port) to listen on.
        target: (ip, port) to connect to.
    """

    def __init__(self, *, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._changed = asyncio.Event()
        self._links: set[Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self.listen)

    async def stop(self) -> None:
        """Breaks all links and ends."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes what the link does; held bytes go on where it lets them."""
        self.mode, self.delay_s = mode, delay_s
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Resets all open connections on both sides."""
        for link in list(self._links):
            for writer in (link.client, link.server):
                _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                up = await asyncio.open_connection(*self.target)
        except (OSError, TimeoutError):
            _reset(writer)
            return
        link = Link(client=writer, server=up[1])
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, up[1], is_up=True))
                group.create_task(self._pump(up[0], writer, is_up=False))
        except* (OSError, asyncio.CancelledError):
            # One side was reset, so the other one is too.
            _reset(writer)
            _reset(up[1])
        finally:
            self._links.discard(link)
            writer.close()
            up[1].close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_up: bool,
    ) -> None:
        while True:
            data = await reader.read(READ_BYTES)
            while HELD.get((self.mode, is_up), False):
                await self._changed.wait()
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
