"""What other tasks may ask of the relay; `relay` handles each."""

import socket
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from .messages import HeldRequest
from .streams import Stream, StreamRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Submit:
    """A new request with the socket of its caller, if one waits."""

    request: StreamRequest
    socket: socket.socket | None
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """A caller that asks for the answer of a request accepted earlier."""

    stream_id: str
    socket: socket.socket
    after: int = 0
    whole: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """Asks for a request's status; the result is None when it is not known.

    Attributes:
        owner: the asking customer within its deployment.
    """

    stream_id: str
    owner: str
    result: "Future[dict[str, Any] | None]"


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldAll:
    """Asks for all requests that need longer than `left_s`; they stop here."""

    left_s: float
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Asks for some requests, which stop here; those that ended are left out."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """Asks how far some requests are; they go on."""

    stream_ids: tuple[str, ...]
    result: "Future[list[HeldRequest]]"


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkMoved:
    """Another daemon has these requests; tell the callers to go there."""

    stream_ids: tuple[str, ...]
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Requests to go on with: taken over, or held and not taken by anyone.

    With `on_end` nobody else waits for them, and it hears of their end.
    """

    requests: tuple[HeldRequest, ...]
    on_end: Callable[[Stream], None] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CountOpen:
    """Asks how many requests are not final yet."""

    result: "Future[int]"
