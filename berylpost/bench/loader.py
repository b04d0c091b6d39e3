"""Load from processes of their own, so that it does not share a lock with others.

Streams are read by one thread with one selector and no parsing beyond counting
events, which keeps the reader cheaper than what it measures.
"""

import random
import selectors
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from typing import Any, Final

import msgspec
from hdrh.histogram import HdrHistogram

from ..client import Client, Problem
from ..settings import split_endpoint

MAX_US: Final = 60_000_000
EVENT: Final = b"\ndata: "


@dataclass(slots=True, kw_only=True)
class _OpenStream:
    """One stream as the reader sees it."""

    socket: socket.socket
    sent_at: float
    last_at: float = 0.0
    n_events: int = 0
    tail: bytes = b""
    status: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLoad:
    """What to ask for.

    Attributes:
        path: `/v1/completions` of a daemon, or of a baseline.
        ramp_s: over how long the streams are opened.
    """

    address: str
    token: str
    model: str
    n_streams: int
    n_tokens: int
    ramp_s: float
    path: str = "/v1/completions"
    timeout_s: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamFigures:
    """What the reader saw; times in milliseconds."""

    n_whole: int
    n_broken: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    statuses: dict[str, int] = field(default_factory=dict)


def run_elsewhere(function: Any, *arguments: Any) -> Any:
    """Runs a function of this package in a new process and returns its result."""
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(function, arguments)


def load_streams(load: StreamLoad) -> StreamFigures:
    """Opens streams and reads them to their ends."""
    selector = selectors.DefaultSelector()
    gaps, firsts = HdrHistogram(1, MAX_US, 3), HdrHistogram(1, MAX_US, 3)
    n_opened = n_whole = n_broken = 0
    statuses: dict[str, int] = {}
    started = time.monotonic()
    n_open = 0
    while n_opened < load.n_streams or n_open:
        now = time.monotonic()
        if now - started > load.timeout_s + load.ramp_s:
            break
        due = min(
            load.n_streams,
            int((now - started) / max(load.ramp_s, 1e-3) * load.n_streams) + 1,
        )
        while n_opened < due:
            stream = _open_stream(load, n_opened)
            selector.register(stream.socket, selectors.EVENT_READ, stream)
            n_opened += 1
            n_open += 1
        for key, _ in selector.select(0.005):
            stream = key.data
            ended = _read_stream(stream, gaps, firsts)
            if ended is None:
                continue
            selector.unregister(stream.socket)
            stream.socket.close()
            n_open -= 1
            n_whole += ended
            n_broken += not ended
            status = stream.status.decode("latin-1")
            statuses[status] = statuses.get(status, 0) + 1
    return StreamFigures(
        n_whole=n_whole,
        n_broken=n_broken + n_open,
        first_p50_ms=firsts.get_value_at_percentile(50) / 1e3,
        first_p95_ms=firsts.get_value_at_percentile(95) / 1e3,
        gap_p50_ms=gaps.get_value_at_percentile(50) / 1e3,
        gap_p95_ms=gaps.get_value_at_percentile(95) / 1e3,
        gap_p99_ms=gaps.get_value_at_percentile(99) / 1e3,
        statuses=statuses,
    )


def _open_stream(load: StreamLoad, n: int) -> _OpenStream:
    body = msgspec.json.encode(
        {
            "model": load.model,
            "prompt": f"summary {n} " + "log " * 40,
            "max_tokens": load.n_tokens,
            "stream": True,
        }
    )
    head = (
        f"POST {load.path} HTTP/1.1\r\nHost: {load.address}\r\n"
        f"Authorization: Bearer {load.token}\r\nPrefer: wait=60\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    sock = socket.create_connection(split_endpoint(load.address), timeout=10)
    sent_at = time.monotonic()
    sock.sendall(head.encode() + body)
    sock.setblocking(False)
    return _OpenStream(socket=sock, sent_at=sent_at)


def _read_stream(
    stream: _OpenStream, gaps: HdrHistogram, firsts: HdrHistogram
) -> bool | None:
    """Reads what is there; at the end returns whether the answer was whole."""
    try:
        data = stream.socket.recv(65_536)
    except BlockingIOError:
        return None
    except OSError:
        return False
    now = time.monotonic()
    if not data:
        return False
    if not stream.status:
        stream.status = data[9:12]
    text = stream.tail + data
    n_events = text.count(EVENT)
    stream.tail = data[-len(EVENT) + 1 :]
    if n_events:
        since = stream.last_at or stream.sent_at
        histogram = gaps if stream.last_at else firsts
        histogram.record_value(max(1, int((now - since) * 1e6)))
        stream.last_at = now
        stream.n_events += n_events
    if text.endswith(b"0\r\n\r\n") or (b"[DONE]" in text and text.endswith(b"\n\n")):
        return True
    return None


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingLoad:
    """Bookings at a rate over a time, spread over daemons."""

    addresses: tuple[str, ...]
    token: str
    rate: float
    seconds: float
    idempotent: bool = False
    n_threads: int = 48


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingFigures:
    """What callers saw; times in milliseconds."""

    n_sent: int
    n_done: int
    achieved_rate: float
    p50_ms: float
    p95_ms: float
    kinds: dict[str, int] = field(default_factory=dict)


def load_bookings(load: BookingLoad) -> BookingFigures:
    """Sends bookings, or idempotent reads in their place, at a steady rate."""
    histogram = HdrHistogram(1, MAX_US, 3)
    kinds: dict[str, int] = {}
    clients = [Client(addresses=[a], token=load.token) for a in load.addresses]
    n = max(1, int(load.rate * load.seconds))
    prefix = f"b{random.getrandbits(32):x}"
    started = time.monotonic()

    def send(place: int) -> None:
        due = started + place / load.rate
        time.sleep(max(0.0, due - time.monotonic()))
        address = load.addresses[place % len(load.addresses)]
        client = clients[place % len(clients)]
        sent_at = time.monotonic()
        try:
            if load.idempotent:
                client.call("GET", "/v1/services/intake/count/none", address=address)
            else:
                client.call(
                    "POST",
                    "/v1/services/intake/bookings",
                    address=address,
                    document={"reference": f"{prefix}-{place}"},
                    headers={"Idempotency-Key": f"{prefix}-{place}"},
                )
            kind = "done"
        except Problem as problem:
            kind = problem.kind
        kinds[kind] = kinds.get(kind, 0) + 1
        histogram.record_value(max(1, int((time.monotonic() - sent_at) * 1e6)))

    with ThreadPoolExecutor(load.n_threads) as executor:
        list(executor.map(send, range(n)))
    took_s = time.monotonic() - started
    return BookingFigures(
        n_sent=n,
        n_done=kinds.get("done", 0),
        achieved_rate=n / took_s,
        p50_ms=histogram.get_value_at_percentile(50) / 1e3,
        p95_ms=histogram.get_value_at_percentile(95) / 1e3,
        kinds=kinds,
    )
