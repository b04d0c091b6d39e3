"""The memory that the bodies of all requests and answers may take together.

A body counts from its arrival until it has been sent on. Each connection also has a
bound of its own; this one keeps many connections from exceeding the memory of the
process. A request is refused when the bodies of requests take their part. Of the
answers, the largest incomplete one is given up, which spares those of ordinary size.
"""

from typing import Final, Protocol

# Share of the process's memory. A body exists up to three times while it is sent on,
# and an idle daemon takes a third of the memory of the smallest machines.
BUFFER_SHARE: Final = 0.2
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


class BufferBudget:
    """Bytes of bodies that this daemon holds.

    Args:
        memory_bytes: memory that the process may use.
    """

    def __init__(self, *, memory_bytes: float) -> None:
        self.limit = memory_bytes * BUFFER_SHARE
        self.n_held = 0
        self._answers: set[AnswerBuffer] = set()

    def take(self, n_bytes: int) -> bool:
        """Counts bytes of a request, unless too many bytes are held.

        Returns:
            Whether the bytes may be held.
        """
        if self.n_held + n_bytes > self.limit * REQUEST_SHARE:
            return False
        self.n_held += n_bytes
        return True

    def adjust(self, n_bytes: int) -> None:
        """Counts bytes that are held anyway, or releases bytes if negative."""
        self.n_held += n_bytes

    def hold(self, answer: AnswerBuffer, n_bytes: int) -> None:
        """Counts bytes of an incomplete answer; gives up the largest if necessary."""
        self._answers.add(answer)
        answer.n_held += n_bytes
        self.n_held += n_bytes
        while self.n_held > self.limit and self._answers:
            max(self._answers, key=lambda a: a.n_held).give_up()

    def keep(self, answer: AnswerBuffer) -> None:
        """Keeps an answer that is complete, whatever else arrives."""
        self._answers.discard(answer)

    def release(self, answer: AnswerBuffer) -> None:
        """Releases the bytes of an answer."""
        self._answers.discard(answer)
        self.n_held -= answer.n_held
        answer.n_held = 0
