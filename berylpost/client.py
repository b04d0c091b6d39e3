"""A Python client: looks up and caches addresses, and fails over between daemons.

Used by the command line, the demonstration and the tests; others may embed it. It
follows the rules of docs/api.md for callers: a moved or cut stream is resumed by
Last-Event-ID, and a request is repeated automatically only if it certainly did not
run.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import urljoin

import msgspec
import urllib3

from .errors import ErrorKind, ExecutionStatus

CONNECT_TIMEOUT_S: Final = 1.0
RESUME_PAUSE_S: Final = 0.1
MAX_RESUMES: Final = 60
MAX_REDIRECTS: Final = 6
RETRYABLE_KINDS: Final = frozenset(
    {ErrorKind.LEAVING, ErrorKind.NO_BACKEND, ErrorKind.STORE_UNAVAILABLE}
)


class Problem(Exception):
    """An error response, or no usable response.

    Attributes:
        status: HTTP status, or 0 without a response.
        kind: an `ErrorKind`, or `no_answer`, `cut`, `unexpected`, `out_of_order`.
        ran: `not_run`, `unknown` or `ran`.
    """

    def __init__(
        self,
        *,
        status: int,
        kind: str,
        ran: str,
        detail: str = "",
        document: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(f"{status} {kind} (ran: {ran}): {detail}")
        self.status = status
        self.kind = kind
        self.ran = ran
        self.detail = detail
        self.document = document or {}


@dataclass(slots=True, kw_only=True)
class StreamedAnswer:
    """The answer to a streamed request; `addresses` are those that served it."""

    request: str = ""
    text: str = ""
    n_events: int = 0
    n_resumes: int = 0
    finished: bool = False
    first_token_s: float = 0.0
    addresses: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One server-sent event."""

    id: str
    name: str
    data: bytes


def parse_events(chunks: Iterator[bytes]) -> Iterator[Event]:
    """Parses server-sent events."""
    buffer = b""
    for chunk in chunks:
        buffer += chunk
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            fields = {"id": b"", "event": b"", "data": b""}
            for line in block.split(b"\n"):
                name, _, value = line.partition(b":")
                fields[name.decode()] = value.removeprefix(b" ")
            yield Event(
                id=fields["id"].decode(),
                name=fields["event"].decode(),
                data=fields["data"],
            )


class Client:
    """Talks to a deployment as one customer or operator.

    Args:
        addresses: IP-NUMBER:PORT of the daemons to ask for addresses at first.
        token: bearer token.
        timeout_s: read timeout, in seconds.
        ca_file: PEM file of the certificate authority; empty means plain HTTP.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        token: str,
        timeout_s: float = 30.0,
        ca_file: str = "",
    ) -> None:
        self._seeds = list(addresses)
        self._cached: list[str] = []
        self._cached_until = 0.0
        self._headers = {"Authorization": f"Bearer {token}"}
        self._scheme = "https" if ca_file else "http"
        self._pool = urllib3.PoolManager(
            ca_certs=ca_file or None,
            maxsize=8,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
        )

    def list_addresses(self) -> list[str]:
        """Returns addresses to use, from the cache or from a daemon.

        Raises:
            Problem: no daemon answers.
        """
        if time.monotonic() < self._cached_until and self._cached:
            return self._cached
        for address in dict.fromkeys([*self._cached, *self._seeds]):
            try:
                found = self.call("GET", "/v1/addresses", address=address)
            except Problem:
                continue
            self._cached = [a["address"] for a in found["addresses"]]
            self._cached_until = time.monotonic() + found["ttl_s"]
            if self._cached:
                return self._cached
        raise Problem(
            status=0,
            kind="no_answer",
            ran=ExecutionStatus.NOT_RUN,
            detail="no daemon answered",
        )

    def use_addresses(self, addresses: list[str], ttl_s: float = 5.0) -> None:
        """Caches the given addresses, most preferred first, for `ttl_s` seconds."""
        self._cached = list(addresses)
        self._cached_until = time.monotonic() + ttl_s

    def forget(self, address: str) -> None:
        """Removes an address that did not answer, until the next refresh."""
        self._cached = [cached for cached in self._cached if cached != address]
        if not self._cached:
            self._cached_until = 0.0

    def request(
        self,
        method: str,
        path: str,
        *,
        address: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Sends one request to one daemon.

        Raises:
            Problem: an error response or none; `ran` tells whether the request ran.
        """
        url = f"{self._scheme}://{address}{path}"
        all_headers = {**self._headers, **(headers or {})}
        for _ in range(MAX_REDIRECTS):
            response = self._send(method, url, body, all_headers, stream)
            if response.status not in (303, 307):
                break
            # Followed here, since the token must also be sent to the other daemon.
            response.drain_conn()
            url = urljoin(url, response.headers["Location"])
            if response.status == 303:
                method, body = "GET", None
        if response.status in (303, 307):
            # The daemons do not agree yet on who has the request; none answered it.
            raise Problem(
                status=response.status,
                kind=ErrorKind.STORE_UNAVAILABLE,
                ran=ExecutionStatus.NOT_RUN,
                detail="too many redirects",
            )
        if response.status >= 400:
            raise _make_problem(response)
        return response

    def _send(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        stream: bool,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                preload_content=not stream,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise Problem(
                status=0,
                kind="no_answer",
                ran=ExecutionStatus.NOT_RUN,
                detail=str(error),
            ) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise Problem(
                status=0,
                kind="no_answer",
                ran=ExecutionStatus.UNKNOWN,
                detail=str(error),
            ) from error

    def call(
        self,
        method: str,
        path: str,
        *,
        address: str | None = None,
        document: object = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Sends a JSON request and returns the decoded answer.

        Without an address it is sent to the cached addresses in turn, and to the next
        one only if the request certainly did not run.

        Raises:
            Problem: as for `request`.
        """
        body = None if document is None else msgspec.json.encode(document)
        headers = {"Content-Type": "application/json", **(headers or {})}
        if address is not None:
            response = self.request(
                method, path, address=address, body=body, headers=headers
            )
            return msgspec.json.decode(response.data)
        problem: Problem | None = None
        for candidate in list(self.list_addresses()):
            try:
                return self.call(
                    method, path, address=candidate, document=document, headers=headers
                )
            except Problem as error:
                problem = error
                if error.ran != ExecutionStatus.NOT_RUN or not _may_retry_elsewhere(
                    error
                ):
                    raise
                self.forget(candidate)
        assert problem is not None
        raise problem

    def stream(
        self, path: str, document: dict[str, Any], headers: dict[str, str] | None = None
    ) -> Iterator[StreamedAnswer]:
        """Streams a completion to its end, resuming after moves, cuts and failures.

        Yields:
            The same `StreamedAnswer`, updated after each event.

        Raises:
            Problem: the request was refused or failed, or did not end within
                `MAX_RESUMES` connections.
        """
        answer = StreamedAnswer()
        body = msgspec.json.encode({**document, "stream": True})
        started_at = time.monotonic()
        moved_to = ""
        last_problem = Problem(
            status=0, kind="no_answer", ran=ExecutionStatus.UNKNOWN, detail="cut"
        )
        for _ in range(MAX_RESUMES):
            address = moved_to or self.list_addresses()[0]
            try:
                response = self._open_stream(path, address, body, headers, answer)
                answer.addresses.append(address)
                for event in parse_events(response.stream(4_096)):
                    if event.name == "moved":
                        moved_to = msgspec.json.decode(event.data)["address"]
                        break
                    _apply_event(answer, event, started_at)
                    yield answer
                if answer.finished:
                    return
            except Problem as error:
                last_problem = error
                moved_to = ""
                self.forget(address)
                if not _may_retry_elsewhere(error):
                    raise
            except (urllib3.exceptions.HTTPError, OSError) as error:
                last_problem = Problem(
                    status=0, kind="cut", ran=ExecutionStatus.UNKNOWN, detail=str(error)
                )
                moved_to = ""
                self.forget(address)
            answer.n_resumes += 1
            time.sleep(RESUME_PAUSE_S)
        raise last_problem

    def complete(
        self, path: str, document: dict[str, Any], headers: dict[str, str] | None = None
    ) -> StreamedAnswer:
        """Streams a completion and returns the whole answer; see `stream`."""
        answer = StreamedAnswer()
        for partial in self.stream(path, document, headers):
            answer = partial
        return answer

    def _open_stream(
        self,
        path: str,
        address: str,
        body: bytes,
        headers: dict[str, str] | None,
        answer: StreamedAnswer,
    ) -> urllib3.BaseHTTPResponse:
        if not answer.request:
            all_headers = {"Content-Type": "application/json", **(headers or {})}
            response = self.request(
                "POST",
                path,
                address=address,
                body=body,
                headers=all_headers,
                stream=True,
            )
            answer.request = response.headers.get("X-Request-Id", "")
            return response
        resume_headers = {"Last-Event-ID": f"{answer.request}.{answer.n_events}"}
        return self.request(
            "GET",
            f"/v1/requests/{answer.request}/events",
            address=address,
            headers=resume_headers,
            stream=True,
        )


def _may_retry_elsewhere(problem: Problem) -> bool:
    return problem.kind in RETRYABLE_KINDS or problem.kind in ("no_answer", "not_found")


def _make_problem(response: urllib3.BaseHTTPResponse) -> Problem:
    try:
        document = msgspec.json.decode(response.data)
    except (msgspec.MsgspecError, urllib3.exceptions.HTTPError):
        document = {}
    if not isinstance(document, dict):
        document = {}
    return Problem(
        status=response.status,
        kind=str(document.get("kind", "unexpected")),
        ran=str(document.get("ran", ExecutionStatus.UNKNOWN)),
        detail=str(document.get("detail", "")),
        document=document,
    )


def _apply_event(answer: StreamedAnswer, event: Event, started_at: float) -> None:
    if event.name == "error":
        document = msgspec.json.decode(event.data)
        raise Problem(
            status=document["status"],
            kind=document["kind"],
            ran=document["ran"],
            detail=document["detail"],
            document=document,
        )
    if event.data == b"[DONE]":
        answer.finished = True
        return
    choice = msgspec.json.decode(event.data)["choices"][0]
    n = int(event.id.rpartition(".")[2])
    if n != answer.n_events + 1:
        raise Problem(
            status=0,
            kind="out_of_order",
            ran=ExecutionStatus.UNKNOWN,
            detail=f"event {n} after {answer.n_events}",
        )
    if not answer.n_events:
        answer.first_token_s = time.monotonic() - started_at
    answer.n_events = n
    answer.text += choice.get("text") or choice.get("delta", {}).get("content", "")
