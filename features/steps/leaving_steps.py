"""Steps of leaving.feature."""

import threading
import time

from behave import given, then, when
from behave.runner import Context
from steps.shared import MODEL, is_complete_answer

from berylpost.bench.fleet import wait_until
from berylpost.client import Client, Problem
from berylpost.messages import Member
from berylpost.policy.membership import choose_successors
from berylpost.policy.reclaim import OpenStream, plan_reclaim

STREAM_TIMEOUT_S = 60.0


@given("{n:d} open streams of {n_tokens:d} tokens over all daemons")
def open_streams(context: Context, n: int, n_tokens: int) -> None:
    context.n_tokens = n_tokens
    context.answers = {}
    n_events = [0] * n

    def stream(index: int) -> None:
        daemon = context.fleet.daemons[index % 3]
        others = [d.http for d in context.fleet.daemons if d is not daemon]
        client = Client(addresses=[daemon.http, *others], token="weighbridge-token")
        client.use_addresses([daemon.http, *others])
        prompt = f"stream {index} of the shift"
        document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
        headers = {"Prefer": "wait=60"}
        try:
            for answer in client.stream("/v1/completions", document, headers):
                n_events[index] = answer.n_events
                context.answers[prompt] = answer
        except Problem as problem:
            context.answers[prompt] = problem

    context.threads = [threading.Thread(target=stream, args=(i,)) for i in range(n)]
    for thread in context.threads:
        thread.start()
    # Streams beyond the engines' slots are queued; those are part of the test too.
    n_slots = 2 * context.fleet.spec.engine_shape.slots
    wait_until(
        lambda: sum(map(bool, n_events)) >= min(n, n_slots) * 0.9,
        timeout_s=10,
        description="the streams have started",
    )


def wait_for_streams(context: Context) -> None:
    deadline = time.monotonic() + STREAM_TIMEOUT_S
    for thread in context.threads:
        thread.join(max(0.0, deadline - time.monotonic()))
    assert not any(t.is_alive() for t in context.threads), "some streams are still open"


@when("the first daemon is asked to drain")
def start_drain(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    context.fleet.make_operator_client(daemon).call(
        "POST", "/v1/drain", address=daemon.http
    )


@then("it ends by itself with status {status:d} within {seconds:d} s")
def check_ended(context: Context, status: int, seconds: int) -> None:
    process = context.fleet.daemons[0].process
    assert process.wait(timeout=seconds) == status


@then("every stream is complete")
def check_complete(context: Context) -> None:
    wait_for_streams(context)
    incomplete = {
        prompt: str(answer)[-300:]
        for prompt, answer in context.answers.items()
        if not is_complete_answer(answer, prompt, context.n_tokens)
    }
    assert len(context.answers) == len(context.threads)
    assert not incomplete, (len(incomplete), incomplete)


@then("no stream had to be resumed")
def check_not_resumed(context: Context) -> None:
    assert not [a for a in context.answers.values() if a.n_resumes]


@then("streams had to be resumed")
def check_resumed(context: Context) -> None:
    # With fewer resumed streams the reclaim came too late to test anything.
    assert sum(1 for a in context.answers.values() if a.n_resumes) >= 5


@when("the addresses kept by its callers have expired")
def wait_for_expired_addresses(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    wait_until(
        lambda: context.fleet.read_status(daemon).get("drain") == "draining",
        timeout_s=5,
        description="the addresses have expired",
    )


@then("it refuses a request as {kind} and names {n:d} other addresses")
def check_refused(context: Context, kind: str, n: int) -> None:
    daemon = context.fleet.daemons[0]
    try:
        context.fleet.make_client().call(
            "POST",
            "/v1/completions",
            address=daemon.http,
            document={"model": MODEL, "prompt": "x"},
        )
    except Problem as problem:
        assert (problem.kind, problem.ran) == (kind, "not_run")
        addresses = {a["address"] for a in problem.document["addresses"]}
        assert len(addresses) == n and daemon.http not in addresses, addresses
    else:
        raise AssertionError("the request was accepted")
    wait_for_streams(context)


def find_successor(context: Context) -> int:
    members = [
        Member(id=d.id, zone=d.zone, http=d.http, peers=d.peers, incarnation=1)
        for d in context.fleet.daemons
    ]
    first = context.fleet.daemons[0]
    successor = choose_successors(members, first.id, first.zone)[0]
    return next(i for i, d in enumerate(context.fleet.daemons) if d.id == successor)


@when("the first daemon is reclaimed with {seconds:d} s of notice")
def reclaim_first(context: Context, seconds: int) -> None:
    reclaim_daemon(context, 0, seconds)


def reclaim_daemon(context: Context, index: int, seconds: float) -> None:
    """Gives notice to a daemon's VM and kills the daemon when the notice is over."""
    daemon = context.fleet.daemons[index]
    context.fleet.reclaim(daemon.vm, seconds)

    def kill() -> None:
        if daemon.is_running():
            context.fleet.kill(daemon)

    timer = threading.Timer(seconds, kill)
    timer.start()
    context.add_cleanup(timer.join)


@when("the first daemon is reclaimed twice with {seconds:d} s of notice")
def reclaim_twice(context: Context, seconds: int) -> None:
    reclaim_daemon(context, 0, seconds)
    time.sleep(0.5)
    context.fleet.reclaim(context.fleet.daemons[0].vm, seconds - 0.5)


@when("the first daemon and its successor are reclaimed with {seconds:d} s of notice")
def reclaim_with_successor(context: Context, seconds: int) -> None:
    reclaim_daemon(context, 0, seconds)
    reclaim_daemon(context, find_successor(context), seconds)


@when(
    "the first daemon is reclaimed and dies after {after:d} s "
    "with {seconds:d} s of notice"
)
def reclaim_and_kill(context: Context, after: int, seconds: int) -> None:
    context.fleet.reclaim(context.fleet.daemons[0].vm, seconds)
    time.sleep(after)
    if context.fleet.daemons[0].is_running():
        context.fleet.kill(context.fleet.daemons[0])


@when(
    "both other daemons are paused for {pause_s:g} s "
    "and the first is reclaimed with {seconds:d} s"
)
def reclaim_without_successor(context: Context, pause_s: float, seconds: int) -> None:
    others = context.fleet.daemons[1:]
    for daemon in others:
        context.fleet.pause(daemon)
    reclaim_daemon(context, 0, seconds)
    time.sleep(pause_s)
    for daemon in others:
        context.fleet.resume(daemon)


@when("the first engine is reclaimed with {seconds:d} s of notice")
def reclaim_engine(context: Context, seconds: int) -> None:
    context.engine = context.fleet.world.world.engines["vm-engine-1"]
    context.fleet.reclaim("vm-engine-1", seconds)


@when("the first engine is stopped without notice")
def stop_engine(context: Context) -> None:
    engine = context.fleet.world.world.engines["vm-engine-1"]
    context.fleet.world.call(engine.server.stop())


@then("the engine was sent no new work later than {seconds:d} s after its notice")
def check_no_late_work(context: Context, seconds: int) -> None:
    late = [s for s in context.engine.started_after_notice if s > seconds]
    assert not late, late


@given("a leaving engine with {left:g} s left that {moves} its cache")
def set_leaving_engine(context: Context, left: float, moves: str) -> None:
    context.left_s, context.can_move = left, moves == "can move"


@when(
    "a stream with {n_context:d} tokens of context and {n_left:d} to come "
    "at {pace:g} s each is planned"
)
def plan_stream(context: Context, n_context: int, n_left: int, pace: float) -> None:
    stream = OpenStream(id="s", n_context=n_context, n_left=n_left, token_s=pace)
    context.plans = plan_reclaim(
        [stream], left_s=context.left_s, can_move=context.can_move
    )


@then("the chosen way is {way}")
def check_way(context: Context, way: str) -> None:
    assert [p.way for p in context.plans] == [way], context.plans
