"""One attempt at a model engine: a non-blocking connection and its parsed events.

Uses HTTP/1.1 with server-sent events, as the usual engines do; httptools parses the
responses. The relay owns the selector; this module owns the socket and reports what
it received as typed events.
"""

import socket
from dataclasses import dataclass
from typing import Any, Final

import httptools
import msgspec

from .answer_framing import AnswerFraming, OversizedAnswerError, check_status
from .endpoints import split_endpoint

READ_BYTES: Final = 65_536
MAX_LINE_BYTES: Final = 1 << 20
MAX_IDLE_BYTES: Final = 2 << 20  # of a head, or between two events
MAX_TEXT_BYTES: Final = 4 << 20  # of the tokens of one attempt
LOAD_HEADER: Final = b"endpoint-load-metrics"  # ORCA load report of the usual engines


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int = 0


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


class _NamedMetrics(msgspec.Struct, frozen=True):
    num_requests_running: float = 0
    num_requests_waiting: float = 0
    leaving: float = 0
    request_rate_limit: float | None = None


class _Orca(msgspec.Struct, frozen=True):
    named_metrics: _NamedMetrics = _NamedMetrics()


_CHUNK_DECODER: Final = msgspec.json.Decoder(_Chunk)
_ORCA_DECODER: Final = msgspec.json.Decoder(_Orca)


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """Received text; `n_tokens` is the number of tokens of this attempt so far.

    A msgspec structure, since an instance is created for each token.
    """

    text: str
    n_tokens: int
    finish_reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The engine answered with an error status instead of tokens."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load report in the headers of the engine's response.

    Attributes:
        rate_limit: requests a second that the engine takes from all daemons together;
            None for any number.
    """

    running: int
    waiting: int
    leaving: bool
    rate_limit: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """The attempt has ended: complete, cut, or without anything sent."""

    whole: bool
    sent: bool


UpstreamEvent = Token | Refusal | LoadReport | AttemptEnded


class Upstream:
    """One connection to an engine.

    Args:
        address: IP-NUMBER:PORT of the engine.
        path: path of the request.
        body: JSON body of the request.
        request_id: sent in a header for the engine's log.
        now: current time in monotonic seconds.
    """

    def __init__(
        self, *, address: str, path: str, body: bytes, request_id: str, now: float
    ) -> None:
        host, port = split_endpoint(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.connect_ex((host, port))
        self.connected = False
        self.last_data_at = now
        self._request = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nX-Request-Id: {request_id}\r\n"
            f"Accept: text/event-stream\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._n_sent = 0
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[UpstreamEvent] = []
        self._pieces: list[bytes] = []  # of the body, in one read
        self._partial_line = bytearray()
        self._n_idle_bytes = 0
        self._n_text_bytes = 0
        self._framing = AnswerFraming()
        self._n_tokens = 0
        self._done = False
        self._refused = False

    # Callbacks of httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads a load report from the response headers."""
        if not self._framing.add_field():
            return
        if name.lower() != LOAD_HEADER:
            return
        report = decode_load_report(value)
        # The report is optional; without it, predictions use older data.
        if report is not None:
            self._events.append(report)

    def on_chunk_header(self) -> None:
        """Notes the size of a chunk."""
        self._framing.begin_chunk()

    def on_headers_complete(self) -> None:
        """Reports an error status as a refusal."""
        status = self._parser.get_status_code()
        check_status(status)
        if status < 200:
            return  # an interim answer
        self._framing.end_head()
        if status != 200:
            self._refused = True
            self._events.append(Refusal(status=status))

    def on_body(self, data: bytes) -> None:
        """Notes a piece of the body; those of one read are handled together."""
        self._framing.add_body()
        if not self._refused:
            self._pieces.append(data)

    def _take_pieces(self) -> None:
        """Splits the body into lines and handles its data lines.

        Raises:
            OversizedAnswerError: a line or the text is too long.
        """
        data = b"".join(self._pieces)
        self._pieces.clear()
        whole, newline, rest = data.rpartition(b"\n")
        if newline:
            lines = (bytes(self._partial_line) + whole).split(b"\n")
            self._partial_line = bytearray(rest)
            for line in lines:
                if line.startswith(b"data:"):
                    self._take_data(line[5:].strip())
        else:
            self._partial_line += rest
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise OversizedAnswerError(f"line of more than {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Reports the end of the attempt when HTTP's framing ends the body."""
        if self._parser.get_status_code() >= 200:
            self._end_body()

    def _end_body(self) -> None:
        self._take_pieces()
        if self._done:
            self._events.append(AttemptEnded(whole=True, sent=True))
        elif not self._refused:
            # The body ended without [DONE]: the engine stopped before the end.
            self._events.append(AttemptEnded(whole=False, sent=True))

    def _take_data(self, data: bytes) -> None:
        if data == b"[DONE]":
            self._done = True
            return
        chunk = _CHUNK_DECODER.decode(data)
        if chunk.usage is not None and chunk.usage.completion_tokens:
            self._n_tokens = chunk.usage.completion_tokens
        elif chunk.choices:
            self._n_tokens += 1
        for choice in chunk.choices:
            text = choice.delta.content if choice.delta else choice.text
            self._n_text_bytes += len(text or "")
            if self._n_text_bytes > MAX_TEXT_BYTES:
                raise OversizedAnswerError(f"text of more than {MAX_TEXT_BYTES} bytes")
            token = Token(
                text=text or "",
                n_tokens=self._n_tokens,
                finish_reason=choice.finish_reason or "",
            )
            self._events.append(token)

    # Socket events.

    def wants_write(self) -> bool:
        """Tells whether the connect is pending or a part of the request is unsent."""
        return self._n_sent < len(self._request)

    def on_writable(self) -> list[UpstreamEvent]:
        """Sends as much of the request as the socket accepts."""
        if not self.connected:
            error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                return [AttemptEnded(whole=False, sent=False)]
            self.connected = True
        try:
            self._n_sent += self.socket.send(self._request[self._n_sent :])
        except BlockingIOError:
            return []
        except OSError:
            return [AttemptEnded(whole=False, sent=self._n_sent > 0)]
        return []

    def on_readable(self, now: float) -> list[UpstreamEvent]:
        """Reads the available data and returns its events."""
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return []
        except OSError:
            return [AttemptEnded(whole=False, sent=self._n_sent > 0)]
        if not data:
            return [AttemptEnded(whole=False, sent=self._n_sent > 0)]
        self.last_data_at = now
        try:
            try:
                self._parser.feed_data(data)
            finally:
                self._take_pieces()
            self._framing.end_read(len(data))
            if self._framing.in_trailers:
                self._end_body()
        except (
            httptools.HttpParserError,
            msgspec.MsgspecError,
            OversizedAnswerError,
            UnicodeDecodeError,
        ):
            self._events.append(AttemptEnded(whole=False, sent=True))
        events: list[UpstreamEvent] = self._events
        self._events = []
        self._n_idle_bytes = 0 if events else self._n_idle_bytes + len(data)
        if self._n_idle_bytes > MAX_IDLE_BYTES:
            return [AttemptEnded(whole=False, sent=True)]
        return events

    def close(self) -> None:
        """Closes the socket, upon which the engine stops generating."""
        self.socket.close()


def decode_load_report(value: bytes) -> LoadReport | None:
    """Decodes the load report in the headers of a response; None if it is malformed."""
    try:
        metrics = _ORCA_DECODER.decode(value.partition(b" ")[2]).named_metrics
    except msgspec.MsgspecError:
        return None
    return LoadReport(
        running=int(metrics.num_requests_running),
        waiting=int(metrics.num_requests_waiting),
        leaving=bool(metrics.leaving),
        rate_limit=_check_rate(metrics.request_rate_limit),
    )


def _check_rate(rate: float | None) -> float | None:
    """Returns a rate that can be kept; None for a malformed one."""
    return rate if rate is not None and 0 <= rate < float("inf") else None


def post_json(pool: Any, address: str, path: str, document: object) -> Any:
    """Posts a JSON document to a backend server and returns the decoded answer.

    Args:
        pool: a `urllib3.PoolManager`.
        address: IP-NUMBER:PORT of the backend server.
        path: path of the request.
        document: document to encode as the body.

    Raises:
        OSError: the call failed; callers are expected to do without the answer.
    """
    import urllib3

    try:
        response = pool.request(
            "POST", f"http://{address}{path}", body=msgspec.json.encode(document)
        )
    except urllib3.exceptions.HTTPError as error:
        raise OSError(f"{address}{path}: {error}") from error
    if response.status != 200:
        raise OSError(f"{address}{path}: status {response.status}")
    return msgspec.json.decode(response.data)
