"""TCP proxy on loopback that delays, blocks or resets the connections of one link.

A blocked direction holds its bytes back, as a network that loses packets does: they
arrive late or, after a reset, never. No bytes are removed from within a stream.
"""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

READ_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 5.0
CLIENT_IP: Final = "127.0.0.1"

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


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


@dataclass(slots=True, kw_only=True, eq=False)
class Passage:
    """What became of a client's connection; times are monotonic seconds.

    Attributes:
        accepted_at: when the proxy accepted it.
        refusal: why the server's address did not take it; empty if it did.
        n_up: bytes passed on to the server.
        n_down: bytes passed on to the client.
        server_end: how the server ended it; empty if it has not.
        server_ended_at: when it did.
    """

    accepted_at: float
    refusal: str = ""
    n_up: int = 0
    n_down: int = 0
    server_end: str = ""
    server_ended_at: float = 0.0

    def note_server_end(self, end: str) -> None:
        """Records how the server ended the connection."""
        if not self.server_end:
            self.server_end, self.server_ended_at = end, time.monotonic()

    def __str__(self) -> str:
        """Describes it for a report."""
        if self.refusal:
            return f"not accepted by the server's address: {self.refusal}"
        seconds = self.server_ended_at - self.accepted_at
        end = f"{self.server_end} after {seconds:.3f} s" if self.server_end else "open"
        return f"{self.n_up} bytes up, {self.n_down} down, server's end: {end}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxiedConnection:
    """Both sides of a proxied connection."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    passage: Passage


class Proxy:
    """Forwards connections from one address to another.

    Args:
        listen: Address (IP, port) to listen on.
        target: Address (IP, port) to connect to.

    Attributes:
        passages: The last connections, by the client's port.
        n_refused: Connections that the server's address did not take.
    """

    def __init__(self, *, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.listen = listen
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._changed = asyncio.Event()
        self._connections: set[ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.passages: dict[int, Passage] = {}
        self.n_refused = 0
        self._dialled: dict[int, Streams] = {}

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

    async def connect(self) -> Streams:
        """Opens a client's connection after the one to the server.

        A client without a proxy sees whether the server's address takes it.

        Raises:
            OSError: the server's address refuses connections.
        """
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            self.n_refused += 1
            raise
        sock = socket.socket()
        sock.setblocking(False)
        sock.bind((CLIENT_IP, 0))
        port = sock.getsockname()[1]
        self.passages[port] = Passage(accepted_at=time.monotonic())
        self._dialled[port] = upstream
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.listen)
            return await asyncio.open_connection(sock=sock)
        except BaseException:
            sock.close()
            if self._dialled.pop(port, None) is not None:
                upstream[1].close()
            raise

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("peername")[1]
        upstream = self._dialled.pop(port, None)
        if upstream is None:
            self.passages[port] = Passage(accepted_at=time.monotonic())
        passage = self.passages[port]
        try:
            if upstream is None:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    upstream = await asyncio.open_connection(*self.target)
        except (OSError, TimeoutError) as error:
            passage.refusal = repr(error)
            _reset_connection(writer)
            return
        connection = ProxiedConnection(
            client=writer, server=upstream[1], passage=passage
        )
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                for is_up in (True, False):
                    group.create_task(
                        self._forward(
                            reader if is_up else upstream[0], connection, is_up=is_up
                        )
                    )
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
        connection: ProxiedConnection,
        *,
        is_up: bool,
    ) -> None:
        passage = connection.passage
        writer = connection.server if is_up else connection.client
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except OSError as error:
                if not is_up:
                    passage.note_server_end(repr(error))
                raise
            while IS_HELD_BACK.get((self.mode, is_up), False):
                await self._changed.wait()
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not data:
                if not is_up:
                    passage.note_server_end("closed")
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            if is_up:
                passage.n_up += len(data)
            else:
                passage.n_down += len(data)
            writer.write(data)
            await writer.drain()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
