"""Steps of deferred.feature."""

import threading
import time

from behave import given, then, when
from behave.runner import Context
from steps.booking_steps import find_shard_zero_owner
from steps.leaving_steps import reclaim_daemon
from steps.shared import MODEL

from berylpost.bench.fleet import wait_until
from berylpost.client import Problem
from berylpost.demo import expect_text

POLL_S = 0.2


def defer(context: Context, address: str, prompt: str, n_tokens: int, key: str) -> str:
    found = context.fleet.make_client().call(
        "POST",
        "/v1/completions",
        address=address,
        document={"model": MODEL, "prompt": prompt, "max_tokens": n_tokens},
        headers={"Prefer": "respond-async", "Idempotency-Key": key},
    )
    assert found["state"] == "accepted"
    return str(found["id"])


@when("{n:d} summaries of {n_tokens:d} tokens are deferred")
def defer_many(context: Context, n: int, n_tokens: int) -> None:
    context.n_tokens = n_tokens
    context.ids = {}
    for index in range(n):
        address = context.fleet.daemons[index % 3].http
        prompt = f"deferred log {index}"
        context.ids[prompt] = defer(context, address, prompt, n_tokens, f"k{index}")


def fetch(context: Context, address: str, request_id: str) -> dict[str, object]:
    try:
        found = context.fleet.make_client().call(
            "GET", f"/v1/requests/{request_id}", address=address
        )
    except Problem as problem:
        return {"state": problem.kind}
    return dict(found)


def wait_for_answers(context: Context, addresses: list[str], timeout_s: float) -> None:
    states: dict[tuple[str, str], object] = {}

    def are_complete() -> bool:
        for prompt, request_id in context.ids.items():
            for address in addresses:
                if states.get((prompt, address)) is True:
                    continue
                found = fetch(context, address, request_id)
                states[prompt, address] = found.get("state")
                if found.get("state") != "done":
                    return False
                text = found["choices"][0]["text"]  # type: ignore[index]
                assert text == expect_text(prompt, context.n_tokens), prompt
                states[prompt, address] = True
        return True

    try:
        wait_until(
            are_complete, timeout_s=timeout_s, description="all answers can be fetched"
        )
    except TimeoutError as error:
        raise AssertionError(f"{error}: {states}") from error


@then("each is fetched in full from every daemon within {seconds:d} s")
def check_fetched_from_all(context: Context, seconds: int) -> None:
    wait_for_answers(context, [d.http for d in context.fleet.daemons], seconds)


@then("each is fetched in full from the other daemons within {seconds:d} s")
def check_fetched_from_others(context: Context, seconds: int) -> None:
    others = [d.http for d in context.fleet.daemons if d is not context.lost_daemon]
    wait_for_answers(context, others, seconds)


@then("another customer gets the error {kind} for each")
def check_other_customer(context: Context, kind: str) -> None:
    client = context.fleet.make_client("licence-desk")
    for request_id in context.ids.values():
        for daemon in context.fleet.daemons:
            try:
                found = client.call(
                    "GET", f"/v1/requests/{request_id}", address=daemon.http
                )
            except Problem as problem:
                assert problem.kind == kind, problem
            else:
                raise AssertionError(found)


@when("one summary of {n_tokens:d} tokens is deferred at all 3 daemons with one key")
def defer_with_same_key(context: Context, n_tokens: int) -> None:
    context.n_tokens = n_tokens
    context.same_key_ids = [
        defer(context, daemon.http, "the same", n_tokens, "one-key")
        for daemon in context.fleet.daemons
    ]
    context.ids = {"the same": context.same_key_ids[0]}


@then("the 3 ids are equal")
def check_ids(context: Context) -> None:
    assert len(set(context.same_key_ids)) == 1, context.same_key_ids


def count_generated(context: Context) -> int:
    engines = context.fleet.world.world.engines.values()
    return sum(engine.generated_tokens for engine in engines)


@then("the engines generated about {n:d} tokens for it")
def check_generated(context: Context, n: int) -> None:
    wait_for_answers(context, [d.http for d in context.fleet.daemons], 10)
    assert n <= count_generated(context) < 2 * n, count_generated(context)


@when("after {after:g} s a daemon that owns some of them is killed")
def kill_owner(context: Context, after: float) -> None:
    time.sleep(after)
    context.lost_daemon = find_shard_zero_owner(context)
    context.fleet.kill(context.lost_daemon)


@when("after {after:g} s a daemon that owns some of them is asked to drain")
def drain_owner(context: Context, after: float) -> None:
    time.sleep(after)
    context.lost_daemon = find_shard_zero_owner(context)
    context.fleet.make_operator_client().call(
        "POST", "/v1/drain", address=context.lost_daemon.http
    )


@when(
    "after {after:g} s a daemon that owns some of them is reclaimed with {seconds:d} s"
)
def reclaim_owner(context: Context, after: float, seconds: int) -> None:
    time.sleep(after)
    context.lost_daemon = find_shard_zero_owner(context)
    reclaim_daemon(context, context.fleet.daemons.index(context.lost_daemon), seconds)


@then("at most {percent:d} percent more tokens were generated than asked for")
def check_recomputed(context: Context, percent: int) -> None:
    asked = len(context.ids) * context.n_tokens
    generated = count_generated(context)
    assert asked <= generated <= asked * (1 + percent / 100), (asked, generated)


@given("the object API is down")
def stop_object_api(context: Context) -> None:
    context.fleet.set_fault(context.fleet.world_spec.objects, down=True)


@when("a summary is deferred with a key")
def defer_with_key(context: Context) -> None:
    context.n_tokens = 20
    try:
        defer(context, context.fleet.daemons[0].http, "kept", 20, "kept-key")
        context.problem = None
    except Problem as problem:
        context.problem = problem


@then("the caller gets the error {kind} with ran {ran}")
def check_problem(context: Context, kind: str, ran: str) -> None:
    assert context.problem is not None
    assert (context.problem.kind, context.problem.ran) == (kind, ran)


@then("once the object API is back the same key is accepted and fetched in full")
def check_accepted_after_outage(context: Context) -> None:
    context.fleet.set_fault(context.fleet.world_spec.objects)
    address = context.fleet.daemons[1].http
    deadline = time.monotonic() + 20
    while True:
        try:
            context.ids = {"kept": defer(context, address, "kept", 20, "kept-key")}
            break
        except Problem:
            assert time.monotonic() < deadline, "the request was not accepted in time"
            threading.Event().wait(POLL_S)
    wait_for_answers(context, [d.http for d in context.fleet.daemons], 20)
