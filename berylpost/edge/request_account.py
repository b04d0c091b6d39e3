"""Counts callers' connections and requests, and how each of them ended.

At the exit of a daemon the ends add up to the requests that it read. A request that
ends without an answer for a reason of the daemon's own is named in the log.
"""

import logging
from collections import Counter
from enum import StrEnum
from typing import Final

from ..logs import log_event
from ..policy.connection_end import Phase

LOGGER: Final = logging.getLogger(__name__)


class RequestEnd(StrEnum):
    """How a request that was read as a whole has ended.

    Attributes:
        ANSWERED: its answer is complete.
        CALLER_LEFT: the caller closed the connection before.
        BROKEN_OFF: no complete answer was sent, and the caller had not left.
        UNSENT: its answer was complete, but a part of it was dropped.
        UNSERVED: it was dropped before it was passed on.
        UNFINISHED: the process ended before it did.
    """

    ANSWERED = "answered"
    CALLER_LEFT = "caller_left"
    BROKEN_OFF = "broken_off"
    UNSENT = "unsent"
    UNSERVED = "unserved"
    UNFINISHED = "unfinished"


# The request's own log line reports the other ends.
NAMED_ENDS: Final = frozenset(
    {RequestEnd.UNSENT, RequestEnd.UNSERVED, RequestEnd.UNFINISHED}
)


class RequestAccount:
    """Counts of one address that callers connect to.

    Args:
        name: name of the address in log lines.

    Attributes:
        n_accepted: connections accepted.
        n_read: requests read as a whole.
        n_ended: requests that ended, by how they did.
        n_unread_closes: connections that were closed while bytes of the caller waited
            in their socket.
        n_unread_bytes: number of these bytes.
    """

    def __init__(self, *, name: str) -> None:
        self.n_accepted = 0
        self.n_read = 0
        self.n_ended: Counter[RequestEnd] = Counter()
        self.n_unread_closes = 0
        self.n_unread_bytes = 0
        self._name = name

    @property
    def n_open(self) -> int:
        """Number of requests that were read and have not ended."""
        return self.n_read - self.n_ended.total()

    def note_end(self, end: RequestEnd, request_id: str, phase: Phase) -> None:
        """Counts the end of a request; names it if this daemon lost it.

        Args:
            end: how it ended.
            request_id: its id.
            phase: what its connection was busy with.
        """
        self.n_ended[end] += 1
        if end in NAMED_ENDS:
            log_event(
                LOGGER,
                "request_lost",
                logging.WARNING,
                id=request_id,
                end=end,
                phase=phase,
                address=self._name,
            )

    def note_unsent(self, request_id: str) -> None:
        """Recounts an answered request as unsent."""
        self.n_ended[RequestEnd.ANSWERED] -= 1
        self.note_end(RequestEnd.UNSENT, request_id, Phase.UNSENT)

    def note_unread(self, n_bytes: int) -> None:
        """Counts a connection that is closed before all its bytes were read."""
        self.n_unread_closes += 1
        self.n_unread_bytes += n_bytes

    def export_counts(self) -> dict[str, int]:
        """Returns all counts by name, for log lines and metrics."""
        return {
            "connections_accepted": self.n_accepted,
            "requests_read": self.n_read,
            **{f"requests_{end}": self.n_ended[end] for end in RequestEnd},
            "closes_unread": self.n_unread_closes,
            "bytes_unread": self.n_unread_bytes,
        }
