"""Steps for a store that comes back from an older copy."""

import asyncio
import contextlib
import time

from behave import given, then, when
from behave.runner import Context
from steps.entry_quarantine_steps import cut_links, heal_links
from steps.entry_steps import (
    find_holder,
    kill_daemon,
    make_request_line,
    send_request,
    start_world,
)
from steps.entry_version_steps import list_daemons, wait_until

from berylpost.fakes.entry_world import API_KEY, make_configuration, make_route
from berylpost.platform.object_wire import Listing
from berylpost.policy.store_era import judge_era

N_CHANGES = 4
LAST = 1 + N_CHANGES  # version of the last change before the restore
CALL_S = 1.0
OTHER_CUSTOMER = {"Name": "two", "ApiKeys": ["key-two"], "RatePerS": 0, "Burst": 0}


def make_version(version):
    """Makes a configuration whose routes tell its version, and the one before it."""
    configuration = make_configuration(version)
    for number in (version - 1, version):
        configuration["Routes"].append(make_route(f"v{number}", "idempotent"))
    return configuration


async def ask_route(daemon, version):
    """Asks for the route that one version and the next have; returns the status."""
    answer = await send_request(daemon, f"GET /v{version}/a", f"id-{time.monotonic()}")
    return answer.status


def get_number(daemon):
    configuration = daemon.catalogue.configuration
    return configuration.number if configuration is not None else 0


@given(
    "{n:d} entry daemons and a copy of the store before {k:d} changes of the "
    "configuration"
)
def step_start(context: Context, n: int, k: int) -> None:
    start_world(context, n_daemons=n)
    world = context.world
    context.copy = world.store.take_copy()

    async def change():
        for version in range(2, 2 + k):
            await world.put_configuration(make_version(version))
            # Other writes raise the revision as well.
            for number in range(5):
                await world.store.put("other", f"{version}-{number}", {})

    world.run(change())
    wait_until(lambda: all(get_number(d) == 1 + k for d in list_daemons(context)))


async def restore_at_once(context):
    await context.world.store.restore(context.copy)


async def restore_later(context):
    faults = context.world.store.server.faults
    faults.down = True
    await asyncio.sleep(1.0)
    await restore_at_once(context)
    faults.down = False


async def restore_twice(context):
    await restore_at_once(context)
    await restore_at_once(context)


async def restore_in_series(context):
    world = context.world
    for _ in range(2):
        await restore_at_once(context)
        await asyncio.sleep(0.3)
        await world.put_configuration(make_version(LAST))
        await asyncio.sleep(0.3)
    await restore_at_once(context)


async def restore_while_watches_hang(context):
    faults = context.world.store.server.faults
    faults.delay_s = 0.8
    await restore_at_once(context)
    await asyncio.sleep(1.0)
    faults.delay_s = 0.0


async def restore_beside_cut(context):
    server = context.world.store.server
    ip = list_daemons(context)[-1].settings.ip
    server.refused_ips.add(ip)
    await restore_at_once(context)
    context.heal = lambda: server.refused_ips.discard(ip)


async def restore_beside_silence(context):
    *others, alone = list_daemons(context)
    cut_links(context, [alone], others)
    await restore_at_once(context)
    context.heal = lambda: heal_links(context)


async def restore_beside_start(context):
    daemon = list_daemons(context)[-1]
    daemon.kill()
    await restore_at_once(context)
    await context.world.start_daemon(len(list_daemons(context)) - 1)


async def restore_beside_starts(context):
    daemons = list_daemons(context)
    for daemon in daemons:
        daemon.kill()
    await restore_at_once(context)
    await asyncio.gather(
        *(context.world.start_daemon(number) for number in range(len(daemons)))
    )


TROUBLES = {
    "at once": restore_at_once,
    "after 1 s away": restore_later,
    "twice": restore_twice,
    "twice in a row with changes between": restore_in_series,
    "while the watches of the daemons hang": restore_while_watches_hang,
    "while the last daemon is cut from the store": restore_beside_cut,
    "while the last daemon hears from no other": restore_beside_silence,
    "while the last daemon starts again": restore_beside_start,
    "while all daemons start again": restore_beside_starts,
}


@when(
    "the store comes back from the copy {trouble} while callers send requests for "
    "{seconds:d} s"
)
def step_restore_under_load(context: Context, trouble: str, seconds: int) -> None:
    async def send():
        context.answers = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for daemon in list_daemons(context):
                line = make_request_line("read")
                answer = await send_request(daemon, line, f"id-{time.monotonic()}")
                context.answers.append((daemon.settings.name, answer))
            await asyncio.sleep(0.02)

    async def restore():
        sending = asyncio.ensure_future(send())
        await asyncio.sleep(0.3)
        await TROUBLES[trouble](context)
        # The operator and the servers write again what they wrote.
        await context.world.put_configuration(make_version(LAST))
        await sending

    context.world.run(restore())


@then("all of their requests were answered")
def step_check_all_answered(context: Context) -> None:
    failed = [(n, a) for n, a in context.answers if a.status != 200 or not a.complete]
    assert context.answers and not failed, (len(failed), failed[:3])


@when("the last daemon stands still while the store comes back from the copy twice")
def step_freeze(context: Context) -> None:
    *others, frozen = list_daemons(context)
    cut_links(context, [frozen], others)
    context.world.store.server.refused_ips.add(frozen.settings.ip)
    context.world.run(restore_in_series(context))
    context.world.store.server.refused_ips.discard(frozen.settings.ip)
    heal_links(context)
    context.heal = lambda: None


@then("within {seconds:g} s every daemon has noticed the restore")
def step_check_noticed(context: Context, seconds: float) -> None:
    wait_until(
        lambda: all(d.catalogue.era == 2 for d in list_daemons(context)), seconds
    )


@then("a list that was asked {seconds:g} s before the restore confirms nothing")
def step_check_late_proof(context: Context, seconds: float) -> None:
    catalogue = list_daemons(context)[0].catalogue
    wait_until(lambda: catalogue.era == 2)

    async def apply():
        asked_at = catalogue._era_began_at - seconds
        catalogue.confirmed_at = asked_at - 1.0
        listing = Listing(items=(), revision=1)
        catalogue.apply_configuration_list(listing, asked_at)
        return catalogue.confirmed_at == asked_at - 1.0

    assert context.world.run(apply())


@when('the store names the era "{era}" from now on')
@when('the store names the era "" from now on')
def step_name_era(context: Context, era: str = "") -> None:
    context.world.store.era = era
    time.sleep(1.6)  # until each watch has ended once
    context.heal = lambda: None


@then('an answer of era "{stated}" asked "{asked}" era 5 was learnt is "{verdict}"')
@then('an answer of era "" asked "{asked}" era 5 was learnt is "{verdict}"')
def step_judge(context: Context, asked: str, verdict: str, stated: str = "") -> None:
    judged = judge_era(
        int(stated) if stated else None,
        known=5,
        asked_at={"before": 9.0, "after": 11.0}[asked],
        learnt_at=10.0,
    )
    assert judged == verdict, judged


@given("{n:d} entry daemons and a copy of the store before the key was revoked")
def step_start_revoked(context: Context, n: int) -> None:
    start_world(context, n_daemons=n)
    world = context.world
    wait_until(lambda: world.store.kinds.get("berylpost-eras"))
    context.copy = world.store.take_copy()
    world.run(world.put_configuration(make_configuration(2, Tenants=[OTHER_CUSTOMER])))
    wait_until(lambda: all(get_number(d) == 2 for d in list_daemons(context)))


@given("the copy has no record of the era")
def step_drop_record(context: Context) -> None:
    del context.copy.kinds["berylpost-eras"]


@then("for {seconds:g} s no daemon accepts the key")
def step_check_revoked(context: Context, seconds: float) -> None:
    async def check():
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for daemon in list_daemons(context):
                line = make_request_line("read")
                answer = await send_request(daemon, line, "id-1", key=API_KEY)
                assert answer.status == 401, (daemon.settings.name, answer)
            await asyncio.sleep(0.05)

    context.world.run(check())


async def remove_first(world):
    await world.store.remove("servers", world.replicas[0].id)


async def drain_first(world):
    await world.put_replica(world.replicas[0], State="draining")


async def add_first(world):
    await world.put_replica(world.replicas[0])


CHANGES = {
    "was removed": (add_first, remove_first),
    "began to leave": (add_first, drain_first),
    "came": (remove_first, add_first),
}


@given("{n:d} entry daemons whose first server {change} after a copy of the store")
def step_change_server(context: Context, n: int, change: str) -> None:
    start_world(context, n_daemons=n)
    world = context.world
    first = world.replicas[0].id

    def is_used(expected):
        return all(
            expected == any(r.backend.id == first for r in d.table.list_usable("app"))
            for d in list_daemons(context)
        )

    before, after = CHANGES[change]
    world.run(before(world))
    wait_until(lambda: is_used(change != "came"))
    context.copy = world.store.take_copy()
    world.run(after(world))
    wait_until(lambda: is_used(change == "came"))


async def count_first(context, n_requests=10):
    """Sends requests to all daemons; returns how many reached the first server."""
    replica = context.world.replicas[0]
    replica.received.clear()
    for daemon in list_daemons(context):
        for number in range(n_requests):
            line = make_request_line("read")
            answer = await send_request(daemon, line, f"{time.monotonic()}-{number}")
            assert answer.status == 200, answer
    return len(replica.received)


@then("for {seconds:g} s the first server gets no request")
def step_check_first_unused(context: Context, seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        n_received = context.world.run(count_first(context))
        assert n_received == 0, n_received


@then("for {seconds:g} s the first server gets requests")
def step_check_first_used(context: Context, seconds: float) -> None:
    # Placement may send 30 requests elsewhere by chance, but never drops the server.
    first = context.world.replicas[0].id
    ends_at = time.monotonic() + seconds
    n_received = 0
    while time.monotonic() < ends_at:
        n_received += context.world.run(count_first(context))
        for daemon in list_daemons(context):
            service = daemon.catalogue.backends[first].service
            usable = {r.backend.id for r in daemon.table.list_usable(service)}
            assert first in usable, (daemon.settings.name, usable)
    assert n_received, "no request reached the server"


@when("the first server writes another entry")
def step_write_entry(context: Context) -> None:
    world = context.world
    time.sleep(0.3)  # until the daemons have seen the copy's entry
    world.run(world.put_replica(world.replicas[0], Slots=9))


@then("within {seconds:g} s the first server gets requests")
def step_check_first_soon(context: Context, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not context.world.run(count_first(context)):
        assert time.monotonic() < deadline, "no request reached the server"
        time.sleep(0.05)


@when("every daemon merges the whole state of every other")
def step_merge_states(context: Context) -> None:
    catalogues = [daemon.catalogue for daemon in list_daemons(context)]
    wait_until(lambda: all(c.era == catalogues[0].era == 2 for c in catalogues))

    async def merge():
        states = [catalogue.export_state() for catalogue in catalogues]
        for catalogue in catalogues:
            for state in states:
                catalogue.import_state(state)

    context.world.run(merge())


@then("within {seconds:g} s no daemon lists the first server")
def step_check_dropped(context: Context, seconds: float) -> None:
    first = context.world.replicas[0].id

    def is_dropped():
        return all(first not in d.table.records for d in list_daemons(context))

    wait_until(is_dropped, seconds)


@then("the store got at most {n:d} lists of configuration and servers since")
def step_check_lists(context: Context, n: int) -> None:
    n_lists = context.world.store.calls["list"] - context.n_lists
    assert n_lists <= n, n_lists


@when("the store comes back from the copy {trouble}")
def step_restore(context: Context, trouble: str) -> None:
    context.heal = lambda: None
    context.n_lists = context.world.store.calls["list"]
    context.world.run(TROUBLES[trouble](context))


@when("the store comes back with a new change under a revision that it gave out before")
def step_reuse(context: Context) -> None:
    world = context.world
    store = world.store
    last_revision = store.revision

    async def restore():
        store.server.faults.down = True
        await asyncio.sleep(0.3)
        await store.restore(context.copy)
        await world.put_configuration(make_version(LAST))
        await world.put_configuration(make_version(LAST + 1))
        assert store.revision < last_revision, store.revision
        while store.revision <= last_revision + 3:
            await store.put("other", f"again-{store.revision}", {})
        store.server.faults.down = False

    context.heal = lambda: None
    world.run(restore())
    # A watch that failed is tried again within a second.
    context.changed_at = time.monotonic() + 0.5


@when("the operator writes the last change again and then a new one")
def step_write_again(context: Context) -> None:
    world = context.world

    async def write():
        await world.put_configuration(make_version(LAST))
        await asyncio.sleep(0.2)
        await world.put_configuration(make_version(LAST + 1))

    world.run(write())
    context.changed_at = time.monotonic()


@then(
    "within {seconds:g} s every daemon serves the new route and none of an older "
    "version"
)
def step_check_new(context: Context, seconds: float) -> None:
    daemons = list_daemons(context)

    async def check():
        while time.monotonic() < context.changed_at + seconds:
            await asyncio.sleep(0.02)
        for daemon in daemons:
            async with asyncio.timeout(CALL_S):
                statuses = [
                    await ask_route(daemon, version) for version in (LAST + 1, LAST - 1)
                ]
            assert statuses == [200, 404], (daemon.settings.name, statuses)

    context.world.run(check())
    context.heal()


@when("the last daemon starts again")
def step_start_again(context: Context) -> None:
    daemons = list_daemons(context)
    kill_daemon(context, daemons[-1])
    context.world.run(context.world.start_daemon(len(daemons) - 1))


@then("for {seconds:g} s no daemon serves an older version")
def step_check_no_older(context: Context, seconds: float) -> None:
    async def check():
        began_at = time.monotonic()
        while time.monotonic() < began_at + seconds:
            for daemon in list_daemons(context):
                status = await ask_route(daemon, LAST - 2)
                assert status == 404, (daemon.settings.name, status)
                status = await ask_route(daemon, LAST)
                assert status == 200, (daemon.settings.name, status)
            await asyncio.sleep(0.05)

    context.world.run(check())


async def restore_twice_apart(context):
    for _ in range(2):
        await restore_at_once(context)
        await asyncio.sleep(1.5)


async def restore_and_kill_holder(context):
    holder = find_holding(context)
    await restore_at_once(context)
    holder.kill()
    del context.world.daemons[holder.settings.name]


async def restore_from_before_change(context):
    """Brings back the lease of a holder whose successor has acted since."""
    world = context.world
    holder = find_holding(context)
    for number in range(50):
        await world.store.put("other", f"raise-{number}", {})
    holder.kill()
    del world.daemons[holder.settings.name]
    n_calls = world.duty_api.checker.n_calls
    while world.duty_api.checker.n_calls == n_calls:
        await asyncio.sleep(0.05)
    await restore_at_once(context)


def find_holding(context):
    return next(d for d in list_daemons(context) if d.duties.lease.is_held())


async def restore_and_restart(context, daemons):
    for daemon in daemons:
        daemon.kill()
    await restore_at_once(context)
    await asyncio.sleep(0.5)
    await asyncio.gather(
        *(context.world.start_daemon(int(d.settings.name[-1])) for d in daemons)
    )


DUTY_RESTORES = {
    "twice": restore_twice_apart,
    "and the duty holder is killed": restore_and_kill_holder,
    "of before they changed hands": restore_from_before_change,
}


@when("the store comes back from an older copy {what}")
def step_restore_lease(context: Context, what: str) -> None:
    world = context.world
    find_holder(context)
    checker = world.duty_api.checker
    wait_until(lambda: checker.reports, 15.0)
    context.copy = world.store.take_copy()
    world.run(DUTY_RESTORES[what](context))
    context.n_reports = len(checker.reports)


@when("a report is lost with the store's copy and {who} again")
def step_lose_report(context: Context, who: str) -> None:
    world = context.world
    find_holder(context)
    checker = world.duty_api.checker

    async def send():
        while True:
            for daemon in list(world.daemons.values()):
                line, attempt = make_request_line("read"), f"id-{time.monotonic()}"
                with contextlib.suppress(OSError):
                    await send_request(daemon, line, attempt)
            await asyncio.sleep(0.05)

    async def restore():
        sending = asyncio.ensure_future(send())
        while len(checker.reports) < 2:
            await asyncio.sleep(0.02)
        context.copy = world.store.take_copy()
        n_reports = len(checker.reports)
        while len(checker.reports) == n_reports:
            await asyncio.sleep(0.005)
        daemons = list_daemons(context)
        lost = daemons if "all" in who else [find_holding(context)]
        await restore_and_restart(context, lost)
        return sending

    context.sending = world.run(restore())
    context.n_reports = len(checker.reports)


@then("reports go on within {seconds:g} s")
def step_check_reports(context: Context, seconds: float) -> None:
    checker = context.world.duty_api.checker
    wait_until(lambda: len(checker.reports) > context.n_reports, seconds)
    assert not checker.violations, checker.violations


@given("{n:d} entry daemons and a copy of the store before the last daemon was listed")
def step_copy_members(context: Context, n: int) -> None:
    start_world(context, n_daemons=n)
    context.copy = context.world.store.take_copy()
    assert context.copy.kinds["berylpost-members"].popitem()


@then("within {seconds:g} s the store lists {n:d} daemons")
def step_check_members(context: Context, seconds: float, n: int) -> None:
    kinds = context.world.store.kinds
    wait_until(lambda: len(kinds["berylpost-members"]) == n, seconds)


@when("the store is restored while {who} start again")
def step_restore_and_start(context: Context, who: str) -> None:
    daemons = list_daemons(context)
    restarted = daemons if who == "all daemons" else daemons[-1:]

    async def restore():
        context.starts = asyncio.ensure_future(restore_and_restart(context, restarted))
        await asyncio.sleep(0.2)

    context.world.run(restore())


@when("the operator revokes the key again {seconds:g} s later")
def step_revoke_again(context: Context, seconds: float) -> None:
    world = context.world
    revoked = make_configuration(2, Tenants=[OTHER_CUSTOMER])

    async def revoke():
        await asyncio.sleep(seconds)
        await world.put_configuration(revoked)

    world.loop.call_soon_threadsafe(lambda: asyncio.ensure_future(revoke()))


@then("no request with the key has run in {seconds:g} s")
def step_check_no_run(context: Context, seconds: float) -> None:
    world = context.world

    async def check():
        ends_at = time.monotonic() + seconds
        n_answered = 0
        while time.monotonic() < ends_at:
            for daemon in list_daemons(context):
                line, attempt = make_request_line("read"), f"id-{time.monotonic()}"
                try:
                    answer = await send_request(daemon, line, attempt, key=API_KEY)
                except OSError:
                    continue  # it has not started
                n_answered += 1
                assert answer.status in (401, 503), (daemon.settings.name, answer)
            await asyncio.sleep(0.05)
        await context.starts
        return n_answered

    assert world.run(check()) > 20
    assert not any(replica.runs for replica in world.replicas)


@when("{who} are killed after a report and start again")
def step_restart_plainly(context: Context, who: str) -> None:
    world = context.world
    find_holder(context)
    checker = world.duty_api.checker
    wait_until(lambda: checker.reports, 15.0)
    context.n_reports = len(checker.reports)
    daemons = list_daemons(context) if "all" in who else [find_holding(context)]

    async def restart():
        for daemon in daemons:
            daemon.kill()
        await asyncio.sleep(0.5)
        await asyncio.gather(
            *(world.start_daemon(int(d.settings.name[-1])) for d in daemons)
        )

    context.restarted_at = time.monotonic()
    world.run(restart())
    context.took_s = time.monotonic() - context.restarted_at - 0.5


@then("requests with the key run within {seconds:g} s")
def step_check_prompt(context: Context, seconds: float) -> None:
    assert context.took_s <= seconds, context.took_s
    for daemon in list_daemons(context):
        sent = send_request(daemon, make_request_line("read"), "id-1", key=API_KEY)
        assert context.world.run(sent).status == 200


@then("no report is missing and no duty holder breaks a rule")
def step_check_all_reports(context: Context) -> None:
    checker = context.world.duty_api.checker
    wait_until(lambda: len(checker.reports) > context.n_reports + 1, 20.0)
    windows = sorted(checker.reports)
    assert windows == list(range(windows[0], windows[-1] + 1)), windows
    assert not checker.violations, checker.violations


ODD_RECORDS = {
    "a list": [1, 2],
    "text": "x",
    "of a later era": {"era": 99, "began_at": 0.0},
    "from the future": {"era": 1, "began_at": 4e9},
}


@when("another writer stores a record of the era that is {odd}")
def step_store_odd_record(context: Context, odd: str) -> None:
    spec = ODD_RECORDS[odd]
    context.world.run(context.world.store.put("berylpost-eras", "store", spec))


@then("within {seconds:g} s it is ready, and the record is of the present era")
def step_check_record(context: Context, seconds: float) -> None:
    (daemon,) = list_daemons(context)
    objects = context.world.store.kinds["berylpost-eras"]
    wait_until(
        lambda: daemon.is_ready and objects["store"]["Spec"].get("era") == 1, seconds
    )
