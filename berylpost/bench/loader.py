"""Generates load in processes that share no interpreter lock with any other code.

One thread reads all streams with one selector and parses nothing beyond counting
events, so that the reader costs less than what it measures.
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
from ..endpoints import split_endpoint

MAX_LATENCY_US: Final = 60_000_000
EVENT_MARKER: Final = b"\ndata: "


@dataclass(slots=True, kw_only=True)
class _OpenStream:
    """The state of one open stream in the reader."""

    socket: socket.socket
    sent_at: float
    last_event_at: float = 0.0
    n_events: int = 0
    tail: bytes = b""
    status: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLoad:
    """The streams to open.

    Attributes:
        path: `/v1/completions` of a daemon or of a baseline server.
        ramp_s: seconds over which the streams are opened.
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
    """Results of the stream reader; times are in milliseconds."""

    n_whole: int
    n_broken: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    statuses: dict[str, int] = field(default_factory=dict)


def run_in_subprocess(function: Any, *arguments: Any) -> Any:
    """Runs a function of this package in a new process and returns its result."""
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(function, arguments)


def run_stream_load(load: StreamLoad) -> StreamFigures:
    """Opens streams and reads each to its end or until the time-out."""
    selector = selectors.DefaultSelector()
    gaps, first_events = (
        HdrHistogram(1, MAX_LATENCY_US, 3),
        HdrHistogram(1, MAX_LATENCY_US, 3),
    )
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
            ended = _read_stream(stream, gaps, first_events)
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
        first_p50_ms=first_events.get_value_at_percentile(50) / 1e3,
        first_p95_ms=first_events.get_value_at_percentile(95) / 1e3,
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
    stream: _OpenStream, gaps: HdrHistogram, first_events: HdrHistogram
) -> bool | None:
    """Reads available data; returns whether the ended answer was whole, else None."""
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
    n_events = text.count(EVENT_MARKER)
    stream.tail = data[-len(EVENT_MARKER) + 1 :]
    if n_events:
        previous_at = stream.last_event_at or stream.sent_at
        histogram = gaps if stream.last_event_at else first_events
        histogram.record_value(max(1, int((now - previous_at) * 1e6)))
        stream.last_event_at = now
        stream.n_events += n_events
    if text.endswith(b"0\r\n\r\n") or (b"[DONE]" in text and text.endswith(b"\n\n")):
        return True
    return None


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingLoad:
    """Bookings to send at a steady rate, distributed over daemons."""

    addresses: tuple[str, ...]
    token: str
    rate: float
    seconds: float
    idempotent: bool = False
    n_threads: int = 48


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingFigures:
    """Results of the booking load; times are in milliseconds."""

    n_sent: int
    n_done: int
    achieved_rate: float
    p50_ms: float
    p95_ms: float
    kinds: dict[str, int] = field(default_factory=dict)


def run_booking_load(load: BookingLoad) -> BookingFigures:
    """Sends bookings, or idempotent reads instead, at a steady rate."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    kinds: dict[str, int] = {}
    clients = [Client(addresses=[a], token=load.token) for a in load.addresses]
    n = max(1, int(load.rate * load.seconds))
    prefix = f"b{random.getrandbits(32):x}"
    started = time.monotonic()

    def send(index: int) -> None:
        due = started + index / load.rate
        time.sleep(max(0.0, due - time.monotonic()))
        address = load.addresses[index % len(load.addresses)]
        client = clients[index % len(clients)]
        sent_at = time.monotonic()
        try:
            if load.idempotent:
                client.call("GET", "/v1/services/intake/count/none", address=address)
            else:
                client.call(
                    "POST",
                    "/v1/services/intake/bookings",
                    address=address,
                    document={"reference": f"{prefix}-{index}"},
                    headers={"Idempotency-Key": f"{prefix}-{index}"},
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
