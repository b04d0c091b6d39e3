"""Steps for servers that fall over when they turn too many requests away."""

import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import wait_for


@given(
    "every server has room for {room:d} requests of {work:g} s and says that it bears "
    "{n:d} refusals in a second"
)
def step_make_brittle(context: Context, room: int, work: float, n: int) -> None:
    for replica in context.world.replicas:
        replica.room, replica.work_s, replica.brittle = room, work, str(n)
    context.work_s = work


@given('the first server says that it is brittle with "{value}"')
def step_say_brittle(context: Context, value: str) -> None:
    context.world.replicas[0].brittle = value


@when("the first server says so no more")
def step_unsay(context: Context) -> None:
    context.world.replicas[0].brittle = ""


@when("the servers begin to fall over")
def step_begin_falls(context: Context) -> None:
    for replica in context.world.replicas:
        replica.may_fall = True
    context.began_at = time.monotonic()


@then("at most {n:d} servers fell over")
def step_check_falls(context: Context, n: int) -> None:
    falls = [replica.n_falls for replica in context.world.replicas]
    assert sum(falls) <= n, falls


@then("at least half of what they have room for was answered")
def step_check_capacity(context: Context) -> None:
    replicas = context.world.replicas
    seconds = time.monotonic() - context.began_at
    capacity = sum(replica.room for replica in replicas) / context.work_s * seconds
    n_answered = sum(a.status == 200 and a.complete for _, a in context.answers)
    assert n_answered >= 0.5 * capacity, (n_answered, capacity)


def count_brittle(context):
    return [d.brittle.n_limited for d in context.world.daemons.values()]


@then("no daemon takes a server for brittle")
def step_check_none(context: Context) -> None:
    wait_for(3, lambda: not any(count_brittle(context)) or count_brittle(context))


@then("all daemons take the first server for brittle")
def step_check_all(context: Context) -> None:
    wait_for(3, lambda: all(count_brittle(context)) or count_brittle(context))
