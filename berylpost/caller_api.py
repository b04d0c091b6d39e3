"""What callers may ask: addresses, completions, their requests, plain services."""

import hashlib
import re
import socket
import uuid
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Annotated, Any, Final
from urllib.parse import quote

import msgspec
from msgspec import Meta, Struct

from .configuration import Customer, Identity, is_idempotent
from .deferred import DEADLINE_S, DeferQuery, make_request_id, read_shard
from .drain import DrainState
from .errors import BerylpostError, ErrorKind, ExecutionStatus
from .forwarding import ServiceCall
from .messages import DeferAnswer, DeferRequest, HeldRequest
from .policy.addresses import N_ADDRESSES, choose_addresses
from .policy.ledger import choose_owner, choose_shard
from .policy.membership import Table, find_successor, list_active
from .relay_messages import Attach, Query, Submit
from .services import Defer
from .streams import StreamRequest, parse_event_id
from .web import HttpRequest, HttpResponse, Site, TakeSocket, register_route

JSON: Final = (("Content-Type", "application/json"),)
KEY_PATTERN: Final = re.compile(r"[\x21-\x7e]{1,200}")
WAIT_PATTERN: Final = re.compile(r"wait=(\d{1,5})")
MAX_WAIT_S: Final = 3_600.0
QUERY_TIMEOUT_S: Final = 2.0
MAX_HOPS: Final = 2
FORWARDED_HEADERS: Final = frozenset({"content-type", "accept", "accept-language"})


class Turn(Struct, frozen=True):
    """One turn of a chat."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str


class Completion(Struct, frozen=True):
    """The checked members of a completion; others pass through to the engine."""

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    prompt: str
    max_tokens: Annotated[int, Meta(ge=1)] = 16
    stream: bool = False
    n: Annotated[int, Meta(ge=1, le=1)] = 1


class ChatCompletion(Struct, frozen=True):
    """The checked members of a chat completion."""

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    messages: Annotated[tuple[Turn, ...], Meta(min_length=1)]
    max_tokens: Annotated[int, Meta(ge=1)] = 16
    stream: bool = False
    n: Annotated[int, Meta(ge=1, le=1)] = 1


_SHAPES: Final = {False: Completion, True: ChatCompletion}


def reply_json(value: object, status: int = 200) -> HttpResponse:
    """Makes a JSON answer."""
    return HttpResponse(status=status, headers=JSON, body=msgspec.json.encode(value))


def describe_addresses(site: Site) -> dict[str, Any]:
    """Describes a few daemons that take work, and for how long to keep them."""
    table: Table = site.slot("members")
    chosen = choose_addresses(
        list_active(table), n_wanted=N_ADDRESSES, random_state=site.random_state
    )
    return {
        "addresses": [{"address": m.http, "zone": m.zone, "id": m.id} for m in chosen],
        "ttl_s": site.context.settings.drain.address_ttl_s,
    }


def check_serving(site: Site) -> None:
    """Refuses new work once this daemon's kept addresses have aged.

    Raises:
        BerylpostError: `LEAVING`, with fresh addresses.
    """
    if site.slot("drain") not in (DrainState.SERVING, DrainState.AGING):
        raise BerylpostError(
            ErrorKind.LEAVING,
            "use one of the addresses",
            retry_after_s=1,
            fields=describe_addresses(site),
        )


def read_key(request: HttpRequest) -> str:
    """Reads the Idempotency-Key; empty when there is none.

    Raises:
        BerylpostError: `BAD_REQUEST`.
    """
    key = request.headers.get("idempotency-key", "")
    if key and not KEY_PATTERN.fullmatch(key):
        raise BerylpostError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key: 1 to 200 visible ASCII characters"
        )
    return key


def read_wait(request: HttpRequest) -> float | None:
    """Reads `Prefer: wait=SECONDS` (RFC 7240); None when it is not there."""
    found = WAIT_PATTERN.search(request.headers.get("prefer", ""))
    if found is None:
        return None
    return max(1.0, min(MAX_WAIT_S, float(found[1])))


def get_addresses(site: Site, _: HttpRequest) -> HttpResponse:
    """`GET /v1/addresses`."""
    return reply_json(describe_addresses(site))


def parse_body(body: bytes, *, chat: bool, max_tokens: int) -> dict[str, Any]:
    """Checks a completion's body.

    Returns:
        The whole document, unknown members included.

    Raises:
        BerylpostError: `BAD_REQUEST` with the path of the fault.
    """
    try:
        document = msgspec.json.decode(body)
        checked = msgspec.convert(document, _SHAPES[chat])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, str(error)) from error
    if checked.max_tokens > max_tokens:
        raise BerylpostError(
            ErrorKind.BAD_REQUEST, f"at most {max_tokens} - at `$.max_tokens`"
        )
    # A lone surrogate passes JSON but not UTF-8, and would fail at the engine.
    return dict(document)


def post_completion(
    site: Site, request: HttpRequest, *, chat: bool
) -> HttpResponse | TakeSocket:
    """`POST /v1/completions` and `/v1/chat/completions`."""
    check_serving(site)
    identity = request.require_identity()
    customer = identity.customer
    assert customer is not None
    limit = site.context.settings.relay.max_tokens
    body = parse_body(request.body, chat=chat, max_tokens=limit)
    stream_request = make_stream_request(site, request, identity, customer, body, chat)
    if "respond-async" in request.headers.get("prefer", ""):
        return defer_completion(site, stream_request)

    def hand_over(sock: socket.socket) -> None:
        site.context.post("relay", Submit(request=stream_request, socket=sock))

    return TakeSocket(owner=hand_over)


def defer_completion(site: Site, request: StreamRequest) -> HttpResponse:
    """Has a request kept by the owner of its shard; 202 once it is durable.

    With an Idempotency-Key the id follows from it, so that a repeat at any daemon
    is the same request.

    Raises:
        BerylpostError: refused; not run, though with a lost answer the work may
            have been accepted, which a repeat with the same key shows.
    """
    settings = site.context.settings
    unique = uuid.uuid4().hex[:24]
    if request.key:
        named = f"{request.deployment}/{request.customer}/{request.key}"
        unique = hashlib.sha256(named.encode()).hexdigest()[:24]
    shard = choose_shard(unique, settings.ledger.n_shards)
    held = HeldRequest(
        id=make_request_id(shard, unique),
        deployment=request.deployment,
        customer=request.customer,
        chat=request.chat,
        stream=False,
        body=request.body,
        deadline_s=DEADLINE_S,
        text=b"",
        ends=b"",
        n_tokens=0,
        backend="",
    )
    message = DeferRequest(sender=settings.daemon.id, shard=shard, held=held)
    answer: Future[DeferAnswer] = Future()
    site.context.post("services", Defer(request=message, answer=answer))
    try:
        answered = answer.result(timeout=settings.ledger.intent_timeout_s)
    except FutureTimeoutError as error:
        answer.cancel()
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE,
            "not known to be kept; repeat with the same Idempotency-Key",
            retry_after_s=2,
            ran=ExecutionStatus.UNKNOWN,
        ) from error
    if answered.kind is not None:
        raise BerylpostError(answered.kind, "too much deferred work", retry_after_s=10)
    location = f"/v1/requests/{held.id}"
    headers = (*JSON, ("Location", location), ("X-Request-Id", held.id))
    body = msgspec.json.encode({"id": held.id, "state": "accepted"})
    return HttpResponse(status=202, headers=headers, body=body)


def ask_task(site: Site, task: str, query: Query | DeferQuery) -> dict[str, Any] | None:
    """Asks a task for a request and waits for its answer.

    Raises:
        BerylpostError: `OVERLOADED`, no answer in time.
    """
    site.context.post(task, query)
    try:
        return query.result.result(timeout=QUERY_TIMEOUT_S)
    except FutureTimeoutError as error:
        raise BerylpostError(ErrorKind.OVERLOADED, "try again") from error


def get_deferred(site: Site, request: HttpRequest, shard: int) -> HttpResponse:
    """Answers for deferred work, or sends the caller to the shard's owner."""
    stream_id = request.params["id"]
    result: Future[dict[str, Any] | None] = Future()
    query = DeferQuery(
        request=stream_id, owner=request.require_identity().owner, result=result
    )
    found = ask_task(site, "ledger", query)
    if found is not None:
        if found["state"] == "unknown":
            raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
        return reply_json({"id": stream_id, **found})
    table: Table = site.slot("members")
    members = {m.id: m for m in list_active(table)}
    owner = choose_owner(shard, list(members))
    hops = request.arguments.get("hops", "0")
    n_hops = int(hops) if hops.isdecimal() and len(hops) < 3 else MAX_HOPS
    if not owner or owner == table.self_id or n_hops >= MAX_HOPS:
        # While a shard moves two daemons may each take the other for its owner.
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, "its shard is changing hands", retry_after_s=1
        )
    location = f"//{members[owner].http}{request.path}?hops={n_hops + 1}"
    return HttpResponse(status=307, headers=(("Location", location),))


def make_stream_request(
    site: Site,
    request: HttpRequest,
    identity: Identity,
    customer: Customer,
    body: dict[str, Any],
    chat: bool,
) -> StreamRequest:
    """Makes the relay's request; the id tells which daemon accepted it."""
    wait_s = read_wait(request)
    target = site.slot("configurations")[identity.deployment].deployment.target
    return StreamRequest(
        id=f"{site.context.process_id}.{uuid.uuid4().hex[:16]}",
        deployment=identity.deployment,
        customer=customer.name,
        weight=customer.weight,
        priority=customer.priority,
        chat=chat,
        stream=bool(body.get("stream", False)),
        body=body,
        # Without a word of the caller the target decides how long waiting helps.
        patience_s=wait_s if wait_s is not None else target.first_token_ms / 1_000,
        deadline_s=wait_s or site.context.settings.relay.default_deadline_s,
        key=read_key(request),
    )


def query_request(site: Site, request: HttpRequest, stream_id: str) -> dict[str, Any]:
    """Asks the relay for a request of this customer.

    Raises:
        BerylpostError: `NOT_FOUND`, unknown here or another customer's.
    """
    result: Future[dict[str, Any] | None] = Future()
    query = Query(
        stream_id=stream_id, owner=request.require_identity().owner, result=result
    )
    found = ask_task(site, "relay", query)
    if found is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
    return found


def redirect_request(site: Site, request: HttpRequest, stream_id: str) -> HttpResponse:
    """Sends a caller to the daemon that has a request now.

    Raises:
        BerylpostError: `NOT_FOUND` when nobody is known to have it.
    """
    table: Table = site.slot("members")
    members = {i: e.member for i, e in table.entries.items()}
    holder = find_successor(members, stream_id.partition(".")[0])
    if not holder or holder == table.self_id:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
    location = f"//{members[holder].http}{request.path}"
    return HttpResponse(status=307, headers=(("Location", location),))


def get_request(site: Site, request: HttpRequest) -> HttpResponse:
    """`GET /v1/requests/{id}`."""
    stream_id = request.params["id"]
    shard = read_shard(stream_id)
    if shard is not None:
        return get_deferred(site, request, shard)
    try:
        return reply_json(query_request(site, request, stream_id))
    except BerylpostError as error:
        if error.kind is not ErrorKind.NOT_FOUND:
            raise
    return redirect_request(site, request, stream_id)


def get_request_answer(
    site: Site, request: HttpRequest, *, whole: bool
) -> HttpResponse | TakeSocket:
    """`GET /v1/requests/{id}/events` and `/answer`: waits for what is missing."""
    stream_id = request.params["id"]
    after = 0
    event_id = request.headers.get("last-event-id", "")
    if event_id:
        named, after = parse_event_id(event_id)
        if named != stream_id:
            raise BerylpostError(
                ErrorKind.BAD_REQUEST, "Last-Event-ID is of another request"
            )
    try:
        found = query_request(site, request, stream_id)
    except BerylpostError as error:
        if error.kind is not ErrorKind.NOT_FOUND:
            raise
        return redirect_request(site, request, stream_id)
    if found["state"] == "moved" and found["moved_to"]:
        location = f"//{found['moved_to']}{request.path}"
        return HttpResponse(status=307, headers=(("Location", location),))

    def hand_over(sock: socket.socket) -> None:
        attach = Attach(stream_id=stream_id, socket=sock, after=after, whole=whole)
        site.context.post("relay", attach)

    return TakeSocket(owner=hand_over)


def call_service(site: Site, request: HttpRequest) -> HttpResponse:
    """Any method on `/v1/services/{service}/{path}`."""
    check_serving(site)
    identity = request.require_identity()
    assert identity.customer is not None
    deployment = site.slot("configurations")[identity.deployment].deployment
    name = request.params["service"]
    service = next((s for s in deployment.services if s.name == name), None)
    if service is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no service {name!r}")
    path = "/" + request.params["path"]
    query = f"?{request.query}" if request.query else ""
    call = ServiceCall(
        id=uuid.uuid4().hex,
        deployment=identity.deployment,
        customer=identity.customer.name,
        service=name,
        method=request.method,
        path=quote(path, safe="/:@!$&'()*+,;=-._~") + query,
        headers=tuple(
            (k, v) for k, v in request.headers.items() if k in FORWARDED_HEADERS
        ),
        body=request.body,
        # Without a key of the caller this one call still runs at most once.
        key=read_key(request) or f"generated-{uuid.uuid4().hex}",
        deadline_s=read_wait(request) or site.context.settings.ledger.call_timeout_s,
    )
    idempotent = is_idempotent(service, request.method, path)
    outcome = site.forwarder.call(call, idempotent=idempotent)
    return HttpResponse(
        status=outcome.status, headers=outcome.headers, body=outcome.body
    )


register_route("GET", "/v1/addresses", "open", get_addresses)
register_route(
    "POST",
    "/v1/completions",
    "customer",
    lambda s, r: post_completion(s, r, chat=False),
)
register_route(
    "POST",
    "/v1/chat/completions",
    "customer",
    lambda s, r: post_completion(s, r, chat=True),
)
register_route("GET", "/v1/requests/{id}", "customer", get_request)
register_route(
    "GET",
    "/v1/requests/{id}/events",
    "customer",
    lambda s, r: get_request_answer(s, r, whole=False),
)
register_route(
    "GET",
    "/v1/requests/{id}/answer",
    "customer",
    lambda s, r: get_request_answer(s, r, whole=True),
)
register_route("*", "/v1/services/{service}/{path*}", "customer", call_service)
