"""Shares the threads of the own interface's HTTP server among its callers.

cheroot gives each connection to a thread that then waits for the whole request. Here
connections wait in the selector until bytes arrive. Requests that have arrived as a
whole go first, unless parsing them takes long. The others never get all threads; when
they wait for one, those that make no progress are rejected, and callers that do not
read their answers are disconnected. When the process runs short of descriptors, idle
connections are closed.
"""

import contextlib
import logging
import resource
import socket
import ssl
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final

from cheroot.wsgi import Server

from .caller_account import CallerAccount
from .logs import log_event
from .metrics import DISPLACED
from .policy.client_limits import (
    MIN_BYTES_PER_S,
    ORDINARY_LINES,
    OWN_DESCRIPTORS,
    START_S,
    Held,
    IdleConnection,
    choose_connection,
    is_overdue,
    limit_descriptors,
    limit_long,
)
from .sockets import is_readable
from .web_exit import end_connections, is_unfinished, read_silence_s

LOGGER: Final = logging.getLogger(__name__)

CHECK_S: Final = 0.25  # a quarter of the time after which a request has stalled
PEEK_BYTES: Final = 65_536  # the size up to which a request counts as ordinary
LOG_S: Final = 1.0  # between two log lines of one kind; they come in bursts
HEAD_END: Final = b"\r\n\r\n"


def is_short(sock: Any) -> bool:
    """Tells whether a whole request waits to be read that is quickly parsed.

    It has neither a large body nor a head of many lines. Over TLS that cannot be told,
    and a request counts as short.
    """
    if isinstance(sock, ssl.SSLSocket):
        return True
    try:
        data = sock.recv(PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return False
    head, end, body = data.partition(HEAD_END)
    if not data or not end:
        return not data  # the end of the connection is handled at once
    if head.count(b"\r\n") > ORDINARY_LINES:
        return False
    lines = head.lower().split(b"\r\n")
    if any(line.startswith(b"transfer-encoding:") for line in lines):
        return bool(body.endswith(b"0\r\n\r\n"))
    lengths = [x for x in lines if x.startswith(b"content-length:")]
    length = lengths[0].partition(b":")[2].strip() if lengths else b"0"
    return not length.isdigit() or len(body) >= int(length[:18])


class WorkQueue:
    """Connections whose requests wait for a thread, short requests first.

    Args:
        max_long: threads that long requests may occupy while they are read.
    """

    def __init__(self, *, max_long: int) -> None:
        self._max_long = max_long
        self._short: deque[Any] = deque()
        self._long: deque[Any] = deque()
        self._n_long = 0
        self._changed = threading.Condition()

    def put(self, item: Any, block: bool = True, timeout: float | None = None) -> None:
        """Adds a connection, or cheroot's request that a thread ends."""
        with self._changed:
            is_long = getattr(item, "is_long", False)
            (self._long if is_long else self._short).append(item)
            self._changed.notify()

    def get(self) -> Any:
        """Waits for the next connection."""
        with self._changed:
            while True:
                if self._short:
                    return self._short.popleft()
                if self._long and self._n_long < self._max_long:
                    self._n_long += 1
                    return self._long.popleft()
                self._changed.wait()

    def qsize(self) -> int:
        """Returns how many connections wait."""
        return len(self._short) + len(self._long)

    def count_long(self) -> int:
        """Returns how many connections with a long request wait."""
        return len(self._long)

    def release(self) -> None:
        """Frees the place of a long request that has been read."""
        with self._changed:
            self._n_long -= 1
            self._changed.notify()


class BoundedServer(Server):
    """cheroot's server with bounds for what its callers may occupy.

    Its connections have the attributes `is_long`, `reading_since`,
    `writing_since`, `n_expected`, `is_displaced`, `known_at` and `arrived_at`.

    Args:
        reject: answers a connection that has no place and closes it.
        account: counts connections and requests.
        is_leaving: tells whether callers are to go elsewhere.
        options: as for cheroot's server.

    Attributes:
        counts: how many connections and requests lost their place.
    """

    def __init__(
        self,
        *args: Any,
        reject: Callable[[Any], None],
        account: CallerAccount,
        is_leaving: Callable[[], bool],
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self.is_leaving = is_leaving
        self.account = account
        n_threads = self.requests.min
        self.counts: Counter[str] = Counter()
        self._work = WorkQueue(max_long=limit_long(n_threads))
        self.requests._queue = self._work
        self.requests.get = self._work.get
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        is_limited = soft != resource.RLIM_INFINITY
        self._max_descriptor = limit_descriptors(soft if is_limited else float("inf"))
        self._max_connections = self._max_descriptor - OWN_DESCRIPTORS
        self._open: set[Any] = set()
        self._reject = reject
        self._logged_at: dict[str, float] = {}
        self._occupied: set[Any] = set()
        self._lock = threading.Lock()  # for what a thread reads

    def serve(self) -> None:
        """Serves until the server is stopped."""
        threading.Thread(target=self._check, name="web-limits", daemon=True).start()
        super().serve()

    def process_conn(self, conn: Any) -> None:
        """Gives a connection to a thread once its request begins to arrive."""
        if not conn.is_known:
            conn.is_known = True
            conn.known_at = time.monotonic()
            self.account.note_accepted()
            self._open.add(conn)
            if self._is_full(conn) and not self._close_idle():
                self._note("connection_rejected")
                self._reject(conn)
                return
            if not isinstance(conn.socket, ssl.SSLSocket) or not conn.socket.pending():
                self.put_conn(conn)
                return
        conn.is_long = not conn.rfile.has_data() and not is_short(conn.socket)
        conn.arrived_at = time.monotonic()
        super().process_conn(conn)

    def list_open(self) -> list[Any]:
        """Lists the connections that are open and were not handed over."""
        return list(self._open)

    def has_unfinished(self, before: float) -> bool:
        """Tells whether a request that came before a monotonic time is unfinished."""
        return any(is_unfinished(conn, before) for conn in self.list_open())

    def finish(self, *, is_idle: Callable[[], bool], timeout_s: float) -> None:
        """Answers the requests that have arrived, and closes all connections.

        Args:
            is_idle: tells whether no connection that was handed over is open.
            timeout_s: how long to wait for that.
        """
        ends_at = time.monotonic() + timeout_s
        finished = threading.Event()

        def run(interval_s: float) -> None:
            if finished.is_set():
                time.sleep(interval_s)  # until `stop` is called
            else:
                end_connections(self, is_idle=is_idle, ends_at=ends_at)
                finished.set()

        # cheroot's thread calls `run` again once its own loop has ended.
        manager = vars(self)["_connections"]
        manager.run = run
        manager._stop_requested = True
        finished.wait(timeout_s + self.expiration_interval + CHECK_S)

    def forget(self, conn: Any) -> None:
        """Notes that a connection is closed or was handed over."""
        self._open.discard(conn)

    def _is_full(self, conn: Any) -> bool:
        # The kernel gives the lowest free number, so a high one tells that many are
        # open, also sockets that were handed over.
        has_high_number = conn.socket.fileno() >= self._max_descriptor
        return has_high_number or len(self._open) > self._max_connections

    def begin_reading(self, conn: Any) -> None:
        """Notes that a thread begins to read a request."""
        conn.reading_since = time.monotonic()
        self._occupied.add(conn)

    def end_reading(self, conn: Any) -> None:
        """Notes that a request was read, or that its connection is closed.

        It is not displaced from then on; whether it was is for the caller to check.
        """
        with self._lock:
            conn.reading_since = None
            was_long, conn.is_long = conn.is_long, False
        if was_long:
            self._work.release()

    def end_request(self, conn: Any) -> None:
        """Notes that a thread is done with a connection."""
        self.end_reading(conn)
        conn.writing_since = conn.arrived_at = None
        self._occupied.discard(conn)

    def _close_idle(self) -> bool:
        """Closes the idle connection that matters least; runs in selector's thread."""
        idle = []
        selector: Any = vars(self)["_connections"]._selector
        for fd, conn in list(selector.connections):
            # One with bytes to read may already be on its way to a thread.
            if conn is not self and not is_readable([fd]):
                has_served = conn.n_answered > 0
                idle.append(
                    IdleConnection(
                        key=(fd, conn), active_at=conn.last_used, has_served=has_served
                    )
                )
        chosen = choose_connection(idle)
        if chosen is None:
            return False
        fd, conn = chosen.key  # type: ignore[misc]
        selector.unregister(fd)
        conn.close()
        self._note("connection_displaced")
        return True

    def _check(self) -> None:
        while self.ready:
            time.sleep(CHECK_S)
            if self._work.count_long():
                self._displace("request_displaced", _describe_request)
            if self._work.qsize():
                self._displace("answer_displaced", _describe_answer)

    def _displace(self, event: str, describe: Callable[[Any], Held | None]) -> None:
        now = time.monotonic()
        for conn in list(self._occupied):
            held = describe(conn)
            if held is None or not is_overdue(held, now):
                continue
            if not held.is_answer:
                with self._lock:
                    if conn.reading_since is None:
                        continue  # it was read meanwhile
                    conn.is_displaced = True
            self._note(event)
            how = socket.SHUT_RDWR if held.is_answer else socket.SHUT_RD
            with contextlib.suppress(OSError):
                conn.socket.shutdown(how)

    def _note(self, event: str) -> None:
        self.counts[event] += 1
        DISPLACED.labels(event).inc()
        now = time.monotonic()
        if now - self._logged_at.get(event, float("-inf")) >= LOG_S:
            self._logged_at[event] = now
            log_event(LOGGER, event, n=self.counts[event])


def _describe_request(conn: Any) -> Held | None:
    since = conn.reading_since
    if since is None:
        return None
    silence_s = min(read_silence_s(conn.socket), time.monotonic() - since)
    return Held(
        key=conn,
        n_bytes=conn.n_expected,
        started_at=since,
        active_at=time.monotonic() - silence_s,
    )


def _describe_answer(conn: Any) -> Held | None:
    since = conn.writing_since
    if since is None:
        return None
    n_bytes = len(conn.wfile._write_buf)
    # What an ordinary caller needs at most; progress in between is not known.
    expected_at = since + START_S + n_bytes / MIN_BYTES_PER_S
    return Held(
        key=conn,
        n_bytes=n_bytes,
        started_at=since,
        active_at=expected_at,
        is_answer=True,
    )
