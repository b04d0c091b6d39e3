"""How the own interface's HTTP server ends without losing a request.

The listener is closed first, in the same step as the look that finds no connection
waiting for it. Then each connection is closed once no request is open on it; see
`policy.connection_end`. All of this runs in the thread that accepts connections, so
that nothing is accepted or given to a thread between a look and a close.
"""

import contextlib
import socket
import struct
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from .policy.connection_end import CloseReason, Phase, may_close
from .sockets import is_readable

if TYPE_CHECKING:
    from .web_workers import BoundedServer

ROUND_S: Final = 0.02
# `struct tcp_info` of Linux: eight octets, then words; the twelfth is
# `tcpi_last_data_recv` in milliseconds.
TCP_INFO: Final = struct.Struct("=8x44xI")


def read_silence_s(sock: Any) -> float:
    """Returns how long the peer has sent nothing."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        return float(TCP_INFO.unpack(info)[0]) / 1_000
    except (OSError, struct.error):
        return 0.0


def find_phase(conn: Any, now: float) -> tuple[Phase, float]:
    """Returns what a connection is busy with, and how long its caller sent nothing."""
    arrived_at = conn.arrived_at
    if arrived_at is None:
        return Phase.IDLE if conn.n_answered else Phase.NEW, now - conn.known_at
    if conn.reading_since is None and not conn.is_long:
        return Phase.RUNNING, 0.0
    if is_readable([conn.socket.fileno()]):
        return Phase.UNPARSED, 0.0
    return Phase.INCOMPLETE, min(read_silence_s(conn.socket), now - arrived_at)


def is_unfinished(conn: Any, before: float) -> bool:
    """Tells whether a request that began to arrive before a time is open."""
    arrived_at = conn.arrived_at
    if arrived_at is None or arrived_at >= before:
        return False
    try:
        phase, silent_s = find_phase(conn, time.monotonic())
    except (OSError, ValueError):
        return False  # it was closed meanwhile
    return not may_close(CloseReason.LEAVING, phase, silent_s=silent_s)


def end_connections(
    server: "BoundedServer", *, is_idle: Callable[[], bool], ends_at: float
) -> None:
    """Accepts what waits, then closes the listener and all connections.

    Args:
        server: the server, whose selector this thread owns.
        is_idle: tells whether no connection that was handed over is open.
        ends_at: monotonic time at which it gives up.
    """
    while time.monotonic() < ends_at:
        manager = vars(server)["_connections"]
        try:
            _run_round(server, manager)
        except OSError:
            manager._remove_invalid_sockets()
            continue
        listener: socket.socket | None = vars(server)["socket"]
        if listener is not None and not is_readable([listener.fileno()]):
            manager._selector.unregister(listener.fileno())
            listener.close()
            vars(server)["socket"] = None
        _close_quiet(server, manager)
        if listener is None and not server.list_open() and is_idle():
            return


def _run_round(server: "BoundedServer", manager: Any) -> None:
    for descriptor, conn in list(manager._selector.select(timeout=ROUND_S)):
        if conn is server:
            conn = manager._from_server_socket(vars(server)["socket"])
        else:
            manager._selector.unregister(descriptor)
        if conn is not None:
            server.process_conn(conn)


def _close_quiet(server: "BoundedServer", manager: Any) -> None:
    """Closes connections on which no request is open; ends stalled requests."""
    now = time.monotonic()
    waiting = {conn: fd for fd, conn in list(manager._selector.connections)}
    for conn in server.list_open():
        with contextlib.suppress(OSError, ValueError):  # it was closed meanwhile
            phase, silent_s = find_phase(conn, now)
            if not may_close(CloseReason.EXIT, phase, silent_s=silent_s):
                continue
            if phase is Phase.INCOMPLETE:
                # Its thread reads the end, refuses the request and closes.
                conn.socket.shutdown(socket.SHUT_RD)
            elif conn in waiting and not is_readable([waiting[conn]]):
                manager._selector.unregister(waiting[conn])
                conn.close()
