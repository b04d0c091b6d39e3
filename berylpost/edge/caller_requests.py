"""Complete requests of callers, and answers to what is not served."""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from ..errors import BerylpostError, render_problem
from ..platform import names
from ..platform.headers import Header


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request.

    Attributes:
        headers: headers with names in lower case.
        arrived_at: boot-time clock at which the first bytes arrived.
        n_held: memory that is counted for it.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    keep_alive: bool
    n_held: int = 0

    @property
    def id(self) -> str:
        """Attempt id; empty if there is none."""
        return self.find(names.ATTEMPT_ID).decode("latin-1")

    def find(self, name: bytes) -> bytes:
        """Returns the value of a header; empty if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


def render_rejections(error: BerylpostError, ids: Sequence[str]) -> bytes:
    """Renders an answer to each of some requests, after which the connection closes.

    Args:
        error: why they are rejected.
        ids: their attempt ids, empty for a request that was not read.
    """
    is_last = [False] * (len(ids) - 1) + [True]
    return b"".join(map(_render_rejection, [error] * len(ids), ids, is_last))


def _render_rejection(error: BerylpostError, request_id: str, is_last: bool) -> bytes:
    status, headers, body = render_problem(error, whole_seconds=False)
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if request_id:
        lines.append(f"{names.ATTEMPT_ID.decode()}: {request_id}")
    lines.append(f"Content-Length: {len(body)}")
    if is_last:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def find_phrase(status: int) -> bytes:
    """Returns the standard reason phrase of a status, known or not."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
