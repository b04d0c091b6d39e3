"""Messages that other tasks send to the relay; `relay` handles them."""

import socket
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from .messages import HeldRequest
from .streams import Stream, StreamRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """Submits a new request, with its caller's socket if a caller is connected."""

    request: StreamRequest
    socket: socket.socket | None
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """Attaches a caller to a request accepted earlier, to receive its answer."""

    stream_id: str
    socket: socket.socket
    after: int = 0
    whole: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """Asks for a request's status; the result is None for an unknown request.

    Attributes:
        owner: the customer that asks, qualified by its deployment.
    """

    stream_id: str
    owner: str
    result: "Future[dict[str, Any] | None]"


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldAll:
    """Stops and returns the requests that this daemon must transfer.

    These are unfinished requests, except running ones that are expected to finish
    within `left_s`, and finished ones whose answer was not delivered. Requests
    submitted with `on_end` are left out.
    """

    left_s: float
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Stops and returns the named requests, except those that have ended."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Returns the progress of the named requests without stopping them."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkMoved:
    """Marks requests as moved to another daemon and redirects their callers to it."""

    stream_ids: tuple[str, ...]
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Resumes requests from another daemon, or held ones that no daemon accepted.

    Deferred requests are run with `on_end`: they have no callers, and `on_end` is
    called with each stream that has ended.
    """

    requests: tuple[HeldRequest, ...]
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CountOpen:
    """Asks for the number of unfinished requests plus the connected callers."""

    result: "Future[int]"
