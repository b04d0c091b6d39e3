"""Conversion between HTTP headers and berylpost's types."""

import re
from collections.abc import Iterable, Sequence
from typing import Final
from urllib.parse import unquote

from ..edge.model import LoadReport, PromptPart, RequestHead
from . import names

Header = tuple[bytes, bytes]

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"host",
    }
)
MAX_DIGITS: Final = 18
RATE_PATTERN: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
N_LOAD_FIGURES: Final = 3  # running, waiting and slots
# A server that is slower by a factor of 100 answers nothing in time; more is an error.
MAX_WORK_PERCENT: Final = 10_000.0
# Below this the figure would promise ten times the usual speed, which no machine has.
MIN_WORK_PERCENT: Final = 10.0
MAX_DEADLINE_S: Final = 86_400.0  # larger values are ignored as errors of the caller


def decode_request(
    method: bytes, target: bytes, headers: Sequence[Header]
) -> RequestHead:
    """Decodes the head of a request, whose header names are in lower case.

    Header values that cannot be decoded are treated as absent.
    """
    by_name = {name: value.strip() for name, value in headers}
    connection_options = {
        token.strip().lower()
        for token in by_name.get(b"connection", b"").split(b",")
        if token.strip()
    }
    dropped = HOP_BY_HOP_HEADERS | names.SYSTEM_HEADERS | connection_options
    prompt_tokens, output_tokens = _parse_counts(by_name.get(names.TOKEN_COUNTS, b""))
    scheme, _, key = (
        by_name.get(names.AUTHORIZATION, b"").decode("latin-1").partition(" ")
    )
    host = by_name.get(b"host", b"").decode("latin-1").lower()
    return RequestHead(
        method=method,
        target=target,
        host=host.partition(":")[0],
        path=target.partition(b"?")[0].decode("latin-1"),
        id=by_name.get(names.ATTEMPT_ID, b"").decode("latin-1"),
        deadline_s=_parse_ms(by_name.get(names.DEADLINE, b"")),
        key=key.strip() if scheme.lower() == "bearer" else "",
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_parse_parts(by_name.get(names.PROMPT_PARTS, b"")),
        last_event_id=by_name.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
        resumed_id=by_name.get(names.RESUMED_ID, b"").decode("latin-1"),
        headers=tuple((n, v) for n, v in headers if n not in dropped),
    )


def render_request(
    head: RequestHead,
    *,
    host: bytes,
    body: bytes,
    backend_id: str,
    customer: str,
    deadline_s: float,
    last_event_id: str,
    urgency: int | None,
    kv_source: str = "",
) -> bytes:
    """Renders a request for one backend server.

    Args:
        head: head of the caller's request.
        host: value of the caller's `Host` header.
        body: the whole body.
        backend_id: id of the server that is expected at the address.
        customer: customer whose key the caller sent; empty for none.
        deadline_s: time left for the server.
        last_event_id: id of the event after which a stream continues; empty to start at
            the first event.
        urgency: from 0, served first, to 9; None for the server's default.
        kv_source: location of the run's KV cache, `IP:PORT/HANDLE`; empty for none.
    """
    deadline = b"%d" % max(1, int(deadline_s * 1_000))
    lines = [head.method + b" " + head.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in head.headers]
    lines.append(names.DEADLINE + b": " + deadline)
    lines.append(names.EXPECTED_BACKEND + b": " + backend_id.encode("latin-1"))
    if customer:
        lines.append(names.CUSTOMER + b": " + customer.encode("latin-1"))
    if last_event_id:
        lines.append(names.LAST_EVENT_ID + b": " + last_event_id.encode("latin-1"))
    if urgency is not None:
        lines.append(names.URGENCY + b": %d" % urgency)
    if kv_source:
        lines.append(names.KV_SOURCE + b": " + kv_source.encode("latin-1"))
    if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def filter_response_headers(headers: Iterable[Header]) -> list[Header]:
    """Returns the headers of a response that are passed on to the caller."""
    all_headers = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in all_headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (n, v)
        for n, v in all_headers
        if n not in HOP_BY_HOP_HEADERS and n not in connection_options
    ]


def is_signed(headers: Iterable[Header]) -> bool:
    """Tells whether callers receive a response with its server's signature."""
    passed_on = filter_response_headers(headers)
    return any(name == names.SIGNATURE and value for name, value in passed_on)


def parse_load(value: bytes) -> LoadReport | None:
    """Parses the load of a backend server; returns None if it is malformed.

    The fourth figure is optional. A malformed one counts as missing.
    """
    parts = value.split(b",")
    try:
        running, waiting, slots = (int(part) for part in parts[:N_LOAD_FIGURES])
    except ValueError:
        return None
    if len(parts) > N_LOAD_FIGURES + 1:
        return None
    work_percent = parse_rate_limit(b"".join(parts[N_LOAD_FIGURES:]))
    if work_percent is not None and not (
        MIN_WORK_PERCENT <= work_percent <= MAX_WORK_PERCENT
    ):
        work_percent = None
    return LoadReport(running, waiting, slots, work_percent)


def parse_rate_limit(value: bytes) -> float | None:
    """Parses the requests a second that a server takes; None if it is malformed."""
    text = value.strip()
    if not RATE_PATTERN.fullmatch(text):
        return None
    return float(text)


def parse_leaving(value: bytes) -> bool | None:
    """Parses whether a server says that it leaves; None if it is malformed."""
    return {b"": False, b"1": True}.get(value.strip())


def parse_keep_alive(value: bytes) -> float | None:
    """Parses the seconds for which a server keeps an idle connection open."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def parse_query(target: bytes) -> dict[str, str]:
    """Parses the query of a request target into values by lower-case name."""
    query = target.partition(b"?")[2].decode("latin-1")
    pairs = (pair.partition("=") for pair in query.split("&") if pair)
    return {unquote(name).lower(): unquote(value) for name, _, value in pairs}


def is_number(text: str | bytes) -> bool:
    """Tells whether a text is a decimal number that `int` converts.

    `str.isdigit` accepts digits such as `²`, and `int` refuses thousands of digits.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _parse_ms(value: bytes) -> float | None:
    try:
        seconds = float(value) / 1_000
    except ValueError:
        return None
    return seconds if 0 <= seconds <= MAX_DEADLINE_S else None


def _parse_counts(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    try:
        return max(0, int(first)), max(0, int(second))
    except ValueError:
        return 0, 0


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, count = entry.strip().partition(":")
        if part_id and is_number(count):
            parts.append(PromptPart(part_id, int(count)))
    return tuple(parts)
