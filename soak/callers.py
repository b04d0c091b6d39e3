"""Callers: they ask for an address, send requests and read the answers byte by byte."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field
from typing import Final

import httptools

from berylpost.fakes.entry_world import HOST

from .world import PORT, Daemon, World

KINDS: Final = ("read", "book", "stream", "stream/once", "open")
READ_BYTES: Final = 65_536
CONNECT_TIMEOUT_S: Final = 1.0
ANSWER_SLACK_S: Final = 3.0  # a caller waits longer than it says, to see what comes
DEADLINE_S: Final = {"stream": 5.0, "stream/once": 5.0}
PLAIN_DEADLINE_S: Final = 1.5
KEPT_SHARE: Final = 0.7  # of requests go over a kept connection
GIVE_UP_SHARE: Final = 0.05  # of callers leave early
PAUSE_S: Final = 0.05  # between two requests of a caller


@dataclass(slots=True, kw_only=True)
class Asked:
    """One request and what came of it; times of this process's monotonic clock.

    Attributes:
        status: of the answer, 0 when none came.
        complete: the answer came whole.
        reused: it went over a connection that was idle before.
        gave_up: the caller left before the answer.
        n_starts: of the daemon when it was sent.
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
    gave_up: bool = False
    answer: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class _Answer:
    """Takes an answer from httptools."""

    def __init__(self, asked: Asked) -> None:
        self.asked = asked
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.asked.headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.asked.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.asked.answer += body

    def on_message_complete(self) -> None:
        self.asked.complete = True


class Caller:
    """One caller after another on at most one kept connection.

    Args:
        world: to call.
        random_state: draws what is asked for.
    """

    def __init__(self, *, world: World, random_state: random.Random) -> None:
        self._world = world
        self._random = random_state
        self._kept: (
            tuple[Daemon, int, asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(self, kind: str, key: str = "") -> Asked | None:
        """Sends one request; None when no daemon could be reached."""
        reused = self._kept is not None
        opened = self._kept or await self._open()
        self._kept = None
        if opened is None:
            return None
        daemon, n_starts, reader, writer = opened
        number = uuid.UUID(int=self._random.getrandbits(128)).hex
        asked = Asked(
            id=number,
            kind=kind,
            key=key or self._random.choice(self._world.keys),
            daemon=daemon.name,
            n_starts=n_starts,
            sent_at=time.monotonic(),
            reused=reused,
            body=number.encode() * self._random.choice((1, 40, 400)),
        )
        writer.write(_render(asked))
        leaves_s = None
        if self._random.random() < GIVE_UP_SHARE:
            leaves_s = self._random.uniform(0.0, 0.2)
        await self._read(asked, reader, leaves_s)
        asked.ended_at = time.monotonic()
        closes = asked.headers.get("connection", "").lower() == "close"
        if asked.complete and not closes and self._random.random() < KEPT_SHARE:
            self._kept = opened
        else:
            writer.transport.abort()
        return asked

    def close(self) -> None:
        """Drops the kept connection."""
        if self._kept is not None:
            self._kept[3].transport.abort()

    async def _read(
        self, asked: Asked, reader: asyncio.StreamReader, leaves_s: float | None
    ) -> None:
        answer = _Answer(asked)
        wait_s = DEADLINE_S.get(asked.kind, PLAIN_DEADLINE_S) + ANSWER_SLACK_S
        try:
            async with asyncio.timeout(wait_s if leaves_s is None else leaves_s):
                while not asked.complete:
                    data = await reader.read(READ_BYTES)
                    if not data:
                        return
                    answer.parser.feed_data(data)
        except TimeoutError:
            asked.gave_up = leaves_s is not None
        except (OSError, httptools.HttpParserError):
            return

    async def _open(
        self,
    ) -> tuple[Daemon, int, asyncio.StreamReader, asyncio.StreamWriter] | None:
        for address in await self._resolve():
            daemon = next(d for d in self._world.daemons if d.ip == address)
            n_starts = daemon.n_starts
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    opened = await asyncio.open_connection(*daemon.front.listen)
            except (OSError, TimeoutError):
                continue
            return daemon, n_starts, *opened
        return None

    async def _resolve(self) -> list[str]:
        """Asks up to three daemons which addresses to use."""
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


def _render(asked: Asked) -> bytes:
    deadline_s = DEADLINE_S.get(asked.kind, PLAIN_DEADLINE_S)
    method = "GET" if asked.kind in ("read", "open") else "POST"
    head = (
        f"{method} /{asked.kind}/{asked.id} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Berylpost-Attempt-Id: {asked.id}\r\n"
        f"X-Berylpost-Deadline-Ms: {int(deadline_s * 1_000)}\r\n"
        f"Authorization: Bearer {asked.key}\r\n"
        f"Content-Length: {len(asked.body)}\r\n\r\n"
    )
    return head.encode() + asked.body
