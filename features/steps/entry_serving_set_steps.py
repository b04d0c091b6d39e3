"""Steps for the serving set of a large fleet."""

import asyncio
import itertools
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_limit_steps import list_daemons
from steps.entry_steps import make_request_line, send_request
from steps.entry_version_steps import wait_until

from berylpost.edge.clock import read_boottime
from berylpost.fakes.entry_world import API_KEY, make_configuration
from berylpost.policy.serving_set import (
    MIN_SERVING,
    Candidate,
    SetSize,
    Standing,
    choose_serving,
    may_stand_by,
    update_size,
)

STEP_S = 0.25
_numbers = itertools.count()


def list_active(context):
    return [d for d in list_daemons(context) if d.members.active]


def list_standby(context):
    return [d for d in list_daemons(context) if not d.members.active]


def list_named(daemon):
    """Lists the names of the daemons that a directory answer is chosen from."""
    names = {member.name for member in daemon.members.list_serving_set()}
    own = {daemon.settings.name} if daemon.members.is_serving else set()
    return names | own


@given(
    "daemons in {n:d} zones with {k:d} of {small:g} cores and {m:d} of {large:g} "
    "cores in each"
)
def step_make_candidates(
    context: Context, n: int, k: int, small: float, m: int, large: float
) -> None:
    context.large = large
    context.candidates = [
        Candidate(
            name=f"entry-{zone}-{number}",
            zone=f"zone-{zone}",
            n_cores=large if number < m else small,
        )
        for zone in range(n)
        for number in range(k + m)
    ]


@when("each daemon of the set is busy for {busy:g} of the time for callers")
def step_set_busy(context: Context, busy: float) -> None:
    size = update_size(SetSize(), busy_shares=[busy] * MIN_SERVING, now=0.0)
    context.chosen = choose_serving(context.candidates, size.n_wanted)


@then("the set has {n:d} daemons, at most one more in one zone than in another")
def step_check_balance(context: Context, n: int) -> None:
    assert len(set(context.chosen)) == n, context.chosen
    zones = [name.split("-")[1] for name in context.chosen]
    counts = [zones.count(zone) for zone in set(zones)]
    assert max(counts) - min(counts) <= 1, counts


@then("all larger VMs are in it")
def step_check_large(context: Context) -> None:
    large = {c.name for c in context.candidates if c.n_cores == context.large}
    assert large <= set(context.chosen)


@when(
    "the load is played: {a:g} s at {low:g} daemons' work, {b:g} s at {high:g}, "
    "{c:g} s at {last:g}"
)
def step_play_load(
    context: Context, a: float, low: float, b: float, high: float, c: float, last: float
) -> None:
    context.burst = (a, a + b)
    context.sizes = []
    size = SetSize()
    for step in range(int((a + b + c) / STEP_S)):
        now = step * STEP_S
        work = low if now < a else high if now < a + b else last
        n_members = size.n_wanted
        size = update_size(size, busy_shares=[work / n_members] * n_members, now=now)
        context.sizes.append((now, size.n_wanted))


@then("the set has {n:d} daemons before the burst and {k:d} within it")
def step_check_burst(context: Context, n: int, k: int) -> None:
    began, ended = context.burst
    assert {size for now, size in context.sizes if now < began} == {n}
    assert {size for now, size in context.sizes if began <= now < ended} == {k}


@then("it has {n:d} daemons for {seconds:g} s after the burst and {k:d} later")
def step_check_shrink(context: Context, n: int, seconds: float, k: int) -> None:
    low_at = context.burst[1] + seconds
    after = [(now, size) for now, size in context.sizes if now >= context.burst[1]]
    assert {size for now, size in after if now < low_at} == {n}
    assert {size for now, size in after if now > low_at} == {k}


@then("without any one of them at most one other daemon joins the set")
def step_check_stable(context: Context) -> None:
    before = set(choose_serving(context.candidates, MIN_SERVING))
    for lost in context.candidates:
        others = [c for c in context.candidates if c is not lost]
        joined = set(choose_serving(others, MIN_SERVING)) - before
        assert len(joined) == (1 if lost.name in before else 0), (lost, joined)


CASES = {
    "has nothing else to do": {},
    "is in the set": {"in_set": True},
    "sees 24 active daemons in the set": {"n_active_in_set": 24},
    "left the set 7 s ago and has callers": {"out_of_set_s": 7.0, "has_callers": True},
    "left the set 9 s ago and has callers": {"out_of_set_s": 9.0, "has_callers": True},
    "left the set 7 s ago and has no callers": {"out_of_set_s": 7.0},
    "holds the duties, starts or leaves": {"is_needed": True},
}


@given(
    "an active daemon outside a set of {n:d} with {k:d} active daemons, unused for "
    "{seconds:g} s"
)
def step_make_standing(context: Context, n: int, k: int, seconds: float) -> None:
    context.standing = {
        "in_set": False,
        "n_active_in_set": k,
        "n_wanted": n,
        "out_of_set_s": seconds,
        "has_callers": False,
        "is_needed": False,
    }


@when("it {case}")
def step_set_case(context: Context, case: str) -> None:
    context.standing |= CASES[case]


@then("it may stand by")
def step_check_may(context: Context) -> None:
    assert may_stand_by(Standing(**context.standing))


@then("it stays active")
def step_check_may_not(context: Context) -> None:
    assert not may_stand_by(Standing(**context.standing))


@then("{n:d} daemons are active")
def step_check_active(context: Context, n: int) -> None:
    assert len(list_active(context)) == n, len(list_active(context))


@then("within {seconds:g} s {n:d} daemons are active")
def step_await_active(context: Context, seconds: float, n: int) -> None:
    wait_until(lambda: len(list_active(context)) == n, seconds)


@then("within {limit:g} s {n:d} daemons are active for {seconds:g} s on end")
def step_check_stays(context: Context, limit: float, n: int, seconds: float) -> None:
    ends_at = time.monotonic() + limit
    since = None
    while since is None or time.monotonic() < since + seconds:
        n_active = len(list_active(context))
        if n_active != n:
            since = None
        elif since is None:
            since = time.monotonic()
        assert time.monotonic() < ends_at, n_active
        time.sleep(0.05)


@then("every directory names the {n:d} active daemons only")
def step_check_directories(context: Context, n: int) -> None:
    active = {daemon.settings.name for daemon in list_active(context)}
    wait_until(lambda: all(list_named(d) == active for d in list_daemons(context)))
    assert len(active) == n


@then(
    "for {seconds:g} s a standby daemon sends and receives at most {limit:d} bytes a "
    "second"
)
def step_check_standby_bytes(context: Context, seconds: float, limit: int) -> None:
    standby = list_standby(context)
    before = [daemon.members.n_bytes for daemon in standby]
    context.n_received = count_datagrams(list_active(context)[0])
    time.sleep(seconds)
    context.n_received = context.n_received() / seconds
    sent = [d.members.n_bytes - n for d, n in zip(standby, before, strict=True)]
    assert max(sent) <= limit * seconds, max(sent) / seconds


def count_datagrams(daemon):
    """Counts the datagrams that a daemon receives from now on."""
    n_received = 0
    members = daemon.members
    receive = members._receive

    def count(data, address):
        nonlocal n_received
        n_received += 1
        receive(data, address)

    members._receive = count
    return lambda: n_received


@then("an active daemon sends and receives no more datagrams than one of {n:d}")
def step_check_datagrams(context: Context, n: int) -> None:
    # Rounds of the active ones, questions of standby daemons, and those of the modules.
    n_standby = len(list_standby(context))
    limit = (n - 1) / 0.225 + n_standby / 0.45 / n + 40
    assert context.n_received <= limit, (context.n_received, limit)


@when("the operator stores configuration {number:d}")
def step_store_configuration(context: Context, number: int) -> None:
    context.world.run(context.world.put_configuration(make_configuration(number)))


@then("within {seconds:g} s every daemon has configuration {number:d} in force")
def step_check_configuration(context: Context, seconds: float, number: int) -> None:
    wait_until(
        lambda: all(
            daemon.catalogue.configuration.number == number
            for daemon in list_daemons(context)
        ),
        seconds,
    )


@then("within {seconds:g} s datagrams wait less than {limit:g} s for the shared thread")
def step_await_thread(context: Context, seconds: float, limit: float) -> None:
    def measure_wait(daemon):
        stamps = [member.last_stamp for member in daemon.members.members.values()]
        return read_boottime() - max(stamps)

    wait_until(
        lambda: all(measure_wait(d) < limit for d in list_daemons(context)), seconds
    )


@then("for {seconds:g} s no daemon's configuration is older than {age:g} s")
def step_check_age(context: Context, seconds: float, age: float) -> None:
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        ages = [d.catalogue.read_confirmation_age() for d in list_daemons(context)]
        assert max(ages) <= age, max(ages)
        time.sleep(0.1)


@when("{n:d} active daemons are killed")
def step_kill_active(context: Context, n: int) -> None:
    async def kill():
        for daemon in list_active(context)[:n]:
            context.world.daemons.pop(daemon.settings.name).kill()

    context.world.run(kill())


@then("within {seconds:g} s every directory names {n:d} living daemons and no dead one")
def step_check_replaced(context: Context, seconds: float, n: int) -> None:
    def check():
        living = {daemon.settings.name for daemon in list_daemons(context)}
        named = [list_named(daemon) for daemon in list_daemons(context)]
        return all(len(names) == n and names <= living for names in named)

    wait_until(check, seconds)


@when("2 active daemons hold each other for standby daemons")
def step_hold_for_standby(context: Context) -> None:
    async def mark():
        one, other = list_active(context)[:2]
        one.members.members[other.settings.name].active = False
        other.members.members[one.settings.name].active = False

    context.world.run(mark())


@then("within {seconds:g} s every active daemon knows the others as active")
def step_check_known_active(context: Context, seconds: float) -> None:
    def check():
        active = list_active(context)
        names = {daemon.settings.name for daemon in active}
        return all(
            {m.name for m in d.members.list_alive()} | {d.settings.name} >= names
            for d in active
        )

    wait_until(check, seconds)


@given("the customer has {rate:d} request a second and a burst of {burst:d}")
def step_set_quota(context: Context, rate: int, burst: int) -> None:
    tenant = {"Name": "one", "ApiKeys": [API_KEY], "RatePerS": rate, "Burst": burst}
    tenant |= {"Unit": "requests", "PlainTokens": 1}
    specification = make_configuration(2, Tenants=[tenant])
    context.burst = burst
    context.world.run(context.world.put_configuration(specification))


async def send_to(daemons, n, pause_s=0.0):
    line = make_request_line("read")
    answers = []
    for k in range(n):
        daemon = daemons[k % len(daemons)]
        answers.append(await send_request(daemon, line, f"set-{next(_numbers)}"))
        await asyncio.sleep(pause_s)
    return answers


@when("{n:d} requests come to {k:d} standby daemons")
def step_send_to_standby(context: Context, n: int, k: int) -> None:
    answers = context.world.run(send_to(list_standby(context)[:k], n))
    assert [answer.status for answer in answers] == [200] * n


@then("within {seconds:g} s every active daemon counts {n:d} requests of usage")
def step_check_usage(context: Context, seconds: float, n: int) -> None:
    def count(daemon):
        window = int(daemon.usage.read_window())
        totals = [daemon.usage.total(w) for w in range(window - 2, window + 1)]
        return sum(total.get("one", 0) for total in totals)

    wait_until(lambda: all(count(d) == n for d in list_active(context)), seconds)


@then("every active daemon has at least {n:d} units less than the burst")
def step_check_levels(context: Context, n: int) -> None:
    for daemon in list_active(context):
        level = daemon.quotas._states["one"].level
        assert level <= context.burst - n, level


@then("of {n:d} further requests in {seconds:g} s at active daemons at most {k:d} run")
def step_check_quota(context: Context, n: int, seconds: float, k: int) -> None:
    answers = context.world.run(send_to(list_active(context), n, seconds / n))
    statuses = [answer.status for answer in answers]
    assert statuses.count(200) <= k, statuses
