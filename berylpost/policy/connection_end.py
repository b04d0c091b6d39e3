"""Decides which of a caller's connections a daemon may close, and when.

Each request whose last byte has reached a daemon ends with a complete answer, unless
its caller leaves or its server breaks off. So a connection is closed only in a phase in
which no such request is open on it. `CLOSABLE_AFTER_S` states this for each reason for
which a daemon closes connections by itself. Check and close without returning to the
event loop.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Final

# Silence after which a caller has stalled; a lost segment is usually sent again sooner.
STALL_S: Final = 1.0
ALWAYS_S: Final = 0.0


class Phase(StrEnum):
    """What a caller's connection is busy with.

    Attributes:
        NEW: nothing was received since it was opened.
        IDLE: nothing was received since the last answer was sent.
        INCOMPLETE: a part of a request was received.
        UNPARSED: bytes were received that may hold a whole request.
        QUEUED: a whole request waits to be served.
        RUNNING: a request is being served and its answer has not begun.
        ANSWERING: a part of the answer was written.
        UNSENT: the answer is complete, and a part of it is not sent yet.
    """

    NEW = "new"
    IDLE = "idle"
    INCOMPLETE = "incomplete"
    UNPARSED = "unparsed"
    QUEUED = "queued"
    RUNNING = "running"
    ANSWERING = "answering"
    UNSENT = "unsent"


class CloseReason(StrEnum):
    """Why a daemon closes a connection that its caller keeps open.

    Attributes:
        IDLE_TIMEOUT: it was idle for longer than the configuration allows.
        DISPLACED: a new connection takes its place.
        LEAVING: the daemon leaves and the connection has been idle for some time.
        EXIT: the process is about to end.
    """

    IDLE_TIMEOUT = "idle_timeout"
    DISPLACED = "displaced"
    LEAVING = "leaving"
    EXIT = "exit"


# Seconds for which the caller must have sent nothing. A phase without an entry is never
# closed for that reason.
CLOSABLE_AFTER_S: Final[Mapping[CloseReason, Mapping[Phase, float]]] = {
    CloseReason.IDLE_TIMEOUT: {
        Phase.NEW: ALWAYS_S,
        Phase.IDLE: ALWAYS_S,
        Phase.INCOMPLETE: ALWAYS_S,
    },
    CloseReason.DISPLACED: {
        Phase.NEW: ALWAYS_S,
        Phase.IDLE: ALWAYS_S,
        Phase.INCOMPLETE: ALWAYS_S,
    },
    CloseReason.LEAVING: {
        Phase.NEW: STALL_S,
        Phase.IDLE: ALWAYS_S,
        Phase.INCOMPLETE: STALL_S,
    },
    CloseReason.EXIT: {
        Phase.NEW: STALL_S,
        Phase.IDLE: ALWAYS_S,
        Phase.INCOMPLETE: STALL_S,
    },
}


def may_close(reason: CloseReason, phase: Phase, *, silent_s: float) -> bool:
    """Tells whether a connection may be closed without losing a request.

    Args:
        reason: why it is to be closed.
        phase: what it is busy with.
        silent_s: for how long the caller has sent nothing, seconds.
    """
    return silent_s >= CLOSABLE_AFTER_S[reason].get(phase, float("inf"))
