"""Steps for daemons of our own interface that reach no backend server."""

import threading
import time
import uuid

from behave import then, when
from behave.runner import Context
from steps.request_steps import make_document

from berylpost.client import Client, Problem

RATE = 10  # requests a second
N_TOKENS = 4


@when("{n:d} daemons are cut off from all backend servers")
def step_cut(context: Context, n: int) -> None:
    context.cut = context.fleet.daemons[:n]
    for daemon in context.cut:
        context.fleet.cut(daemon)


@when("the links of the daemons are healed")
def step_heal(context: Context) -> None:
    for daemon in context.cut:
        context.fleet.heal(daemon)


def send_one(address, what, number):
    client = Client(addresses=[address], token="weighbridge-token", timeout_s=10.0)
    if what == "summaries":
        document = make_document(f"log {number} of the day", N_TOKENS)
        return client.call(
            "POST", "/v1/completions", address=address, document=document
        )
    key = f"cut-{uuid.uuid4()}"
    return client.call(
        "POST",
        "/v1/services/intake/bookings",
        address=address,
        document={"reference": key},
        headers={"Idempotency-Key": key},
    )


@when("callers send {what} to the cut daemons for {seconds:d} s")
def step_send(context: Context, what: str, seconds: int) -> None:
    answers = context.answers = []

    def send(number):
        address = context.cut[number % len(context.cut)].http
        try:
            answers.append(send_one(address, what, number))
        except Problem as problem:
            answers.append(problem)

    threads = []
    began_at = time.monotonic()
    for number in range(RATE * seconds):
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
        time.sleep(max(0.0, began_at + (number + 1) / RATE - time.monotonic()))
    for thread in threads:
        thread.join()


@then("at least {n:d} in {m:d} of the latter were answered")
def step_check_answered(context: Context, n: int, m: int) -> None:
    failed = [str(a) for a in context.answers if isinstance(a, Problem)]
    n_sent = len(context.answers)
    assert n_sent - len(failed) >= n / m * n_sent, (n_sent, failed[:3])


@then("no booking was executed twice")
def step_check_once(context: Context) -> None:
    executed = context.fleet.world.world.executed
    assert all(count == 1 for count in executed.values()), executed


@then("the cut daemons log that the links are healed")
def step_check_healed(context: Context) -> None:
    deadline = time.monotonic() + 5.0
    for daemon in context.cut:
        while "event=link_healed" not in context.fleet.read_log(daemon, 4_000):
            assert time.monotonic() < deadline
            time.sleep(0.1)
