"""What daemons tell and ask each other about the versions that began streams."""

import asyncio

import msgspec

from .stream_tables import Origin


class Records(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Streams that the sender began: attempt, service, version."""

    streams: tuple[tuple[str, str, str], ...]


class Query(msgspec.Struct, frozen=True, array_like=True, tag="query"):
    """Asks which version began a stream."""

    number: int
    attempt: str
    service: str


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Answers a query.

    Attributes:
        origin: service and version; None if the stream is not known.
        possible: versions of the service that may have live streams.
        is_complete: whether these include all versions of before the daemon's start;
            daemons of earlier builds do not say.
    """

    number: int
    origin: tuple[str, str] | None
    possible: tuple[str, ...]
    is_complete: bool = True


class Inquiry:
    """The answers to one query; done when one knows or all have answered."""

    def __init__(self, *, n_asked: int) -> None:
        self.done = asyncio.Event()
        self.origin: Origin | None = None
        self.possible: set[str] = set()
        self.n_answers = 0
        self.is_complete = False
        self._n_asked = n_asked

    def add(self, answer: Answer) -> None:
        """Adds one answer."""
        self.n_answers += 1
        self.is_complete = self.is_complete or answer.is_complete
        self.possible.update(answer.possible)
        if answer.origin is not None:
            self.origin = Origin(*answer.origin)
        if self.origin is not None or self.n_answers >= self._n_asked:
            self.done.set()
