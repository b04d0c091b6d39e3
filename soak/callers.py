"""Callers that resolve daemon addresses, send requests and record the answers."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field
from typing import Final

import httptools

from berylpost.fakes.entry_world import HOST

from .periods import Refusal
from .proxy import Passage
from .world import PORT, Daemon, World

REQUEST_KINDS: Final = ("read", "book", "stream", "stream/once", "open")
EVENT_END: Final = b"\n\n"
READ_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 1.0
EXTRA_WAIT_S: Final = 3.0  # waited beyond the deadline sent, to observe late answers
DEADLINE_S: Final = {"stream": 5.0, "stream/once": 5.0}
DEFAULT_DEADLINE_S: Final = 1.5
KEEP_ALIVE_SHARE: Final = 0.7  # of connections kept open after an answer
ABANDON_SHARE: Final = 0.05  # of requests whose caller disconnects early
PAUSE_S: Final = 0.05  # pause between two requests of a caller
BAD_PART_SHARE: Final = 0.3  # of the streams, while a part crashes servers
N_GOOD_PARTS: Final = 4


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """One request and its outcome; times are in seconds on the monotonic clock.

    Attributes:
        id: Attempt id, unique to the request.
        kind: First part of the path, which selects what is requested.
        key: API key.
        daemon: Name of the daemon.
        n_starts: Number of starts of the daemon when its connection was opened.
        sent_at: When the request was sent.
        reused: Whether it was sent on a connection that was idle before.
        body: Body of the request.
        ended_at: When the answer ended or the caller stopped waiting.
        status: HTTP status of the answer; 0 if there was none.
        complete: Whether the whole answer was received.
        abandoned: Whether the caller disconnected before the end of the answer.
        answer: Body of the answer, as far as received.
        headers: Headers of the answer, by lower-case name.
        resumed_id: Attempt id that brought the first event of the stream that this
            request takes up; empty for a new request.
        received: Events of that stream that were received before.
        part: Shared part of the prompt besides the first one; empty without a prompt.
        bad_request: Name of the request that crashes servers; empty for others.
        passage: What the proxy before the daemon has seen of the connection.
    """

    id: str
    kind: str
    key: str
    daemon: str
    n_starts: int
    sent_at: float
    reused: bool
    body: bytes
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    abandoned: bool = False
    answer: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    resumed_id: str = ""
    received: bytes = b""
    part: str = ""
    bad_request: str = ""
    passage: Passage | None = None

    @property
    def path(self) -> str:
        """Path of the request; the same for all that crash servers."""
        return f"/{self.kind}/{self.bad_request or self.id}"

    @property
    def events(self) -> bytes:
        """All whole events of the stream so far."""
        body = self.received + self.answer
        return body[: body.rfind(EVENT_END) + len(EVENT_END)]


class _AnswerParser:
    """Callbacks of the httptools parser, which fill in a request record."""

    def __init__(self, record: RequestRecord) -> None:
        self.record = record
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.record.headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.record.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.record.answer += body

    def on_message_complete(self) -> None:
        self.record.complete = True


class Caller:
    """Sends requests one after the other, reusing at most one idle connection.

    Args:
        world: World whose daemons are called.
        random_state: Random source for requests, reuse and early disconnects.
    """

    def __init__(self, *, world: World, random_state: random.Random) -> None:
        self._world = world
        self._random = random_state
        self._idle_connection: (
            tuple[Daemon, int, asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._lost_stream: RequestRecord | None = None

    async def send_request(self, kind: str, key: str = "") -> RequestRecord | None:
        """Sends one request; returns None if no daemon could be reached."""
        lost, self._lost_stream = self._lost_stream, None
        if lost is not None:
            kind, key = lost.kind, lost.key
        reused = self._idle_connection is not None
        connection = self._idle_connection or await self._open()
        self._idle_connection = None
        if connection is None:
            return None
        daemon, n_starts, reader, writer = connection
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        bad_request = self._choose_bad_request(kind, key, lost)
        body = request_id.encode() * self._random.choice((1, 40, 400))
        record = RequestRecord(
            id=request_id,
            kind=kind,
            key=key or self._random.choice(self._world.keys),
            daemon=daemon.name,
            n_starts=n_starts,
            sent_at=time.monotonic(),
            reused=reused,
            body=bad_request.encode() if bad_request else body,
            bad_request=bad_request,
            resumed_id=(lost.resumed_id or lost.id) if lost is not None else "",
            received=lost.events if lost is not None else b"",
            part=self._choose_part(kind, lost),
        )
        port = writer.get_extra_info("sockname")[1]
        record.passage = daemon.front.passages.get(port)
        writer.write(_render(record))
        abandon_after_s = None
        if self._random.random() < ABANDON_SHARE:
            abandon_after_s = self._random.uniform(0.0, 0.2)
        await self._read(record, reader, abandon_after_s)
        record.ended_at = time.monotonic()
        if kind == "stream" and not record.complete and EVENT_END in record.events:
            self._lost_stream = record
        server_closes = record.headers.get("connection", "").lower() == "close"
        if (
            record.complete
            and not server_closes
            and self._random.random() < KEEP_ALIVE_SHARE
        ):
            self._idle_connection = connection
        else:
            writer.transport.abort()
        return record

    def _choose_part(self, kind: str, lost: RequestRecord | None) -> str:
        if lost is not None:
            return lost.part
        if not kind.startswith("stream"):
            return ""
        bad_part = self._world.bad_part
        is_request = bad_part in self._world.bad_requests
        if bad_part and not is_request and self._random.random() < BAD_PART_SHARE:
            return bad_part
        return f"good-{self._random.randrange(N_GOOD_PARTS)}"

    def _choose_bad_request(
        self, kind: str, key: str, lost: RequestRecord | None
    ) -> str:
        """Returns the name of the request that crashes servers, or an empty text."""
        name = self._world.bad_part
        is_sent = name in self._world.bad_requests and kind == "read" and not key
        if lost is not None or not is_sent:
            return ""
        return name if self._random.random() < BAD_PART_SHARE else ""

    def close(self) -> None:
        """Closes the idle connection."""
        if self._idle_connection is not None:
            self._idle_connection[3].transport.abort()

    async def _read(
        self,
        record: RequestRecord,
        reader: asyncio.StreamReader,
        abandon_after_s: float | None,
    ) -> None:
        answer = _AnswerParser(record)
        wait_s = DEADLINE_S.get(record.kind, DEFAULT_DEADLINE_S) + EXTRA_WAIT_S
        try:
            async with asyncio.timeout(
                wait_s if abandon_after_s is None else abandon_after_s
            ):
                while not record.complete:
                    data = await reader.read(READ_BYTES)
                    if not data:
                        return
                    answer.parser.feed_data(data)
        except TimeoutError:
            record.abandoned = abandon_after_s is not None
        except (OSError, httptools.HttpParserError):
            return

    async def _open(
        self,
    ) -> tuple[Daemon, int, asyncio.StreamReader, asyncio.StreamWriter] | None:
        refused = []
        for address in await self._resolve():
            daemon = next(d for d in self._world.daemons if d.ip == address)
            n_starts = daemon.n_starts
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await daemon.front.connect()
            except (OSError, TimeoutError):
                refused.append(daemon.name)
                continue
            return daemon, n_starts, *connection
        if refused:
            refusal = Refusal(at=time.monotonic(), daemons=tuple(refused))
            self._world.refusals.append(refusal)
        return None

    async def _resolve(self) -> list[str]:
        """Asks up to three daemons for addresses; returns at most three IPs."""
        for daemon in self._random.sample(self._world.daemons, 3):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(daemon.ip, PORT + 2)
                    writer.write(
                        f"GET /v1/resolve?Name={HOST} HTTP/1.1\r\nHost: x\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    data = await reader.read()
                    writer.close()
            except (OSError, TimeoutError):
                continue
            body = data.partition(b"\r\n\r\n")[2]
            addresses = json.loads(body or b"{}").get("Addresses", [])
            ips = [address.partition(":")[0] for address in addresses]
            self._random.shuffle(ips)
            return ips[:3]
        return []


def _render(record: RequestRecord) -> bytes:
    deadline_s = DEADLINE_S.get(record.kind, DEFAULT_DEADLINE_S)
    method = "GET" if record.kind in ("read", "open") else "POST"
    head = (
        f"{method} {record.path} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Berylpost-Attempt-Id: {record.id}\r\n"
        f"X-Berylpost-Deadline-Ms: {int(deadline_s * 1_000)}\r\n"
        f"Authorization: Bearer {record.key}\r\n"
    )
    if record.part:
        head += (
            f"X-Berylpost-Prompt-Prefix: first:50,{record.part}:50,{record.id}:5\r\n"
        )
    if record.resumed_id:
        n_events = record.received.count(EVENT_END)
        head += f"Resumes: {record.resumed_id}\r\nLast-Event-Id: {n_events}\r\n"
    head += f"Content-Length: {len(record.body)}\r\n\r\n"
    return head.encode() + record.body
