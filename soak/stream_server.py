"""Process of a server that streams: `python -m soak.stream_server ID IP PORT VERSION`.

What a stream consists of is a function of its path, so that the rig knows it without
asking; see `StreamPlan`. The server writes as real ones do: events in pieces or several
at once, with or without chunks, with ids that skip. Orders are read from standard
input, one a line: `break N` breaks off N of the next streams.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import httptools

from berylpost.fakes.replica import IncomingRequest

READ_BYTES: Final = 65_536
MAX_ID_STEP: Final = 7
PIECE_PAUSE_S: Final = 0.004
HANDLE: Final = "handle"


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamPlan:
    """What a stream consists of.

    Attributes:
        name: unique name; draws the ids of the events.
        n_events: number of events.
        framing: `chunked` or `close`, which marks the end by closing.
        packing: `whole` events, `pieces` of an event, or several events `joined`.
        size: bytes of padding in an event.
        pause_ms: time between two events.
        skips: whether the ids are not consecutive.
    """

    name: str
    n_events: int
    framing: str
    packing: str
    size: int
    pause_ms: int
    skips: bool

    def render(self) -> str:
        """Renders the plan as the last part of a path."""
        return (
            f"{self.name}.{self.n_events}.{self.framing}.{self.packing}"
            f".{self.size}.{self.pause_ms}.{int(self.skips)}"
        )

    def list_ids(self) -> list[int]:
        """Lists the ids of the events, which increase."""
        steps = random.Random(self.name)
        ids, last = [], 0
        for _ in range(self.n_events):
            last += steps.randint(1, MAX_ID_STEP) if self.skips else 1
            ids.append(last)
        return ids


def parse_plan(target: str) -> StreamPlan:
    """Parses the path of a request for a stream."""
    name, n_events, framing, packing, size, pause_ms, skips = target.rsplit("/", 1)[
        1
    ].split(".")
    return StreamPlan(
        name=name,
        n_events=int(n_events),
        framing=framing,
        packing=packing,
        size=int(size),
        pause_ms=int(pause_ms),
        skips=skips == "1",
    )


def render_event(plan: StreamPlan, event_id: int, version: str) -> bytes:
    """Renders an event, which names its stream, its id and the server's version."""
    head = "x-berylpost-weight-versions: 1\n" if event_id % 5 == 1 else ""
    text = f"{plan.name} {event_id} {version} "
    return f"{head}id: {event_id}\ndata: {text}{'x' * plan.size}\n\n".encode()


class StreamServer:
    """A backend server that streams.

    Args:
        id: id that requests have to name.
        version: version of its software, which each event names.

    Attributes:
        n_to_break: how many of the next streams it breaks off.
    """

    def __init__(self, *, id: str, version: str) -> None:
        self.n_to_break = 0
        self._id = id
        self._version = version
        self._stopped: set[str] = set()
        self._running: dict[str, int] = {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(ConnectionError, httptools.HttpParserError):
            while await self._serve_one(reader, writer):
                pass
        with contextlib.suppress(RuntimeError):
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = IncomingRequest()
        parser = httptools.HttpRequestParser(request)
        while not request.complete:
            data = await reader.read(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        if request.target == b"/v1/kv-move":
            return self._move(request, writer)
        if request.headers.get("x-berylpost-expect-replica") != self._id:
            _write(writer, 421, b"")
            return True
        if not request.target.startswith(b"/stream"):
            _write(writer, 200, b"ok", _echo(request))
            return True
        work = asyncio.ensure_future(self._stream(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else False
        finally:
            work.cancel()
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone

    def _move(self, request: IncomingRequest, writer: asyncio.StreamWriter) -> bool:
        """Stops a run; the copy of its memory always arrives."""
        call = json.loads(request.body)
        attempt = call["Id"]
        if attempt not in self._running:
            _write(writer, 404, b"{}")
            return True
        if call.get("Last"):
            self._stopped.add(attempt)
        answer = {"Handle": HANDLE, "CreateRevision": self._running[attempt]}
        _write(writer, 200, json.dumps(answer).encode())
        return True

    async def _stream(
        self, request: IncomingRequest, writer: asyncio.StreamWriter
    ) -> bool:
        plan = parse_plan(request.target.decode())
        attempt = request.headers.get("x-berylpost-attempt-id", "")
        after = int(request.headers.get("last-event-id") or 0)
        print(f"run {attempt} {after}", flush=True)
        ids = [event_id for event_id in plan.list_ids() if event_id > after]
        broken_at = -1
        if self.n_to_break and ids:
            self.n_to_break -= 1
            broken_at = random.randrange(len(ids))
        chunked = plan.framing == "chunked"
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *_echo(request)]
        lines += ["X-Berylpost-Weight-Versions: 1"]
        lines += ["Transfer-Encoding: chunked"] if chunked else []
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        pending = b""
        self._running[attempt] = 0
        self._stopped.discard(attempt)
        try:
            for number, event_id in enumerate(ids):
                event = render_event(plan, event_id, self._version)
                if number == broken_at:
                    return await _break_off(writer, pending, event, chunked)
                pending += event
                joins = plan.packing == "joined" and number % 3 < 2
                if joins and number + 1 < len(ids):
                    continue
                await _send(writer, pending, chunked, plan.packing == "pieces")
                pending = b""
                self._running[attempt] = number + 1
                await asyncio.sleep(plan.pause_ms / 1_000)
                if attempt in self._stopped:
                    return False
        finally:
            del self._running[attempt]
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return chunked


def _echo(request: IncomingRequest) -> list[str]:
    attempt = request.headers.get("x-berylpost-attempt-id", "")
    return [
        f"X-Berylpost-Attempt-Id: {attempt}",
        "X-Berylpost-Replica-Signature: 3e1b.07",
    ]


def _write(
    writer: asyncio.StreamWriter, status: int, body: bytes, headers: Sequence[str] = ()
) -> None:
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def _frame(data: bytes, chunked: bool) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n" if chunked and data else data


async def _send(
    writer: asyncio.StreamWriter, data: bytes, chunked: bool, in_pieces: bool
) -> None:
    """Sends events, in pieces that end inside an event if asked to."""
    step = max(1, len(data) // 3) if in_pieces else len(data)
    for start in range(0, len(data), step):
        writer.write(_frame(data[start : start + step], chunked))
        await writer.drain()
        if in_pieces:
            await asyncio.sleep(PIECE_PAUSE_S)


async def _break_off(
    writer: asyncio.StreamWriter, pending: bytes, event: bytes, chunked: bool
) -> bool:
    """Ends a stream early: inside an event or between two, orderly or by a reset.

    An orderly end between two events marks a stream without chunks as complete, so that
    is not drawn.
    """
    inside = random.random() < 0.5
    resets = random.random() < 0.5 or not (chunked or inside)
    data = pending + (event[: random.randrange(1, len(event) - 1)] if inside else b"")
    writer.write(_frame(data, chunked))
    with contextlib.suppress(ConnectionError):
        await writer.drain()
    if resets:
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    return False


async def run(id: str, ip: str, port: int, version: str) -> None:
    """Serves until the process is killed or standard input is closed."""
    server = StreamServer(id=id, version=version)
    await asyncio.start_server(server.serve, ip, port, reuse_address=True)
    print("ready", flush=True)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(lines), sys.stdin
    )
    while line := await lines.readline():
        order, _, value = line.decode().strip().partition(" ")
        if order == "break":
            server.n_to_break = int(value)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
