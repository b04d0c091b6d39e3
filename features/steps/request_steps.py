"""Step definitions of requests.feature."""

import errno
import http.client
import json
import re
import socket
import time

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st
from steps.shared import DETERMINISTIC, MODEL, is_complete_answer, run_concurrently

from berylpost.bench.fleet import wait_until
from berylpost.callers import Caller
from berylpost.client import Client, Problem, parse_events
from berylpost.demo import expect_text
from berylpost.errors import ErrorKind
from berylpost.fakes.engine import generate_words, render_prompt
from berylpost.fakes.service import N_EVENTS
from berylpost.streams import (
    Stream,
    StreamRequest,
    StreamState,
    render_event,
    render_stream_head,
)


def make_document(prompt: str, n_tokens: int, **more: object) -> dict[str, object]:
    return {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens, **more}


def ask(client: Client, prompt: str, n_tokens: int) -> object:
    return client.complete("/v1/completions", make_document(prompt, n_tokens))


@when("{n:d} summaries of {n_tokens:d} tokens are asked for at once over all daemons")
def ask_many(context: Context, n: int, n_tokens: int) -> None:
    prompts = [f"log {i} of the day, gate {i % 3}" for i in range(n)]
    context.n_tokens = n_tokens
    clients = [
        Client(addresses=[context.fleet.daemons[i % 3].http], token="weighbridge-token")
        for i in range(n)
    ]
    answers = run_concurrently(
        [
            lambda c=c, p=p: ask(c, p, n_tokens)
            for c, p in zip(clients, prompts, strict=True)
        ]
    )
    context.answers = list(zip(prompts, answers, strict=True))


@then("each caller has the whole answer to its own prompt")
def check_answers(context: Context) -> None:
    bad = [
        (prompt, answer)
        for prompt, answer in context.answers
        if not is_complete_answer(answer, prompt, context.n_tokens)
    ]
    assert not bad, bad


@when("a chat of {n:d} tokens is asked for without streaming")
def ask_chat(context: Context, n: int) -> None:
    context.document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "a calm evening"}],
        "max_tokens": n,
    }
    context.answer = context.fleet.make_client().call(
        "POST", "/v1/chat/completions", document=context.document
    )


@then("the answer has {n:d} tokens and says that it ended by length")
def check_chat(context: Context, n: int) -> None:
    words = generate_words(render_prompt(context.document))
    choice = context.answer["choices"][0]
    assert choice["message"]["content"] == "".join(next(words) for _ in range(n))
    assert choice["finish_reason"] == "length"
    assert context.answer["usage"]["completion_tokens"] == n


def set_engine_faults(context: Context, **fault: object) -> None:
    for engine in context.fleet.world.world.engines.values():
        context.fleet.set_fault(engine.server.endpoint, match="/v1/", **fault)

    def end_faults() -> None:
        for engine in context.fleet.world.world.engines.values():
            context.fleet.set_fault(engine.server.endpoint)

    context.add_cleanup(end_faults)


@given("one engine cuts its answers after {n:d} tokens and the other {answers}")
def cut_at_one(context: Context, n: int, answers: str) -> None:
    first, second = context.fleet.world.world.engines.values()
    context.fleet.set_fault(first.server.endpoint, cuts=1_000, cut_after=n)
    faults = {"refuses": {"refuse": 1_000}, "stops inside its head": {"cut_heads": 99}}
    context.fleet.set_fault(
        second.server.endpoint, methods=["POST"], match="complet", **faults[answers]
    )


@given("both engines cut the next {n:d} answers after {n_tokens:d} tokens")
def cut_answers(context: Context, n: int, n_tokens: int) -> None:
    set_engine_faults(context, cuts=n, cut_after=n_tokens)


@given(
    "both engines close the next {n:d} answers {framing} in the middle of event "
    "{number:d}"
)
def close_answers(context: Context, n: int, framing: str, number: int) -> None:
    set_engine_faults(
        context,
        cuts=n,
        cut_after=number - 1,
        closes=True,
        framed=framing == "in chunks",
    )


@given(
    "the intake service closes {n:d} streams {framing} in the middle of event "
    "{number:d}"
)
def close_service_streams(context: Context, n: int, framing: str, number: int) -> None:
    services = list(context.fleet.world.world.services.values())
    # A single fault at one of the servers leaves the others to take the call.
    for index, service in enumerate(services):
        context.fleet.set_fault(
            service.server.endpoint,
            cuts=n if n != 1 or not index else 0,
            cut_after=number - 1,
            closes=True,
            framed=framing == "in chunks",
        )

    def end_faults() -> None:
        for service in services:
            context.fleet.set_fault(service.server.endpoint)

    context.add_cleanup(end_faults)


@given(
    "both engines and the services send the next {n:d} answers with an endless {part}"
)
def send_endlessly(context: Context, n: int, part: str) -> None:
    world = context.fleet.world.world
    for engine in world.engines.values():
        context.fleet.set_fault(
            engine.server.endpoint, endless=n, endless_head=part == "head", match="/v1/"
        )
    for service in world.services.values():
        context.fleet.set_fault(
            service.server.endpoint,
            endless=1_000,
            endless_head=part == "head",
            match="/events",
        )
    context.resident = [d.read_resident_bytes() for d in context.fleet.daemons]


@given("both engines and the services end the next answers with endless trailer fields")
def end_with_trailers(context: Context) -> None:
    world = context.fleet.world.world
    servers = [*world.engines.values(), *world.services.values()]
    for server in servers:
        context.fleet.set_fault(server.server.endpoint, endless_trailers=1_000)
    context.resident = [d.read_resident_bytes() for d in context.fleet.daemons]


@then("every daemon took at most {n:d} MB more than before")
def check_memory(context: Context, n: int) -> None:
    for daemon, before in zip(context.fleet.daemons, context.resident, strict=True):
        taken_mb = (daemon.read_resident_bytes() - before) / (1 << 20)
        assert taken_mb <= n, taken_mb


@when("a caller asks the service for its events")
def ask_events(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    client = Client(addresses=[daemon.http], token="weighbridge-token", timeout_s=15.0)
    context.results = []
    for _ in range(4):
        try:
            response = client.request(
                "GET", "/v1/services/intake/events", address=daemon.http
            )
            context.results.append(response.data)
        except Problem as problem:
            context.results.append(problem.kind)


@then("the service call returns all events")
def check_events(context: Context) -> None:
    events = b"".join(b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, N_EVENTS + 1))
    assert context.results == [events] * 4, context.results


@then("the service call fails with {kind}")
def check_service_error(context: Context, kind: str) -> None:
    assert context.results == [kind] * 4, context.results


@given("both engines refuse the next {n:d} requests")
def refuse_requests(context: Context, n: int) -> None:
    set_engine_faults(context, refuse=n)


@when("one summary of {n:d} tokens is asked for")
def ask_one(context: Context, n: int) -> None:
    context.problem = None
    try:
        context.answer = ask(context.fleet.make_client(), "one", n)
    except Problem as problem:
        context.problem = problem


@then("the caller gets the error {kind} and no complete answer")
def check_cut(context: Context, kind: str) -> None:
    assert context.problem is not None, context.answer
    assert context.problem.kind == kind, context.problem
    assert context.problem.ran == "unknown"


@when("one summary of {n:d} tokens is asked for with {wait:d} s to wait")
def ask_with_wait(context: Context, n: int, wait: int) -> None:
    started_at = time.monotonic()
    daemon = context.fleet.daemons[0]
    context.problem = None
    try:
        context.fleet.make_client().call(
            "POST",
            "/v1/completions",
            address=daemon.http,
            document=make_document("one", n),
            headers={"Prefer": f"wait={wait}"},
        )
    except Problem as problem:
        context.problem = problem
    context.took_s = time.monotonic() - started_at


@then("the caller is refused as not run with {kind}")
def check_refused(context: Context, kind: str) -> None:
    assert context.problem is not None
    assert (context.problem.kind, context.problem.ran) == (kind, "not_run")


def open_response(address: str, path: str, headers: dict[str, str], body: bytes | None):
    """Sends a request and returns the connection and the unread response."""
    connection = http.client.HTTPConnection(address, timeout=10)
    method = "GET" if body is None else "POST"
    connection.request(method, path, body=body, headers=headers)
    return connection, connection.getresponse()


AUTHORIZATION = {"Authorization": "Bearer weighbridge-token"}


@when("a caller disconnects from a summary of {n:d} tokens after event {event:d}")
def disconnect(context: Context, n: int, event: int) -> None:
    context.prompt, context.n_tokens, context.after = "break off", n, event
    body = json.dumps(make_document(context.prompt, n, stream=True)).encode()
    address = context.fleet.daemons[0].http
    connection, response = open_response(
        address, "/v1/completions", AUTHORIZATION, body
    )
    context.request = response.getheader("X-Request-Id")
    received = b""
    while received.count(b"\n\n") < event:
        received += response.read1(4_096)
    connection.close()
    parts = [part + b"\n\n" for part in received.split(b"\n\n")]
    context.received = b"".join(parts[:event])


@when("it is resumed with Last-Event-ID at {place} daemon")
def resume(context: Context, place: str) -> None:
    daemon = context.fleet.daemons[0 if place == "the same" else 1]
    headers = {**AUTHORIZATION, "Last-Event-ID": f"{context.request}.{context.after}"}
    path = f"/v1/requests/{context.request}/events"
    connection, response = open_response(daemon.http, path, headers, None)
    if response.status == 307:
        address = response.getheader("Location").split("/")[2]
        connection, response = open_response(address, path, headers, None)
    context.rest = response.read()
    connection.close()
    headers["Last-Event-ID"] = f"{context.request}.0"
    connection, response = open_response(
        context.fleet.daemons[0].http, path, headers, None
    )
    context.all = response.read()
    connection.close()


@then("the resumed response has exactly the bytes after event {event:d}")
def check_resumed(context: Context, event: int) -> None:
    assert context.received + context.rest == context.all
    events = list(parse_events(iter([context.all])))
    texts = [
        json.loads(e.data)["choices"][0]["text"] for e in events if e.data != b"[DONE]"
    ]
    assert "".join(texts) == expect_text(context.prompt, context.n_tokens)
    assert events[-1].data == b"[DONE]"


@when("weighbridge asks for a summary of {n:d} tokens")
def ask_weighbridge(context: Context, n: int) -> None:
    answer = ask(context.fleet.make_client("weighbridge"), "mine", n)
    context.paths = [
        f"/v1/requests/{answer.request}{part}" for part in ("", "/events", "/answer")
    ]


@then("licence-desk gets {kind} for its status, events and answer")
def check_other_customer(context: Context, kind: str) -> None:
    for path in context.paths:
        for daemon in context.fleet.daemons:
            try:
                found = context.fleet.make_client("licence-desk").request(
                    "GET", path, address=daemon.http
                )
            except Problem as problem:
                assert problem.kind == kind, problem
            else:
                raise AssertionError(found.data)


@then("weighbridge can read all three")
def check_own(context: Context) -> None:
    for path in context.paths:
        for daemon in context.fleet.daemons:
            response = context.fleet.make_client().request(
                "GET", path, address=daemon.http
            )
            assert response.status == 200


@when(
    "the same summary of {n_tokens:d} tokens is asked for {n:d} times "
    "at one daemon with one key"
)
def ask_same(context: Context, n_tokens: int, n: int) -> None:
    context.address = context.fleet.daemons[0].http

    def ask_keyed() -> object:
        return context.fleet.make_client().call(
            "POST",
            "/v1/completions",
            address=context.address,
            document=make_document("same", n_tokens),
            headers={"Idempotency-Key": "same-key"},
        )

    context.answers = run_concurrently([ask_keyed] * n)


@then("the {n:d} answers are equal and have one request id")
def check_same(context: Context, n: int) -> None:
    assert len(context.answers) == n
    assert all(answer == context.answers[0] for answer in context.answers)
    assert "choices" in context.answers[0], context.answers[0]


@then("another body with that key is refused as {kind}")
def check_key_reused(context: Context, kind: str) -> None:
    try:
        context.fleet.make_client().call(
            "POST",
            "/v1/completions",
            address=context.address,
            document=make_document("different", 3),
            headers={"Idempotency-Key": "same-key"},
        )
    except Problem as problem:
        assert problem.kind == kind
    else:
        raise AssertionError("the request was accepted")


@when("{body} is posted to {path} with token {token}")
def post_body(context: Context, body: str, path: str, token: str) -> None:
    connection, response = open_response(
        context.fleet.daemons[0].http,
        path,
        {"Authorization": f"Bearer {token}", "Content-Type": "application/json"},
        body.encode(),
    )
    context.status, context.body = response.status, response.read()
    context.type = response.getheader("Content-Type")
    connection.close()


@then("the answer is {status:d} {kind} and did not run")
def check_problem(context: Context, status: int, kind: str) -> None:
    assert context.type == "application/problem+json", context.type
    document = json.loads(context.body)
    found = (context.status, document["kind"], document["ran"])
    assert found == (status, kind, "not_run"), (found, document)
    assert document["kind"] in set(ErrorKind)


_LINES = st.one_of(
    st.sampled_from(
        [
            b"POST /v1/completions HTTP/1.1",
            b"GET /v1/requests/%00/events HTTP/1.1",
            b"POST /v1/services/intake/bookings HTTP/1.1",
            b"PATCH /v1/deployments/darling-downs/configuration HTTP/1.1",
            b"GET /v1/status HTTP/1.1",
            b"DELETE /v1/requests/a.b.c HTTP/1.0",
            b"GET /" + b"a" * 9_000 + b" HTTP/1.1",
        ]
    ),
    st.binary(max_size=60).filter(lambda b: b"\n" not in b and b"\r" not in b),
)
_HEADERS = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"Authorization: Bearer weighbridge-token",
                b"Authorization: Bearer operator-token",
                b"Authorization: " + b"x" * 5_000,
                b"Content-Length: 5",
                b"Content-Length: 99999999999",
                b"Content-Length: -3",
                b"Content-Length: x",
                b"Transfer-Encoding: chunked",
                b"If-Match: 9e9",
                b"Idempotency-Key: \xff\xfe",
                b"Last-Event-ID: a.b.99999999999999999999",
                b"Prefer: wait=0, respond-async",
                b"Host:",
            ]
        ),
        st.binary(max_size=40).filter(lambda b: b"\n" not in b and b"\r" not in b),
    ),
    max_size=6,
)
_BODIES = st.one_of(
    st.binary(max_size=80),
    st.sampled_from(
        [
            b'{"model":"summary-7b","prompt":"x","max_tokens":2}',
            b'{"model":"summary-7b","prompt":"\\ud800","max_tokens":2}',
            b'{"model":"summary-7b","prompt":"x","max_tokens":1e400}',
            b"[" * 2_000,
            b"5\r\nhello\r\n0\r\n\r\n",
            b"ffffffffffffffff\r\n",
        ]
    ),
)


@when("{n:d} generated byte sequences are sent as requests to one daemon")
def send_raw(context: Context, n: int) -> None:
    host, port = context.fleet.daemons[0].http.split(":")
    context.raw_answers = []

    @settings(DETERMINISTIC, max_examples=n)
    @generate(_LINES, _HEADERS, _BODIES)
    def send(line: bytes, headers: list[bytes], body: bytes) -> None:
        request = b"\r\n".join([line, *headers]) + b"\r\n\r\n" + body
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(request)
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                # The daemon may already have reset the connection.
                if error.errno != errno.ENOTCONN:
                    raise
            answer = b""
            try:
                while data := sock.recv(65_536):
                    answer += data
            except ConnectionResetError:
                pass
        context.raw_answers.append((request, answer))

    send()


@then("each gets an error response, an answer or a closed connection")
def check_raw(context: Context) -> None:
    assert len(context.raw_answers) >= 200
    for request, answer in context.raw_answers:
        assert answer == b"" or answer.startswith(b"HTTP/1.1 "), answer[:80]
        assert b"Traceback" not in answer, request
        assert not answer.startswith(b"HTTP/1.1 500"), (request, answer)
        if answer.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5")):
            assert b"application/problem+json" in answer, (request, answer)


@then("that daemon still serves a whole summary and has no open stream")
def check_still_serves(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    answer = ask(
        Client(addresses=[daemon.http], token="weighbridge-token"), "still here", 12
    )
    assert is_complete_answer(answer, "still here", 12), answer

    def holds_none() -> bool:
        names = ("berylpost_open_streams", "berylpost_queued_streams")
        return sum(context.fleet.read_metric(daemon, name) for name in names) == 0

    wait_until(holds_none, timeout_s=10, description="no open or queued streams")
    assert context.fleet.read_metric(daemon, "berylpost_invariant_failures_total") == 0


def ask_over_tls(context: Context, n: int, n_tokens: int, disturb) -> None:
    context.n_tokens = n_tokens
    prompts = [f"over tls {i} of {n}" for i in range(n)]
    jobs = [lambda p=p: ask(context.fleet.make_client(), p, n_tokens) for p in prompts]
    *answers, _ = run_concurrently([*jobs, disturb])
    context.answers = list(zip(prompts, answers, strict=True))


@when(
    "{n:d} summaries of {n_tokens:d} tokens are asked for over TLS "
    "by clients of all daemons"
)
def ask_tls(context: Context, n: int, n_tokens: int) -> None:
    ask_over_tls(context, n, n_tokens, lambda: None)


@then("a request is found from every daemon over TLS")
def find_tls(context: Context) -> None:
    answer = context.answers[0][1]
    for daemon in context.fleet.daemons:
        response = context.fleet.make_client().request(
            "GET", f"/v1/requests/{answer.request}/answer", address=daemon.http
        )
        assert json.loads(response.data)["choices"][0]["text"] == answer.text


@then("a plain HTTP request to that port is not answered with addresses")
def ask_plain(context: Context) -> None:
    host, port = context.fleet.daemons[0].http.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(b"GET /v1/addresses HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            answer = sock.recv(4_096)
        except ConnectionResetError:
            answer = b""
    assert b"addresses" not in answer, answer


@when(
    "{n:d} summaries of {n_tokens:d} tokens are asked for over TLS "
    "while a daemon is reclaimed"
)
def ask_tls_reclaimed(context: Context, n: int, n_tokens: int) -> None:
    def reclaim() -> None:
        time.sleep(0.5)
        daemon = context.fleet.daemons[0]
        context.fleet.reclaim(daemon.vm, 4.0)
        time.sleep(4.0)
        if daemon.is_running():
            context.fleet.kill(daemon)

    ask_over_tls(context, n, n_tokens, reclaim)


@when("weighbridge asks for a summary of {n:d} tokens and defers the same request")
def ask_both(context: Context, n: int) -> None:
    client = context.fleet.make_client()
    context.address = context.fleet.daemons[0].http
    answer = client.call(
        "POST",
        "/v1/completions",
        address=context.address,
        document=make_document("private", n),
        headers={"Idempotency-Key": "shared-key"},
    )
    deferred = client.call(
        "POST",
        "/v1/completions",
        address=context.address,
        document=make_document("private", n),
        headers={"Prefer": "respond-async", "Idempotency-Key": "deferred-key"},
    )
    parts = ("", "/events", "/answer")
    context.paths = [f"/v1/requests/{answer['id']}{part}" for part in parts]
    context.paths.append(f"/v1/requests/{deferred['id']}")


def make_foreign_client(context: Context, token: str = "other-token") -> Client:
    return Client(addresses=[context.address], token=token)


@then("weighbridge of another deployment gets {kind} for both")
def check_foreign_customer(context: Context, kind: str) -> None:
    for path in context.paths:
        for daemon in context.fleet.daemons:
            assert context.fleet.make_client().request(
                "GET", path, address=daemon.http
            ), path
            try:
                found = make_foreign_client(context).request(
                    "GET", path, address=daemon.http
                )
            except Problem as problem:
                assert problem.kind == kind, problem
            else:
                raise AssertionError((path, found.data))


@then("with the first one's key it does not get the first one's answer")
def check_foreign_key(context: Context) -> None:
    try:
        found = make_foreign_client(context).call(
            "POST",
            "/v1/completions",
            address=context.address,
            document=make_document("private", 10),
            headers={"Idempotency-Key": "shared-key"},
        )
    except Problem as problem:
        # That deployment declares no model, so the request cannot be served.
        assert problem.kind == "no_backend", problem
    else:
        raise AssertionError(found)


@then("its operator cannot read the first deployment's configuration or audit")
def check_foreign_operator(context: Context) -> None:
    client = make_foreign_client(context, "other-operator")
    for part in ("configuration", "audit", "fleet"):
        path = f"/v1/deployments/darling-downs/{part}"
        try:
            found = client.request("GET", path, address=context.address)
        except Problem as problem:
            assert problem.kind == "not_found", problem
        else:
            raise AssertionError((path, found.data))


MAX_BUFFER_BYTES = 65_536


@given("an answer of {n:d} tokens and a caller that reads nothing")
def make_slow_caller(context: Context, n: int) -> None:
    request = StreamRequest(
        id="dd-1.test.slow",
        deployment="d",
        customer="c",
        weight=1.0,
        priority=5,
        chat=False,
        stream=True,
        body=make_document("slow", n, stream=True),
        patience_s=1.0,
        deadline_s=60.0,
    )
    context.stream = Stream(
        request=request, accepted_at=0.0, deadline=60.0, start_by=1.0
    )
    for index in range(n):
        context.stream.add(f" word{index}")
    context.stream.finish_reason = "length"
    context.stream.state = StreamState.DONE
    caller_socket, context.peer_socket = socket.socketpair()
    caller_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    caller_socket.setblocking(False)
    context.add_cleanup(caller_socket.close)
    context.add_cleanup(context.peer_socket.close)
    context.caller = Caller(socket=caller_socket, stream_id=request.id)


@when("the whole answer is offered to it")
def offer_whole_answer(context: Context) -> None:
    context.max_buffered = 0
    for _ in range(200):
        context.caller.fill(context.stream, MAX_BUFFER_BYTES, "")
        context.max_buffered = max(context.max_buffered, len(context.caller.buffer))
        assert context.caller.flush()


@then("at most {max_bytes:d} bytes and one event are buffered for it")
def check_bound(context: Context, max_bytes: int) -> None:
    event = len(render_event(context.stream, len(context.stream.ends)))
    head = len(render_stream_head(context.stream))
    assert max_bytes / 2 < context.max_buffered <= max_bytes + event + head, (
        context.max_buffered
    )
    assert not context.caller.closing


@then("once it reads, it gets every event in order, up to the last chunk")
def check_slow(context: Context) -> None:
    received = b""
    context.peer_socket.setblocking(False)
    while not received.endswith(b"\r\n0\r\n\r\n"):
        context.caller.fill(context.stream, MAX_BUFFER_BYTES, "")
        assert context.caller.flush()
        try:
            received += context.peer_socket.recv(1 << 20)
        except BlockingIOError:
            continue
    numbers = re.findall(rb"id: dd-1\.test\.slow\.(\d+)\n", received)
    n_events = len(context.stream.ends)
    assert [int(n) for n in numbers] == list(range(1, n_events + 1))
    assert context.caller.closing and not context.caller.buffer
