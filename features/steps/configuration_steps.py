"""Steps of configuration.feature."""

import threading
import time
import urllib.request
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st
from steps.shared import (
    DETERMINISTIC,
    MODEL,
    ByteChoices,
    is_complete_answer,
    run_concurrently,
)

from berylpost.bench.fleet import wait_until
from berylpost.client import Client, Problem
from berylpost.configuration import MERGE_PATCH, AuditEntry, VersionedConfiguration
from berylpost.configurations import apply_entries, read_versioned


def configuration_path(context: Context) -> str:
    return f"/v1/deployments/{context.fleet.spec.deployment}/configuration"


def read_number(context: Context, address: str) -> int:
    found = context.fleet.make_operator_client().call(
        "GET", configuration_path(context), address=address
    )
    return int(found["number"])


def send_patch(
    context: Context, address: str, number: int, patch: Any, patch_id: str
) -> Any:
    try:
        return context.fleet.make_operator_client().call(
            "PATCH",
            configuration_path(context),
            address=address,
            document=patch,
            headers={"If-Match": f'"{number}"', "Idempotency-Key": patch_id},
        )
    except Problem as problem:
        return problem


def make_patch(value: int) -> dict[str, Any]:
    return {"target": {"first_token_ms": 1_000 + value}}


@when("{n:d} operators concurrently submit {n_patches:d} patches each to all daemons")
def submit_concurrently(context: Context, n: int, n_patches: int) -> None:
    context.accepted = {}
    lock = threading.Lock()

    def submit_patches(index: int) -> None:
        address = context.fleet.daemons[index % 3].http
        for patch_index in range(n_patches):
            patch_id = f"operator-{index}-{patch_index}"
            while True:
                number = read_number(context, address)
                answer = send_patch(
                    context, address, number, make_patch(index), patch_id
                )
                if not isinstance(answer, Problem):
                    with lock:
                        context.accepted.setdefault(answer["number"], []).append(
                            patch_id
                        )
                    break
                assert answer.kind == "stale_number", answer
                assert answer.document["number"] > number
                time.sleep(0.01)

    results = run_concurrently([lambda p=p: submit_patches(p) for p in range(n)])
    assert not any(results), results
    context.n_patches = n * n_patches


@then("each number was given to exactly one patch and none is missing")
def check_numbers(context: Context) -> None:
    assert sorted(context.accepted) == list(range(2, 2 + context.n_patches))
    assert all(len(ids) == 1 for ids in context.accepted.values()), context.accepted
    context.last_number = 1 + context.n_patches


@then("within {bound:d} s every daemon has the last number in force")
def check_in_force(context: Context, bound: int) -> None:
    wait_until(
        lambda: all(
            read_number(context, d.http) == context.last_number
            for d in context.fleet.daemons
        ),
        timeout_s=bound,
        description=f"number {context.last_number} is in force on all daemons",
    )


@then("the audit lists each accepted patch once, with its operator")
def check_audit(context: Context) -> None:
    name = context.fleet.spec.deployment
    found = context.fleet.make_operator_client().call(
        "GET", f"/v1/deployments/{name}/audit?limit=500"
    )["entries"]
    assert [e["number"] for e in found] == sorted(context.accepted, reverse=True)
    for entry in found:
        assert context.accepted[entry["number"]] == [entry["patch_id"]]
        assert entry["author"] == "shift" and entry["base"] == entry["number"] - 1


@when("a patch is sent twice with one id")
def send_twice(context: Context) -> None:
    daemons = context.fleet.daemons
    context.answers = [
        send_patch(context, daemons[i].http, 1, make_patch(1), "same") for i in (0, 1)
    ]
    context.last_number = 2


@then("both answers contain the same number")
def check_same_number(context: Context) -> None:
    assert [a["number"] for a in context.answers] == [2, 2], context.answers


@then("a third with another id against the old number is refused as {kind}")
def check_other_id_refused(context: Context, kind: str) -> None:
    answer = send_patch(
        context, context.fleet.daemons[2].http, 1, make_patch(2), "other"
    )
    assert isinstance(answer, Problem) and answer.kind == kind, answer
    assert answer.document["number"] == 2


@given("the next {n:d} answers of the object API to writes of configurations are lost")
def lose_answers(context: Context, n: int) -> None:
    context.fleet.set_fault(
        context.fleet.world_spec.objects,
        lose_answers=n,
        match="configurations/",
        methods=["PUT"],
    )


@when("a patch is sent once")
def send_once(context: Context) -> None:
    context.answer = send_patch(
        context, context.fleet.daemons[0].http, 1, make_patch(3), "once"
    )
    context.last_number = 2


@then("the answer contains the number that it produced")
def check_answer(context: Context) -> None:
    assert context.answer == {"number": 2}, context.answer


@when("a patch without operators is sent")
def send_invalid(context: Context) -> None:
    context.answer = send_patch(
        context, context.fleet.daemons[0].http, 1, {"operators": None}, "bad"
    )


@then("it is refused as {kind} and the faults contain {words}")
def check_invalid(context: Context, kind: str, words: str) -> None:
    assert isinstance(context.answer, Problem) and context.answer.kind == kind
    assert words in str(context.answer.document["faults"]), context.answer.document


@then("the number in force is still {number:d}")
def check_number(context: Context, number: int) -> None:
    for daemon in context.fleet.daemons:
        assert read_number(context, daemon.http) == number


@when("the object API goes down and the third daemon is restarted")
def restart_in_outage(context: Context) -> None:
    check_in_force(context, 15)
    context.fleet.set_fault(context.fleet.world_spec.objects, down=True)
    daemon = context.fleet.daemons[2]
    context.fleet.kill(daemon)
    context.started_at = time.monotonic()
    context.fleet.start_daemon(daemon, wait=False)


@then("it is ready within {bound:d} s with the last number in force")
def check_ready(context: Context, bound: int) -> None:
    daemon = context.fleet.daemons[2]
    context.fleet.wait_ready(daemon)
    assert time.monotonic() - context.started_at <= bound
    assert read_number(context, daemon.http) == context.last_number


@then("it serves a complete summary while the object API is down")
def check_serves_summary(context: Context) -> None:
    daemon = context.fleet.daemons[2]
    wait_until(
        lambda: len(context.fleet.read_status(daemon)["backends"]) >= 4,
        timeout_s=10,
        description="the daemon knows the backend servers",
    )
    client = Client(addresses=[daemon.http], token="weighbridge-token")
    client.use_addresses([daemon.http])
    document = {"model": MODEL, "prompt": "in an outage", "max_tokens": 25}
    answer = client.complete("/v1/completions", document)
    assert is_complete_answer(answer, "in an outage", 25)


def control_store(context: Context, path: str) -> None:
    address = context.fleet.world_spec.objects
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        assert answer.status == 200


@given("a copy of the object API from before {n:d} patches")
def copy_store(context: Context, n: int) -> None:
    control_store(context, "/copy")
    for number in range(1, 1 + n):
        patch = make_patch(number)
        answer = send_patch(
            context, context.fleet.daemons[0].http, number, patch, f"lost-{number}"
        )
        assert answer == {"number": number + 1}, answer
    context.last_number = 1 + n
    check_in_force(context, 15)


@when("the object API comes back from the copy {trouble}")
def restore_store(context: Context, trouble: str) -> None:
    control_store(context, "/restore")
    if trouble == "twice":
        control_store(context, "/restore")
    elif trouble.startswith("with"):
        daemon = context.fleet.daemons[2]
        context.fleet.kill(daemon)
        context.fleet.start_daemon(daemon, wait=True)
        check_in_force(context, 15)


@when("a patch against the last number is sent")
def send_next(context: Context) -> None:
    address = context.fleet.daemons[1].http
    context.answer = send_patch(
        context, address, context.last_number, make_patch(9), "after"
    )


@then("the answer contains the number after the last one")
def check_next(context: Context) -> None:
    context.last_number += 1
    assert context.answer == {"number": context.last_number}, context.answer


@then("within {bound:d} s the object API has the last number")
def check_written_back(context: Context, bound: int) -> None:
    name = context.fleet.spec.deployment

    def read_stored() -> int:
        _, versioned = read_versioned(context.fleet.objects, name)
        return versioned.number if versioned is not None else 0

    wait_until(
        lambda: read_stored() == context.last_number,
        timeout_s=bound,
        description="the last number is written back",
    )


@then("all daemons that start again have the last number in force within {bound:d} s")
def check_restarted(context: Context, bound: int) -> None:
    for daemon in context.fleet.daemons:
        context.fleet.kill(daemon)
    for daemon in context.fleet.daemons:
        context.fleet.start_daemon(daemon, wait=False)
    for daemon in context.fleet.daemons:
        context.fleet.wait_ready(daemon)
    check_in_force(context, bound)


@when("{n:d} generated sequences of audit entries reach a daemon")
def apply_generated(context: Context, n: int) -> None:
    entries = [
        AuditEntry(
            patch_id=f"p{number}",
            author="o",
            time=0.0,
            base=number - 1,
            number=number,
            media_type=MERGE_PATCH,
            patch={f"k{number % 3}": number},
        )
        for number in range(2, 12)
    ]
    documents: dict[int, dict[str, Any]] = {1: {}}
    for entry in entries:
        documents[entry.number] = {**documents[entry.base], **entry.patch}
    context.n_refused = context.n_applied = 0

    @settings(DETERMINISTIC, max_examples=n)
    @generate(st.binary(min_size=2, max_size=30))
    def run(data: bytes) -> None:
        choices = ByteChoices(data)
        held = VersionedConfiguration(name="d", number=1, document={})
        while not choices.is_exhausted():
            first, length = choices.take() % 10, choices.take() % 6
            part = entries[first : first + length]
            if choices.take() % 2:
                part = part[::-1]
            advanced = apply_entries(held, tuple(part))
            if advanced is None:
                context.n_refused += 1
                continue
            assert advanced.number >= held.number
            assert advanced.document == documents[advanced.number], advanced
            context.n_applied += advanced.number > held.number
            held = advanced

    run()


@then("its number never decreased and its document always matches its number")
def check_generated(context: Context) -> None:
    # The properties are asserted in each example. This checks that the examples contain
    # enough sequences with gaps, which are refused, and enough that are applied.
    assert context.n_refused > 500 and context.n_applied > 500
