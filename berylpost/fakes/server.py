"""The HTTP server of all fakes except `replica`, on asyncio streams and httptools.

A fake is a function from a request to a reply. Faults are injected here, in one place,
so that every fake has the same ones.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import parse_qsl, unquote, urlsplit
from weakref import WeakKeyDictionary

import httptools
import msgspec

from ..endpoints import split_endpoint

READ_BYTES: Final = 65_536
MAX_ENDLESS_BYTES: Final = 1 << 30
CRASH_S: Final = 0.6  # from a crash until the server is back
REASONS: Final = {200: "OK", 201: "Created", 404: "Not Found", 503: "Unavailable"}


@dataclass(slots=True, kw_only=True)
class Request:
    """One parsed request."""

    method: str = ""
    path: str = ""
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def decode(self) -> Any:
        """Decodes the body as JSON; returns None for an empty body."""
        return msgspec.json.decode(self.body) if self.body else None


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """One response; `stream`, if set, is sent in chunks instead of `body`."""

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None


def _render(reply: Reply) -> bytes:
    """Renders a response without a stream."""
    head = f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Other')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
    head += f"Content-Length: {len(reply.body)}\r\n\r\n"
    return head.encode("latin-1") + reply.body


Handler = Callable[[Request], Awaitable[Reply]]


def reply_json(value: object, status: int = 200, *headers: tuple[str, str]) -> Reply:
    """Makes a JSON response."""
    return Reply(
        status=status,
        headers=(("Content-Type", "application/json"), *headers),
        body=msgspec.json.encode(value),
    )


class FaultPlan(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults to inject; each count decreases with every fault injected.

    Attributes:
        delay_s: wait before a request is handled.
        down: whether to refuse every request with 503, without effect.
        lose_answers: number of responses to drop after the request took effect.
        refuse: number of requests to refuse with 503, without effect.
        cut_after: number of chunks after which streamed responses are cut off; 0 for
            never.
        cuts: number of streamed responses to cut off.
        closes: whether a response is cut off in the middle of a chunk's data and its
            connection closed gracefully, instead of reset.
        framed: whether streamed responses have chunks; if not, they end with their
            connection.
        crash_on: text in the prompts that crash an engine which begins to answer them,
            or in the paths and bodies of calls that crash a service which begins to run
            them; the server is back after `CRASH_S`. Empty for none.
        linger_s: time for which the address accepts connections after a crash.
        rate_limit: requests a second that an engine names in its load reports; negative
            for none.
        cut_heads: number of responses whose head breaks off and whose connection is
            then closed gracefully; the request took effect.
        repeats_refusals: whether a refusal is written once more after the next request
            on its connection.
        endless: number of responses that go on without end until the caller closes.
        endless_head: whether their head goes on, rather than their body.
        endless_trailers: number of streamed responses that are followed by trailer
            fields without end.
        match: text that the path of affected requests contains; does not limit cuts.
        methods: methods of affected requests; empty for all; does not limit cuts.
    """

    delay_s: float = 0.0
    down: bool = False
    lose_answers: int = 0
    refuse: int = 0
    cut_after: int = 0
    cuts: int = 0
    closes: bool = False
    framed: bool = True
    crash_on: str = ""
    linger_s: float = 0.0
    rate_limit: float = -1.0
    cut_heads: int = 0
    repeats_refusals: bool = False
    endless: int = 0
    endless_head: bool = False
    endless_trailers: int = 0
    match: str = ""
    methods: tuple[str, ...] = ()


class _RequestBuilder:
    """Builds one request from the callbacks of httptools."""

    def __init__(self) -> None:
        self.request = Request()
        self.complete = False
        self._url = b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        parts = urlsplit(self._url.decode("latin-1"))
        self.request.path = unquote(parts.path)
        self.request.query = dict(parse_qsl(parts.query))
        self.complete = True


class FakeServer:
    """The HTTP server of one fake.

    Args:
        endpoint: IP-NUMBER:PORT to listen on.
        handle: returns the reply to a request.
        list_headers: returns headers of all replies, refusals too.

    Attributes:
        faults: faults to inject, replaced by `POST /fault`.
        refused_ips: IP addresses of clients whose requests are refused with 503.
        n_calls: requests received so far, refused ones included, `/fault` excluded.
        crashed_at: when it crashed, monotonic seconds.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        handle: Handler,
        list_headers: Callable[[], tuple[tuple[str, str], ...]] = tuple,
    ) -> None:
        self._list_headers = list_headers
        self.endpoint = endpoint
        self.faults = FaultPlan()
        self.refused_ips: set[str] = set()
        self.n_calls = 0
        self.crashed_at: list[float] = []
        self._has_ended = False
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._refusals: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )

    async def start(self) -> None:
        """Starts listening."""
        host, port = split_endpoint(self.endpoint)
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=1_024
        )

    async def stop(self) -> None:
        """Stops listening and aborts every open connection, as when a VM fails."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in list(self._connections):
            writer.transport.abort()

    async def crash(self) -> None:
        """Ends the server and starts it again after `CRASH_S`."""
        if self._has_ended:
            return
        self._has_ended = True
        self.crashed_at.append(time.monotonic())
        self._abort_connections()
        await asyncio.sleep(self.faults.linger_s)
        await self.stop()
        await asyncio.sleep(CRASH_S)
        self._has_ended = False
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._has_ended:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, httptools.HttpParserError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        builder = _RequestBuilder()
        parser = httptools.HttpRequestParser(builder)
        while not builder.complete:
            data = await reader.read(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        request = builder.request
        request.method = parser.get_method().decode()
        if request.path == "/fault":
            self.faults = msgspec.json.decode(request.body, type=FaultPlan)
            await self._send(writer, reply_json({}))
            return True
        self.n_calls += 1
        if writer.get_extra_info("peername")[0] in self.refused_ips:
            await self._send(writer, reply_json({"error": "unavailable"}, 503))
            return True
        if self.faults.endless > 0 and self.faults.match in request.path:
            self.faults.endless -= 1
            return await self._send_endlessly(writer)
        earlier = self._refusals.pop(writer, None)
        if earlier is not None:
            writer.write(earlier)
        reply = await self._answer(request)
        if reply is not None and self.faults.cut_heads > 0 and reply.status != 503:
            self.faults.cut_heads -= 1
            return await self._cut_head(writer, reply)
        if reply is None:
            # The request took effect, but the client gets no response.
            writer.transport.abort()
            return False
        if reply.status == 503 and self.faults.repeats_refusals:
            self._refusals[writer] = _render(reply)
        return await self._send(writer, reply) and bool(parser.should_keep_alive())

    async def _answer(self, request: Request) -> Reply | None:
        faults = self.faults
        applies = faults.match in request.path and (
            not faults.methods or request.method in faults.methods
        )
        if applies and faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if applies and (faults.down or faults.refuse > 0):
            faults.refuse -= 1
            return reply_json({"error": "unavailable"}, 503)
        reply = await self._handle(request)
        if applies and faults.lose_answers > 0:
            faults.lose_answers -= 1
            return None
        return reply

    def _take_cut_after(self) -> int:
        if not self.faults.cut_after or self.faults.cuts <= 0:
            return 0
        self.faults.cuts -= 1
        return self.faults.cut_after

    async def _send(self, writer: asyncio.StreamWriter, reply: Reply) -> bool:
        """Sends a response; returns whether the connection may be used again."""
        head = f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Other')}\r\n"
        headers = (*reply.headers, *self._list_headers())
        head += "".join(f"{name}: {value}\r\n" for name, value in headers)
        if reply.stream is None:
            head += f"Content-Length: {len(reply.body)}\r\n\r\n"
            writer.write(head.encode("latin-1") + reply.body)
            await writer.drain()
            return True
        return await self._send_stream(writer, head.encode("latin-1"), reply.stream)

    async def _cut_head(self, writer: asyncio.StreamWriter, reply: Reply) -> bool:
        """Sends a half of a response's head and closes gracefully."""
        data = _render(reply)
        writer.write(data[: data.index(b"\r\n\r\n") // 2])
        await writer.drain()
        return False

    async def _send_endlessly(self, writer: asyncio.StreamWriter) -> bool:
        """Sends a response without end, bounded in case nobody closes it."""
        end = b"X-More: " if self.faults.endless_head else b"\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + end)
        return await self._repeat_line(writer)

    async def _repeat_line(self, writer: asyncio.StreamWriter) -> bool:
        line = b"X-More: and-more\r\n"
        for _ in range(MAX_ENDLESS_BYTES // (1_000 * len(line))):
            writer.write(line * 1_000)
            await writer.drain()
        return False

    async def _send_stream(
        self, writer: asyncio.StreamWriter, head: bytes, chunks: AsyncIterator[bytes]
    ) -> bool:
        framed = self.faults.framed

        def send(data: bytes) -> None:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if framed else data)

        framing = b"Transfer-Encoding: chunked" if framed else b"Connection: close"
        writer.write(head + framing + b"\r\n\r\n")
        cut_after = self._take_cut_after()
        async with contextlib.aclosing(chunks) as stream:  # type: ignore[type-var]
            n_chunks = 0
            async for chunk in stream:
                n_chunks += 1
                if cut_after and n_chunks > cut_after:
                    if self.faults.closes:
                        send(chunk[: len(chunk) // 2])
                        break
                    writer.transport.abort()
                    raise ConnectionResetError("response cut off by an injected fault")
                send(chunk)
                await writer.drain()
        if framed and self.faults.endless_trailers > 0:
            self.faults.endless_trailers -= 1
            writer.write(b"0\r\n")
            await self._repeat_line(writer)
        elif framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return framed
