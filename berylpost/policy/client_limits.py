"""Which callers lose their place when callers make a daemon hold too much.

Designed for callers that hold a daemon's memory or descriptors, by intent or by fault:
header sections of legal size made of very many lines, bodies that stop before their
last byte, pipelined requests, answers that nobody reads and idle connections, a few
hundred of them on a machine of 160 MB. Ordinary callers send their request at once,
read their answer, and need a few kilobytes.

The order spares them: what has made no progress goes first, by bytes times age, then
requests that are much larger than an ordinary one that asks. If that is not enough, the
one that asks is rejected.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Final

# The initial retransmission time-out of TCP: a caller that lost one packet resumes.
STALL_S: Final = 1.0
# The default `HeaderTimeoutMs`, in which a request of ordinary size has arrived.
START_S: Final = 3.0
# The narrowest link of the current deployments, 5 Mbit/s.
MIN_BYTES_PER_S: Final = 625_000.0
# A request of ordinary size may displace those of this many times its size. Larger ones
# displace none that make progress, or each would end the one before it.
DISPLACED_FACTOR: Final = 4
# Bytes of memory for one header line as stored, beside its text: the tuple (72), its
# place in a list (8), two bytes objects (33 each, rounded up), and the same for the
# copy that is sent on. Measured on 4,071 lines: 98 as stored and 72 for the copy.
HEADER_LINE_BYTES: Final = 240
# Bytes of memory for a parsed request besides its headers: its object, its task and
# its handler's state.
REQUEST_BYTES: Final = 2_048
# Bytes of memory for a connection: transport, protocol, parser and buffers.
CONNECTION_BYTES: Final = 8_192
# Larger than an ordinary request, some 30 header lines and a prompt of 8,000 tokens.
ORDINARY_BYTES: Final = 65_536
# Part of the room for requests that is open to larger ones; the rest is kept for
# ordinary ones. It has room for three bodies of 4 MiB on a machine of 160 MB.
LARGE_SHARE: Final = 0.875
# Part of the room for requests that connections may take.
CONNECTION_SHARE: Final = 0.5
# Descriptors that a daemon opens for itself: listeners, the store, other daemons, logs.
OWN_DESCRIPTORS: Final = 64
# Part of the other descriptors for callers: each request needs one more, to a server.
CALLER_DESCRIPTOR_SHARE: Final = 0.5

# Lines of an ordinary head, four times the 30 above; each takes 4 to 16 us to parse.
ORDINARY_LINES: Final = 128
# Part of a server's threads that may read long requests: those that are incomplete or
# have heads of many lines. The others serve short ones.
LONG_THREAD_SHARE: Final = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """What one caller makes a daemon hold and could lose.

    Attributes:
        key: identifies the caller's connection.
        n_bytes: memory that losing it releases.
        started_at: when its first bytes arrived, seconds.
        active_at: when the caller last sent or read some of it, seconds.
        is_answer: whether it is an answer that the caller has yet to read.
    """

    key: Hashable
    n_bytes: int
    started_at: float
    active_at: float
    is_answer: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class IdleConnection:
    """A connection without a complete request.

    Attributes:
        has_served: whether a request was answered on it.
    """

    key: Hashable
    active_at: float
    has_served: bool


def cost_request(n_lines: int, n_bytes: int) -> int:
    """Returns the memory for a request, from its header lines and its bytes."""
    return REQUEST_BYTES + n_lines * HEADER_LINE_BYTES + n_bytes


def is_overdue(held: Held, now: float) -> bool:
    """Tells whether a caller makes no progress, or less than any ordinary one."""
    if now - held.active_at >= STALL_S:
        return True
    allowed_s = START_S + held.n_bytes / MIN_BYTES_PER_S
    return not held.is_answer and now - held.started_at > allowed_s


def choose_losers(
    holders: Iterable[Held], *, asker_bytes: int, n_needed: float, now: float
) -> list[Held]:
    """Chooses what is given up to make room for a request.

    Args:
        holders: incomplete requests and unread answers, without those of the asker.
        asker_bytes: size of the request that needs the room, once it is complete.
        n_needed: bytes to release.
        now: current time on the clock of `holders`.

    Returns:
        What is given up, first what costs ordinary callers least; empty if all that may
        be given up releases too little.
    """
    all_held = list(holders)
    overdue = [h for h in all_held if is_overdue(h, now)]
    overdue.sort(key=lambda h: h.n_bytes * (now - h.started_at), reverse=True)
    larger = [
        h
        for h in all_held
        if asker_bytes <= ORDINARY_BYTES
        and not h.is_answer
        and h.n_bytes >= DISPLACED_FACTOR * asker_bytes
        and not is_overdue(h, now)
    ]
    larger.sort(key=lambda h: h.n_bytes, reverse=True)
    losers: list[Held] = []
    for held in (*overdue, *larger):
        if n_needed <= 0:
            break
        losers.append(held)
        n_needed -= held.n_bytes
    return losers if n_needed <= 0 else []


def choose_unread(holders: Iterable[Held], now: float) -> Held | None:
    """Chooses the largest unread answer of a caller that has stopped reading."""
    stalled = [h for h in holders if h.is_answer and is_overdue(h, now)]
    return max(stalled, key=lambda h: h.n_bytes, default=None)


def choose_connection(
    connections: Iterable[IdleConnection],
) -> IdleConnection | None:
    """Chooses the connection that makes way for a new one.

    A connection on which no request was answered goes first, then the one that was idle
    for longest.
    """
    return min(connections, key=lambda c: (c.has_served, c.active_at), default=None)


def limit_connections(n_descriptors: float, request_bytes: float) -> int:
    """Returns how many connections callers may have open at once.

    Args:
        n_descriptors: descriptors that the process may open.
        request_bytes: memory that requests may take.
    """
    for_callers = (n_descriptors - OWN_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
    in_memory = request_bytes * CONNECTION_SHARE / CONNECTION_BYTES
    return max(1, int(min(for_callers, in_memory, 1 << 30)))


def limit_descriptors(n_descriptors: float) -> float:
    """Returns how many descriptors may be open before callers' connections are closed.

    Args:
        n_descriptors: descriptors that the process may open.
    """
    for_callers = (n_descriptors - OWN_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
    return max(1.0, for_callers + OWN_DESCRIPTORS)


def limit_long(n_threads: int) -> int:
    """Returns how many threads may read long requests."""
    return max(1, int(n_threads * LONG_THREAD_SHARE))
