"""HTTP handlers for callers: addresses, completions, requests and plain services."""

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
from .deferred import DEADLINE_S, DeferQuery, make_request_id, parse_shard_number
from .drain import ACCEPTING_STATES
from .errors import BerylpostError, ErrorKind, ExecutionStatus
from .forwarding import ServiceCall
from .messages import DeferAnswer, DeferRequest, HeldRequest
from .policy.addresses import N_ADDRESSES, choose_addresses
from .policy.ledger import choose_owner, choose_shard
from .policy.membership import Table, find_successor, list_active
from .relay_messages import Attach, Query, Submit
from .services import StoreDeferred
from .streams import StreamRequest, parse_event_id
from .web import AppState, HttpRequest, HttpResponse, SocketHandover, register_route

JSON: Final = (("Content-Type", "application/json"),)
KEY_PATTERN: Final = re.compile(r"[\x21-\x7e]{1,200}")
WAIT_PATTERN: Final = re.compile(r"wait=(\d{1,5})")
MAX_WAIT_S: Final = 3_600.0
QUERY_TIMEOUT_S: Final = 2.0
MAX_HOPS: Final = 2
FORWARDED_HEADERS: Final = frozenset({"content-type", "accept", "accept-language"})


class Turn(Struct, frozen=True):
    """One message of a chat."""

    role: Annotated[str, Meta(min_length=1, max_length=64)]
    content: str


class Completion(Struct, frozen=True):
    """The validated members of a completion; others are passed to the engine."""

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    prompt: str
    max_tokens: Annotated[int, Meta(ge=1)] = 16
    stream: bool = False
    n: Annotated[int, Meta(ge=1, le=1)] = 1


class ChatCompletion(Struct, frozen=True):
    """The validated members of a chat completion; others are passed to the engine."""

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    messages: Annotated[tuple[Turn, ...], Meta(min_length=1)]
    max_tokens: Annotated[int, Meta(ge=1)] = 16
    stream: bool = False
    n: Annotated[int, Meta(ge=1, le=1)] = 1


_BODY_TYPES: Final = {False: Completion, True: ChatCompletion}


def reply_json(value: object, status: int = 200) -> HttpResponse:
    """Makes a JSON response."""
    return HttpResponse(status=status, headers=JSON, body=msgspec.json.encode(value))


def describe_addresses(app: AppState) -> dict[str, Any]:
    """Lists a few daemons that accept work, and how long callers may cache them."""
    table: Table = app.read_slot("members")
    chosen = choose_addresses(
        list_active(table), n_wanted=N_ADDRESSES, random_state=app.random_state
    )
    return {
        "addresses": [{"address": m.http, "zone": m.zone, "id": m.id} for m in chosen],
        "ttl_s": app.context.settings.drain.address_ttl_s,
    }


def check_serving(app: AppState) -> None:
    """Refuses new work once callers' cached addresses of this daemon have expired.

    Raises:
        BerylpostError: `LEAVING`, with fresh addresses.
    """
    if app.read_slot("drain") not in ACCEPTING_STATES:
        raise BerylpostError(
            ErrorKind.LEAVING,
            "use one of the addresses",
            retry_after_s=1,
            fields=describe_addresses(app),
        )


def read_idempotency_key(request: HttpRequest) -> str:
    """Reads the Idempotency-Key header; empty when there is none.

    Raises:
        BerylpostError: `BAD_REQUEST` for a malformed key.
    """
    key = request.headers.get("idempotency-key", "")
    if key and not KEY_PATTERN.fullmatch(key):
        raise BerylpostError(
            ErrorKind.BAD_REQUEST, "Idempotency-Key: 1 to 200 visible ASCII characters"
        )
    return key


def read_preferred_wait(request: HttpRequest) -> float | None:
    """Reads `Prefer: wait=SECONDS` (RFC 7240); None when it is absent."""
    found = WAIT_PATTERN.search(request.headers.get("prefer", ""))
    if found is None:
        return None
    return max(1.0, min(MAX_WAIT_S, float(found[1])))


def get_addresses(app: AppState, _: HttpRequest) -> HttpResponse:
    """`GET /v1/addresses`."""
    return reply_json(describe_addresses(app))


def parse_body(body: bytes, *, chat: bool, max_tokens: int) -> dict[str, Any]:
    """Parses and validates a completion's body.

    Returns:
        The whole document, unknown members included.

    Raises:
        BerylpostError: `BAD_REQUEST` with the path of the invalid member.
    """
    try:
        document = msgspec.json.decode(body)
        checked = msgspec.convert(document, _BODY_TYPES[chat])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BerylpostError(ErrorKind.BAD_REQUEST, str(error)) from error
    if checked.max_tokens > max_tokens:
        raise BerylpostError(
            ErrorKind.BAD_REQUEST, f"at most {max_tokens} - at `$.max_tokens`"
        )
    # A lone surrogate is valid JSON but not UTF-8, and would fail at the engine.
    return dict(document)


def post_completion(
    app: AppState, request: HttpRequest, *, chat: bool
) -> HttpResponse | SocketHandover:
    """`POST /v1/completions` and `/v1/chat/completions`."""
    check_serving(app)
    identity = request.require_identity()
    customer = identity.customer
    assert customer is not None
    limit = app.context.settings.relay.max_tokens
    body = parse_body(request.body, chat=chat, max_tokens=limit)
    stream_request = make_stream_request(app, request, identity, customer, body, chat)
    if "respond-async" in request.headers.get("prefer", ""):
        return defer_completion(app, stream_request)

    def hand_over(sock: socket.socket) -> None:
        app.context.post("relay", Submit(request=stream_request, socket=sock))

    return SocketHandover(receiver=hand_over)


def defer_completion(app: AppState, request: StreamRequest) -> HttpResponse:
    """Stores a request with the owner of its shard; answers 202 once it is durable.

    With an Idempotency-Key the id is derived from the key, so that a repeat at any
    daemon is the same request.

    Raises:
        BerylpostError: the request was refused and does not run; or no answer came
            in time and it may have been accepted, which a repeat with the same key
            shows.
    """
    settings = app.context.settings
    unique = uuid.uuid4().hex[:24]
    if request.key:
        key_name = f"{request.deployment}/{request.customer}/{request.key}"
        unique = hashlib.sha256(key_name.encode()).hexdigest()[:24]
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
    app.context.post("services", StoreDeferred(request=message, answer=answer))
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


def ask_task(
    app: AppState, task: str, query: Query | DeferQuery
) -> dict[str, Any] | None:
    """Asks a task for the status of a request and waits for the answer.

    Raises:
        BerylpostError: `OVERLOADED` when no answer came in time.
    """
    app.context.post(task, query)
    try:
        return query.result.result(timeout=QUERY_TIMEOUT_S)
    except FutureTimeoutError as error:
        raise BerylpostError(ErrorKind.OVERLOADED, "try again") from error


def get_deferred(app: AppState, request: HttpRequest, shard: int) -> HttpResponse:
    """Returns the status of a deferred request, or redirects to the shard's owner."""
    stream_id = request.params["id"]
    result: Future[dict[str, Any] | None] = Future()
    query = DeferQuery(
        request=stream_id, owner=request.require_identity().owner, result=result
    )
    found = ask_task(app, "ledger", query)
    if found is not None:
        if found["state"] == "unknown":
            raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
        return reply_json({"id": stream_id, **found})
    table: Table = app.read_slot("members")
    members = {m.id: m for m in list_active(table)}
    owner = choose_owner(shard, list(members))
    hops = request.arguments.get("hops", "0")
    n_hops = int(hops) if hops.isdecimal() and len(hops) < 3 else MAX_HOPS
    if not owner or owner == table.self_id or n_hops >= MAX_HOPS:
        # While a shard moves, two daemons may each consider the other its owner.
        raise BerylpostError(
            ErrorKind.STORE_UNAVAILABLE, "its shard is changing hands", retry_after_s=1
        )
    location = f"//{members[owner].http}{request.path}?hops={n_hops + 1}"
    return HttpResponse(status=307, headers=(("Location", location),))


def make_stream_request(
    app: AppState,
    request: HttpRequest,
    identity: Identity,
    customer: Customer,
    body: dict[str, Any],
    chat: bool,
) -> StreamRequest:
    """Makes the relay's request; its id names the process that accepted it."""
    wait_s = read_preferred_wait(request)
    target = app.read_slot("configurations")[identity.deployment].deployment.target
    return StreamRequest(
        id=f"{app.context.process_id}.{uuid.uuid4().hex[:16]}",
        deployment=identity.deployment,
        customer=customer.name,
        weight=customer.weight,
        priority=customer.priority,
        chat=chat,
        stream=bool(body.get("stream", False)),
        body=body,
        # If the caller gives no wait, queueing is useful only up to the target.
        patience_s=wait_s if wait_s is not None else target.first_token_ms / 1_000,
        deadline_s=wait_s or app.context.settings.relay.default_deadline_s,
        key=read_idempotency_key(request),
    )


def query_request(
    app: AppState, request: HttpRequest, stream_id: str
) -> dict[str, Any]:
    """Asks the relay for the status of a request of this customer.

    Raises:
        BerylpostError: `NOT_FOUND` for an unknown or another customer's request.
    """
    result: Future[dict[str, Any] | None] = Future()
    query = Query(
        stream_id=stream_id, owner=request.require_identity().owner, result=result
    )
    found = ask_task(app, "relay", query)
    if found is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
    return found


def redirect_request(
    app: AppState, request: HttpRequest, stream_id: str
) -> HttpResponse:
    """Redirects a caller to the daemon that took a request over.

    Raises:
        BerylpostError: `NOT_FOUND` when no other daemon is known to have it.
    """
    table: Table = app.read_slot("members")
    members = {i: e.member for i, e in table.entries.items()}
    successor = find_successor(members, stream_id.partition(".")[0])
    if not successor or successor == table.self_id:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no request {stream_id!r}")
    location = f"//{members[successor].http}{request.path}"
    return HttpResponse(status=307, headers=(("Location", location),))


def get_request(app: AppState, request: HttpRequest) -> HttpResponse:
    """`GET /v1/requests/{id}`."""
    stream_id = request.params["id"]
    shard = parse_shard_number(stream_id)
    if shard is not None:
        return get_deferred(app, request, shard)
    try:
        return reply_json(query_request(app, request, stream_id))
    except BerylpostError as error:
        if error.kind is not ErrorKind.NOT_FOUND:
            raise
    return redirect_request(app, request, stream_id)


def get_request_answer(
    app: AppState, request: HttpRequest, *, whole: bool
) -> HttpResponse | SocketHandover:
    """`GET /v1/requests/{id}/events` and `/answer`: waits for the missing part."""
    stream_id = request.params["id"]
    after = 0
    event_id = request.headers.get("last-event-id", "")
    if event_id:
        event_stream_id, after = parse_event_id(event_id)
        if event_stream_id != stream_id:
            raise BerylpostError(
                ErrorKind.BAD_REQUEST, "Last-Event-ID is of another request"
            )
    try:
        found = query_request(app, request, stream_id)
    except BerylpostError as error:
        if error.kind is not ErrorKind.NOT_FOUND:
            raise
        return redirect_request(app, request, stream_id)
    if found["state"] == "moved" and found["moved_to"]:
        location = f"//{found['moved_to']}{request.path}"
        return HttpResponse(status=307, headers=(("Location", location),))

    def hand_over(sock: socket.socket) -> None:
        attach = Attach(stream_id=stream_id, socket=sock, after=after, whole=whole)
        app.context.post("relay", attach)

    return SocketHandover(receiver=hand_over)


def call_service(app: AppState, request: HttpRequest) -> HttpResponse:
    """`/v1/services/{service}/{path}` with any method."""
    check_serving(app)
    identity = request.require_identity()
    assert identity.customer is not None
    deployment = app.read_slot("configurations")[identity.deployment].deployment
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
        # Even without the caller's key this single call runs at most once.
        key=read_idempotency_key(request) or f"generated-{uuid.uuid4().hex}",
        deadline_s=read_preferred_wait(request)
        or app.context.settings.ledger.call_timeout_s,
    )
    idempotent = is_idempotent(service, request.method, path)
    outcome = app.forwarder.call(call, idempotent=idempotent)
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
