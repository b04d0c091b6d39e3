"""The memory that everything callers make a daemon hold may take together.

It counts connections, header sections as stored, parsed requests, bodies and unsent
answers, each until it is released. Each connection also has bounds of its own; this one
keeps many connections from exceeding the memory of the process. `policy.client_limits`
decides who loses when requests take their part. Of the answers, first those that
callers have stopped reading are given up, then the largest incomplete one, which spares
those of ordinary size.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Final, Protocol

from ..logs import log_event
from ..policy.client_limits import (
    LARGE_SHARE,
    ORDINARY_BYTES,
    Held,
    choose_losers,
    choose_unread,
)
from .clock import read_boottime

LOGGER: Final = logging.getLogger(__name__)

# Share of the process's memory. A body exists up to three times while it is sent on,
# and an idle daemon takes a third of the memory of the smallest machines, 160 MB.
BUFFER_SHARE: Final = 0.2
IDLE_BYTES: Final = 160e6 / 3
MAX_COPIES: Final = 3
# Room for four requests of legal size, whatever the memory.
MIN_LIMIT_BYTES: Final = 10e6
# Share that requests may take, so that there is room for their answers.
REQUEST_SHARE: Final = 0.5


class AnswerBuffer(Protocol):
    """Holds the part of an answer that has arrived.

    Attributes:
        n_held: number of bytes that it holds.
    """

    n_held: int

    def give_up(self) -> None:
        """Fails the answer and releases its bytes."""


class Holder(Protocol):
    """What a caller's connection holds.

    Attributes:
        reject_overload: rejects the incomplete request as not run and drops it.
    """

    reject_overload: Callable[[], None]

    def list_held(self) -> list[Held]:
        """Lists what the caller could lose; the holder is the key."""

    def give_up_answer(self) -> None:
        """Closes the connection and releases the bytes of what is unsent."""


class BufferBudget:
    """Bytes that callers make this daemon hold.

    Args:
        memory_bytes: memory that the process may use.

    Attributes:
        n_held: bytes of requests and answers.
        n_connection_bytes: bytes of connections beside those.
        counts: how many requests were rejected, displaced and answers given up.
    """

    def __init__(self, *, memory_bytes: float) -> None:
        beside_idle = (memory_bytes - IDLE_BYTES) / MAX_COPIES
        share = min(memory_bytes * BUFFER_SHARE, beside_idle)
        self.limit = max(MIN_LIMIT_BYTES, share)
        self.n_held = 0
        self.n_connection_bytes = 0
        self._n_requests = 0
        self.counts: Counter[str] = Counter()
        self._answers: set[AnswerBuffer] = set()
        # Connections with an incomplete request or an unread answer; in order of entry.
        self._holders: dict[Holder, None] = {}

    @property
    def request_limit(self) -> float:
        """Bytes that requests may take."""
        return self.limit * REQUEST_SHARE

    def take(self, n_bytes: int, holder: Holder, n_total: int) -> bool:
        """Counts bytes of a request, unless too many are held and none can be released.

        Args:
            n_bytes: bytes to count.
            holder: the connection that asks; it never loses here.
            n_total: bytes of its request with these.

        Returns:
            Whether the bytes may be held.
        """
        if (n_needed := self._find_excess(n_bytes, n_total)) > 0:
            self._make_room(n_needed, holder, n_total)
        if self._find_excess(n_bytes, n_total) > 0:
            self.counts["rejected"] += 1
            return False
        self.n_held += n_bytes
        self._n_requests += n_bytes
        return True

    def release_request(self, n_bytes: int) -> None:
        """Releases bytes of a request."""
        self.n_held -= n_bytes
        self._n_requests -= n_bytes

    def _find_excess(self, n_bytes: int, n_total: int) -> float:
        """Returns how many bytes exceed the limits if a request takes `n_bytes`.

        A large request leaves room for answers. An ordinary one may take what answers
        leave, or large answers would keep all others out.
        """
        n_others = n_bytes + self.n_connection_bytes
        if n_total > ORDINARY_BYTES:
            return self.n_held + n_others - self.request_limit * LARGE_SHARE
        return max(
            self._n_requests + n_others - self.request_limit,
            self.n_held + n_others - self.limit,
        )

    def adjust(self, n_bytes: int) -> None:
        """Counts bytes that are held anyway, or releases bytes if negative."""
        self.n_held += n_bytes
        if n_bytes > 0:
            self._bound_answers()

    def enter(self, holder: Holder) -> None:
        """Registers a connection that holds something it could lose."""
        self._holders[holder] = None

    def leave(self, holder: Holder) -> None:
        """Removes a connection that holds nothing that it could lose."""
        self._holders.pop(holder, None)

    def hold(self, answer: AnswerBuffer, n_bytes: int) -> None:
        """Counts bytes of an incomplete answer; gives up the largest if necessary."""
        self._answers.add(answer)
        answer.n_held += n_bytes
        self.n_held += n_bytes
        self._bound_answers()

    def keep(self, answer: AnswerBuffer) -> None:
        """Keeps an answer that is complete, whatever else arrives."""
        self._answers.discard(answer)

    def release(self, answer: AnswerBuffer) -> None:
        """Releases the bytes of an answer."""
        self._answers.discard(answer)
        self.n_held -= answer.n_held
        answer.n_held = 0

    def _list_held(self, asker: Holder | None = None) -> list[Held]:
        holders = [holder for holder in self._holders if holder is not asker]
        return [held for holder in holders for held in holder.list_held()]

    def _make_room(self, n_needed: float, asker: Holder, asker_bytes: int) -> None:
        losers = choose_losers(
            self._list_held(asker),
            asker_bytes=asker_bytes,
            n_needed=n_needed,
            now=read_boottime(),
        )
        for loser in losers:
            self._drop(loser)

    def _drop(self, held: Held) -> None:
        holder: Holder = held.key  # type: ignore[assignment]
        kind = "unread" if held.is_answer else "displaced"
        self.counts[kind] += 1
        log_event(
            LOGGER,
            "caller_dropped",
            kind=kind,
            n_bytes=held.n_bytes,
            age_s=round(read_boottime() - held.started_at, 1),
            n_held=self.n_held,
        )
        if held.is_answer:
            holder.give_up_answer()
        else:
            holder.reject_overload()

    def _bound_answers(self) -> None:
        while self.n_held + self.n_connection_bytes > self.limit:
            unread = [held for held in self._list_held() if held.is_answer]
            stalled = choose_unread(unread, read_boottime())
            if stalled is not None:
                self._drop(stalled)
            elif self._answers:
                max(self._answers, key=lambda a: a.n_held).give_up()
            elif unread:
                self._drop(max(unread, key=lambda h: h.n_bytes))
            else:
                return
