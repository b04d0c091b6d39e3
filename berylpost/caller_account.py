"""Counts callers' connections and requests at the own interface, and how each ended.

The threads of the HTTP server count a request when they pass it to a handler, and its
end unless they hand its connection over to the relay, which then counts the end.
"""

import threading

from .edge.request_account import RequestAccount, RequestEnd
from .policy.connection_end import Phase


class CallerAccount:
    """Counts of the own interface; callable from any thread."""

    def __init__(self) -> None:
        self._account = RequestAccount(name="http")
        self._lock = threading.Lock()

    def note_accepted(self) -> None:
        """Counts a connection."""
        with self._lock:
            self._account.n_accepted += 1

    def note_read(self) -> None:
        """Counts a request that is passed to a handler."""
        with self._lock:
            self._account.n_read += 1

    def note_end(self, end: RequestEnd, request_id: str, phase: Phase) -> None:
        """Counts the end of a request; names it if this daemon lost it."""
        with self._lock:
            self._account.note_end(end, request_id, phase)

    def note_unread(self, n_bytes: int) -> None:
        """Counts a connection that is closed before all its bytes were read."""
        with self._lock:
            self._account.note_unread(n_bytes)

    def export_counts(self) -> dict[str, int]:
        """Returns all counts by name, and how many requests have not ended."""
        with self._lock:
            n_open = self._account.n_open
            return {"requests_open": n_open, **self._account.export_counts()}
