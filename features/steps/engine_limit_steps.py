"""Steps for engines of our own interface that name a request rate."""

import threading
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_limit_steps import CONTACT_S, count_most
from steps.request_steps import make_document

from berylpost.client import Client, Problem

N_TOKENS = 4


def list_engines(context):
    return list(context.fleet.world.world.engines.values())


def name_rate(context, engines, rate):
    context.limited = engines
    for engine in engines:
        context.fleet.set_fault(engine.server.endpoint, rate_limit=rate)


@given("the first engine names a rate of {rate:g} requests a second")
def step_name_one(context: Context, rate: float) -> None:
    name_rate(context, list_engines(context)[:1], rate)


@given("both engines name a rate of {rate:g} requests a second")
def step_name_both(context: Context, rate: float) -> None:
    name_rate(context, list_engines(context), rate)


@when("callers send {rate:d} summaries a second over all daemons for {n:d} s")
def step_send(context: Context, rate: int, n: int) -> None:
    answers = []

    def send(number):
        daemons = context.fleet.daemons
        address = daemons[number % len(daemons)].http
        client = Client(addresses=[address], token="weighbridge-token")
        document = make_document(f"log {number} of the day", N_TOKENS)
        try:
            answers.append(client.call("POST", "/v1/completions", document=document))
        except Problem as problem:
            answers.append(problem)

    threads = []
    began_at = time.monotonic()
    for number in range(rate * n):
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
        time.sleep(max(0.0, began_at + (number + 1) / rate - time.monotonic()))
    for thread in threads:
        thread.join()
    context.answers = answers


@then("the first engine gets at most {n:d} requests in any 4 s")
@then("each engine gets at most {n:d} requests in any 4 s")
def step_check_rate(context: Context, n: int) -> None:
    for engine in context.limited:
        since = engine.received_at[0] + CONTACT_S
        most = count_most([at for at in engine.received_at if at >= since])
        assert most <= n, most


@then("nine in ten summaries were answered in time")
def step_check_answered(context: Context) -> None:
    n_answered = sum(not isinstance(a, Problem) for a in context.answers)
    assert n_answered >= 0.9 * len(context.answers), (n_answered, len(context.answers))


@then("summaries that were not answered were refused as not run")
def step_check_refused(context: Context) -> None:
    refused = [a for a in context.answers if isinstance(a, Problem)]
    assert refused and len(refused) < len(context.answers)
    for answer in refused:
        assert answer.status == 503 and answer.ran == "not_run", answer


@given("the first engine says that it leaves, in its answers only")
def step_leave(context: Context) -> None:
    context.leaving = list_engines(context)[0]
    context.leaving.give_notice()


@then(
    "the first engine gets no request later than {seconds:g} s after its first answer"
)
def step_check_left(context: Context, seconds: float) -> None:
    received_at = context.leaving.received_at
    late = [at for at in received_at if at > received_at[0] + seconds]
    assert received_at and not late, (len(late), len(received_at))


@given("the first server of the service says that it leaves, in its answers only")
def step_service_leaves(context: Context) -> None:
    context.leaving = next(iter(context.fleet.world.world.services.values()))
    context.leaving.leaving = True


@when("callers send {n:d} look-ups one after the other over all daemons")
def step_look_up(context: Context, n: int) -> None:
    context.answers = []
    for number in range(n):
        daemon = context.fleet.daemons[number % len(context.fleet.daemons)]
        client = Client(addresses=[daemon.http], token="weighbridge-token")
        path = f"/v1/services/intake/count/{number}"
        context.answers.append(client.call("GET", path))
        time.sleep(0.03)


@then("that server gets no call later than {seconds:g} s after its first answer")
def step_check_service_left(context: Context, seconds: float) -> None:
    received_at = context.leaving.received_at
    late = [at for at in received_at if at > received_at[0] + seconds]
    assert received_at and not late, (len(late), len(received_at))


@then("all look-ups were answered")
def step_check_look_ups(context: Context) -> None:
    assert all(answer["count"] == 0 for answer in context.answers), context.answers
