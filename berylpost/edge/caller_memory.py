"""What one caller's connection counts in the budget of all callers."""

from collections.abc import Callable

from ..policy.client_limits import Held
from .buffer_budget import BufferBudget
from .clock import read_boottime


class CallerMemory:
    """Bytes that one connection holds: its requests and what it has yet to read.

    Args:
        budget: counts the bytes of all callers.
        reject: rejects the incomplete request as not run; drops it and queued ones.
        abort: closes the connection at once.
        read_unsent: returns the bytes written that are not sent yet.

    Attributes:
        arrived_at: boot-time clock of the first bytes of the incomplete request.
        active_at: boot-time clock of the last bytes received.
        n_expected: bytes of body that the incomplete request announces.
        n_unsent: bytes counted since the caller has not read them.
        unread_since: boot-time clock of the last progress in reading them.
    """

    def __init__(
        self,
        *,
        budget: BufferBudget,
        reject: Callable[[], None],
        abort: Callable[[], None],
        read_unsent: Callable[[], int],
    ) -> None:
        self.arrived_at = self.active_at = self.unread_since = 0.0
        self.n_unsent = 0
        self.reject_overload = reject
        self._budget = budget
        self._abort = abort
        self._read_unsent = read_unsent
        self.n_expected = 0
        self._n_incomplete = 0
        self._n_queued = 0
        self._n_running = 0

    def take(self, n_incomplete: int) -> bool:
        """Counts the incomplete request, whose bytes are now `n_incomplete`.

        Returns:
            Whether it may be held; otherwise its former bytes stay counted.
        """
        n_more = n_incomplete - self._n_incomplete
        n_total = max(n_incomplete, self.n_expected) + self._n_queued + self._n_running
        if n_more > 0 and not self._budget.take(n_more, self, n_total):
            return False
        self._budget.release_request(max(0, -n_more))
        self._n_incomplete = n_incomplete
        self._register()
        return True

    def complete(self) -> None:
        """Counts the incomplete request as queued from now on."""
        self._n_queued += self._n_incomplete
        self._n_incomplete = 0

    def begin(self, n_bytes: int) -> None:
        """Counts a queued request of `n_bytes` as running; it can no longer be lost."""
        self._n_queued -= n_bytes
        self._n_running += n_bytes
        self._register()

    def release(self, n_bytes: int) -> None:
        """Releases a running request of `n_bytes`."""
        self._n_running -= n_bytes
        self._budget.release_request(n_bytes)

    def drop_unserved(self) -> None:
        """Releases the incomplete request and the queued ones."""
        self._budget.release_request(self._n_incomplete + self._n_queued)
        self._n_incomplete = self._n_queued = 0
        self._register()

    def count_unsent(self, n_bytes: int | None = None) -> None:
        """Counts what the caller has not read; by default all that is buffered."""
        before = self.n_unsent
        self.n_unsent = self._read_unsent() if n_bytes is None else n_bytes
        if not before or self.n_unsent < before:
            self.unread_since = read_boottime()
        self._register()
        self._budget.adjust(self.n_unsent - before)

    def list_held(self) -> list[Held]:
        """Lists what the caller could lose: a request, an answer that it must read."""
        held = []
        if self._n_incomplete or self._n_queued:
            held.append(
                Held(
                    key=self,
                    n_bytes=self._n_incomplete + self._n_queued,
                    started_at=self.arrived_at,
                    active_at=self.active_at,
                )
            )
        if self.n_unsent:
            self.count_unsent()
        if self.n_unsent:
            held.append(
                Held(
                    key=self,
                    n_bytes=self.n_unsent,
                    started_at=self.unread_since,
                    active_at=self.unread_since,
                    is_answer=True,
                )
            )
        return held

    def give_up_answer(self) -> None:
        """Closes the connection and releases the bytes of what is unsent."""
        self._abort()
        self.count_unsent(0)

    def _register(self) -> None:
        if self._n_incomplete or self._n_queued or self.n_unsent:
            self._budget.enter(self)
        else:
            self._budget.leave(self)
