"""One accepted model request: its state, its events and how answers are rendered.

The answer is kept as one byte string with the end of each event, a few bytes a
token, so that any caller can be given any event again: a slow caller, one that
comes back with Last-Event-ID, or the daemon that takes the request over.
"""

from array import array
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from .errors import ERROR_RESPONSES, BerylpostError, ErrorKind, render_problem
from .messages import HeldRequest

TOKENS_DEFAULT: Final = 16
_JSON: Final = msgspec.json.Encoder()
REASONS: Final = {200: "OK", 303: "See Other"}


class StreamState(StrEnum):
    """Where a request stands."""

    QUEUED = "queued"
    RUNNING = "running"
    HELD = "held"
    MOVED = "moved"
    DONE = "done"
    FAILED = "failed"


FINAL_STATES: Final = frozenset(
    {StreamState.MOVED, StreamState.DONE, StreamState.FAILED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamRequest:
    """What a caller asked for; `body` is the checked JSON document."""

    id: str
    deployment: str
    customer: str
    weight: float
    priority: int
    chat: bool
    stream: bool
    body: dict[str, Any]
    patience_s: float
    deadline_s: float
    key: str = ""

    @property
    def owner(self) -> str:
        """Names the customer within its deployment; names repeat between them."""
        return f"{self.deployment}/{self.customer}"

    @property
    def model(self) -> str:
        """The model's name."""
        return str(self.body["model"])

    @property
    def max_tokens(self) -> int:
        """How many tokens the caller wants at the most."""
        return int(self.body.get("max_tokens", TOKENS_DEFAULT))

    @property
    def prompt(self) -> str:
        """The text that decides the prefix; turns joined for a chat."""
        if not self.chat:
            return str(self.body["prompt"])
        return "\n".join(f"{m['role']}:{m['content']}" for m in self.body["messages"])


@dataclass(slots=True, kw_only=True)
class Stream:
    """The state of one accepted request; owned by the relay.

    Attributes:
        deadline: monotonic seconds.
        start_by: when waiting for a first slot makes no sense any more.
        not_before: earliest next attempt, monotonic seconds.
        n_tokens: tokens generated, over all attempts.
        base_tokens: of these, by earlier attempts.
        avoid: backend servers that failed this request.
        prefer: the backend server that likely has its cache.
    """

    request: StreamRequest
    accepted_at: float
    deadline: float
    start_by: float
    state: StreamState = StreamState.QUEUED
    text: bytearray = field(default_factory=bytearray)
    ends: "array[int]" = field(default_factory=lambda: array("I"))
    n_tokens: int = 0
    base_tokens: int = 0
    n_attempts: int = 0
    n_failures: int = 0
    not_before: float = 0.0
    backend: str = ""
    avoid: set[str] = field(default_factory=set)
    prefer: str = ""
    finish_reason: str = ""
    error: BerylpostError | None = None
    moved_to: str = ""
    first_token_at: float = 0.0
    last_token_at: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0
    delivered: bool = False
    max_tokens: int = 0
    event_parts: tuple[bytes, bytes] = (b"", b"")

    def __post_init__(self) -> None:
        self.max_tokens = self.request.max_tokens
        self.event_parts = _render_event_parts(self.request)

    def add(self, text: str) -> None:
        """Adds one event's text."""
        self.text += text.encode()
        self.ends.append(len(self.text))

    def read_event(self, n: int) -> str:
        """Returns the text of event `n`, counted from 1."""
        start = self.ends[n - 2] if n > 1 else 0
        return self.text[start : self.ends[n - 1]].decode()

    def is_final(self) -> bool:
        """Tells whether nothing more will come on this daemon."""
        return self.state in FINAL_STATES


def build_body(stream: Stream) -> bytes:
    """Builds the body of the next attempt: prompt plus the answer so far.

    Chats continue by an assistant message with `continue_final_message`, as the
    usual engines take it.
    """
    request = stream.request
    body = dict(request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    body["max_tokens"] = request.max_tokens - stream.n_tokens
    body["priority"] = request.priority
    if stream.text:
        so_far = stream.text.decode()
        if request.chat:
            turn = {"role": "assistant", "content": so_far}
            body["messages"] = [*request.body["messages"], turn]
            body["continue_final_message"] = True
            body["add_generation_prompt"] = False
        else:
            body["prompt"] = request.body["prompt"] + so_far
    return msgspec.json.encode(body)


def render_event(stream: Stream, n: int) -> bytes:
    """Renders event `n` as a server-sent event in one HTTP chunk."""
    head, middle = stream.event_parts
    text = _JSON.encode(stream.read_event(n))
    reason = b"null"
    if n == len(stream.ends) and stream.state is StreamState.DONE:
        reason = _JSON.encode(stream.finish_reason)
    close = b"}" if stream.request.chat else b""
    event = b'%s%d%s%s%s,"finish_reason":%s}]}\n\n' % (
        head,
        n,
        middle,
        text,
        close,
        reason,
    )
    return b"%x\r\n%s\r\n" % (len(event), event)


def _render_event_parts(request: StreamRequest) -> tuple[bytes, bytes]:
    """Renders what all events of a request share, once.

    Rendering the whole document for each token was a fifth of the relay's time.
    """
    kind = "chat.completion.chunk" if request.chat else "text_completion"
    document = {"id": request.id, "object": kind, "model": request.body.get("model")}
    opened = _JSON.encode(document)[:-1]
    field = b'"delta":{"content":' if request.chat else b'"text":'
    middle = b'\ndata: %s,"choices":[{"index":0,%s' % (opened, field)
    return b"id: %s." % request.id.encode(), middle


def render_chunk(data: bytes) -> bytes:
    """Renders one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK: Final = b"0\r\n\r\n"
DONE_EVENT: Final = render_chunk(b"data: [DONE]\n\n")


def render_stream_head(stream: Stream) -> bytes:
    """Renders the head of a streamed answer."""
    return (
        "HTTP/1.1 200 OK\r\n"
        "Content-Type: text/event-stream\r\n"
        "Cache-Control: no-store\r\n"
        f"X-Request-Id: {stream.request.id}\r\n"
        "Transfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n"
    ).encode()


def render_moved(stream: Stream, address: str) -> bytes:
    """Renders the event that tells a streaming caller where to go on."""
    data = msgspec.json.encode({"request": stream.request.id, "address": address})
    return render_chunk(b"event: moved\ndata: %s\n\n" % data)


def render_error_event(error: BerylpostError) -> bytes:
    """Renders the event that ends a started answer with an error."""
    _, _, body = render_problem(error)
    return render_chunk(b"event: error\ndata: %s\n\n" % body)


def describe_answer(stream: Stream) -> dict[str, Any]:
    """Describes the whole answer as an OpenAI-style document."""
    request = stream.request
    text = stream.text.decode()
    choice: dict[str, Any] = {"index": 0, "finish_reason": stream.finish_reason}
    if request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.id,
        "object": "chat.completion" if request.chat else "text_completion",
        "model": request.model,
        "choices": [choice],
        "usage": {"completion_tokens": stream.n_tokens},
    }


def render_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Renders a whole HTTP response that closes its connection."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode("latin-1") + body


def render_whole(stream: Stream) -> bytes:
    """Renders a finished answer for a caller that did not ask for a stream."""
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", stream.request.id),
    ]
    return render_response(200, headers, msgspec.json.encode(describe_answer(stream)))


def render_moved_whole(stream: Stream, address: str) -> bytes:
    """Sends a caller that waits for a whole answer to where it will be."""
    # Without a scheme, so that a caller over TLS stays on it (RFC 3986, 4.2).
    location = f"//{address}/v1/requests/{stream.request.id}/answer"
    return render_response(303, [("Location", location)], b"")


def render_error(error: BerylpostError) -> bytes:
    """Renders a problem answer."""
    return render_response(*render_problem(error))


def describe_status(stream: Stream) -> dict[str, Any]:
    """Describes where a request stands."""
    return {
        "id": stream.request.id,
        "state": stream.state,
        "model": stream.request.model,
        "tokens": stream.n_tokens,
        "attempts": stream.n_attempts,
        "backend": stream.backend,
        "moved_to": stream.moved_to,
        "error": stream.error.kind if stream.error else None,
        "answer": describe_answer(stream) if stream.state is StreamState.DONE else None,
    }


def make_held_request(stream: Stream, now: float) -> HeldRequest:
    """Makes the record by which a request moves to another daemon."""
    request = stream.request
    return HeldRequest(
        id=request.id,
        deployment=request.deployment,
        customer=request.customer,
        chat=request.chat,
        stream=request.stream,
        body=request.body,
        deadline_s=stream.deadline - now,
        text=bytes(stream.text),
        ends=stream.ends.tobytes(),
        n_tokens=stream.n_tokens,
        backend=stream.backend or stream.prefer,
        finish_reason=stream.finish_reason,
        error=stream.error.kind if stream.error else None,
    )


def resume_stream(
    held: HeldRequest, *, weight: float, priority: int, now: float
) -> Stream:
    """Makes the state of a request that another daemon held."""
    ends = array("I")
    ends.frombytes(held.ends)
    request = StreamRequest(
        id=held.id,
        deployment=held.deployment,
        customer=held.customer,
        weight=weight,
        priority=priority,
        chat=held.chat,
        stream=held.stream,
        body=held.body,
        patience_s=held.deadline_s,
        deadline_s=held.deadline_s,
    )
    stream = Stream(
        request=request,
        accepted_at=now,
        deadline=now + held.deadline_s,
        start_by=now + held.deadline_s,
        text=bytearray(held.text),
        ends=ends,
        n_tokens=held.n_tokens,
        base_tokens=held.n_tokens,
        prefer=held.backend,
        first_token_at=now if held.text else 0.0,
    )
    if held.finish_reason:
        stream.finish_reason = held.finish_reason
        stream.state = StreamState.DONE
        stream.ended_at = now
    elif held.error is not None:
        stream.error = BerylpostError(held.error, ERROR_RESPONSES[held.error].title)
        stream.state = StreamState.FAILED
        stream.ended_at = now
    return stream


def parse_event_id(event_id: str) -> tuple[str, int]:
    """Splits a Last-Event-ID into the request and the last event received.

    Raises:
        BerylpostError: not an id that this system gives out.
    """
    request_id, dot, number = event_id.rpartition(".")
    if not dot or not number.isdecimal() or len(number) > 9:
        raise BerylpostError(ErrorKind.BAD_REQUEST, f"Last-Event-ID {event_id!r}")
    return request_id, int(number)
