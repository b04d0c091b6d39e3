"""Steps for outages of the store in which the entries of backend servers expire."""

import asyncio
import itertools
import math
import time
from functools import partial
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from steps.entry_steps import connect

from berylpost.edge import catalogue as catalogue_module
from berylpost.edge import duties as duties_module
from berylpost.edge.catalogue import Catalogue
from berylpost.edge.duties import LOAD_SETTLE_S
from berylpost.edge.model import Endpoint
from berylpost.edge.work_meter import TIME_CONSTANT_S
from berylpost.fakes.entry_world import EntryWorld
from berylpost.platform import names
from berylpost.platform.object_store import ObjectStore
from berylpost.platform.object_wire import Change, Changes, Listing, StoredObject
from berylpost.policy.fleet_size import FleetSize, count_needed, size_fleet

STEP_S = 0.25


def make_catalogue():
    catalogue = Catalogue(revoke_s=5.0, heartbeat_s=1.2)
    catalogue.era = 1
    catalogue.date_era(float("-inf"))
    return catalogue


def make_entry(number, revision):
    spec = {
        "Service": "app",
        "Address": f"127.0.0.1:{8000 + number}",
        "Zone": "a",
        "Version": "v1",
        "Slots": 8,
        "ColdLeftMs": 0,
        "Seq": 1,
        "State": "ready",
    }
    return StoredObject(
        name=f"r-{number}", revision=revision, created_revision=revision, spec=spec
    )


def run_at(now, function):
    """Runs a function in an event loop, at a time of the boot-time clock."""

    async def call():
        function()

    with mock.patch.object(catalogue_module, "read_boottime", lambda: now):
        asyncio.run(call())


@given("two daemons that knew a server when the store returned 0.5 s ago")
def step_returned(context: Context) -> None:
    context.catalogues = [make_catalogue(), make_catalogue()]


@when(
    "a watch shows one of them that it is gone, and the other one asks it for its state"
)
def step_hold_back(context: Context) -> None:
    watcher, neighbour = context.catalogues
    entry = make_entry(0, 5)
    removal = Change(item=entry, removed=True)

    async def play():
        returned_at = catalogue_module.read_boottime() - 0.5
        for catalogue in context.catalogues:
            catalogue.outage_ended_at = catalogue.confirmed_at = returned_at
            catalogue.apply_backend_list(Listing(items=(entry,), revision=5))
        watcher.apply_backend_changes(Changes(changes=(removal,), revision=9))
        neighbour.import_state(watcher.export_state(backends_since=5))
        kept = [set(c.backends) for c in context.catalogues]
        for catalogue in context.catalogues:
            catalogue.confirmed_at = returned_at + 2.0
        await asyncio.sleep(1.7)
        return kept

    context.kept = asyncio.run(play())


@then("neither knows the server 2.2 s after the store returned")
def step_check_gone(context: Context) -> None:
    assert context.kept == [{"r-0"}, {"r-0"}], context.kept
    assert [set(c.backends) for c in context.catalogues] == [set(), set()]


@given("a daemon whose {n:d} servers registered again after their entries expired")
def step_registered_again(context: Context, n: int) -> None:
    """Registers at revisions 1 to n, expires up to 20 + n, and registers at 40."""
    context.n = n
    context.catalogue = catalogue = make_catalogue()
    context.first = [make_entry(i, 1 + i) for i in range(n)]
    context.again = [make_entry(i, 40 + i) for i in range(n)]
    context.removals = Changes(
        changes=tuple(Change(item=e, removed=True) for e in context.first),
        revision=20 + n,
    )
    run_at(
        0.0,
        lambda: catalogue.apply_backend_list(
            Listing(items=tuple(context.first), revision=n)
        ),
    )
    catalogue.confirmed_at = 0.0
    # The neighbours' state brings the registrations before this daemon's own watch.
    state = {
        "era": 1,
        "configuration": None,
        "revision": 40 + n - 1,
        "whole": False,
        "entries": [[e.name, e.revision, e.spec] for e in context.again],
        "removed": [[e.name, e.revision, 20 + n] for e in context.first],
    }
    run_at(6.5, lambda: catalogue.import_state(state))
    catalogue.confirmed_at = 9.0
    catalogue.outage_ended_at = 6.0


@when("an answer of a watch with the removals arrives 3 s after the store returned")
def step_late_watch(context: Context) -> None:
    run_at(9.0, lambda: context.catalogue.apply_backend_changes(context.removals))


@when("a list made before the registrations arrives 3 s after the store returned")
def step_late_list(context: Context) -> None:
    listing = Listing(items=(), revision=20 + context.n)
    run_at(9.0, lambda: context.catalogue.apply_backend_list(listing))


@when("a neighbour's state made before them arrives 3 s after the store returned")
def step_late_state(context: Context) -> None:
    state = {
        "era": 1,
        "configuration": None,
        "revision": 100,  # it has learnt of other changes since
        "whole": False,
        "entries": [],
        "removed": [[e.name, e.revision, 20 + context.n] for e in context.first],
    }
    run_at(9.0, lambda: context.catalogue.import_state(state))


@when("a watch shows that the first server is gone, 3 s after the store returned")
def step_watch_gone(context: Context) -> None:
    removal = Change(item=context.again[0], removed=True)
    changes = Changes(changes=(removal,), revision=90)
    run_at(9.0, lambda: context.catalogue.apply_backend_changes(changes))


@when("a list shows that the first server is gone, 3 s after the store returned")
def step_list_gone(context: Context) -> None:
    listing = Listing(items=tuple(context.again[1:]), revision=90)
    run_at(9.0, lambda: context.catalogue.apply_backend_list(listing))


@then("the daemon and one that asks it for its state know {which} {n:d} servers")
def step_know(context: Context, which: str, n: int) -> None:
    """Guards against removals that reach other daemons with too late a revision."""
    expected = {e.name for e in context.again[-n:]}
    other = make_catalogue()
    other.confirmed_at = 9.0
    older = Listing(items=tuple(context.first), revision=context.n)
    run_at(0.0, lambda: other.apply_backend_list(older))
    state = context.catalogue.export_state(backends_since=context.n)
    run_at(9.0, lambda: other.import_state(state))
    assert set(context.catalogue.backends) == expected, context.catalogue.backends
    assert set(other.backends) == expected, other.backends


@given(
    "a daemon that knows a server at revision {own:d} and a neighbour at revision"
    " {other:d}"
)
def step_two_revisions(context: Context, own: int, other: int) -> None:
    context.catalogue, context.neighbour = make_catalogue(), make_catalogue()
    for catalogue, revision in (context.catalogue, own), (context.neighbour, other):
        listing = Listing(items=(make_entry(1, revision),), revision=revision)
        run_at(0.0, partial(catalogue.apply_backend_list, listing))
        catalogue.confirmed_at = 100.0


@when("a watch shows the daemon that the server is gone since revision {last:d}")
def step_gone_since(context: Context, last: int) -> None:
    removal = Change(item=make_entry(1, last), removed=True)
    changes = Changes(changes=(removal,), revision=last + 1)
    run_at(100.0, lambda: context.catalogue.apply_backend_changes(changes))


@then("neither it nor the neighbour that asks it for changes knows the server")
def step_both_removed(context: Context) -> None:
    neighbour = context.neighbour
    since = neighbour.backends_revision
    state = context.catalogue.export_state(backends_since=since)
    run_at(100.0, lambda: neighbour.import_state(state))
    assert not context.catalogue.backends, context.catalogue.backends
    assert not neighbour.backends, neighbour.backends


@given("a fleet of {n:d} servers at a load that needs them")
def step_fleet(context: Context, n: int) -> None:
    context.size = FleetSize(n_found=n, n_wanted=n)
    context.load = next(
        x / 10 for x in itertools.count(1) if count_needed(x / 10, n) >= n
    )


def play_fleet(context, *, outage_s, later_load, until_s, settle_s=LOAD_SETTLE_S):
    """Plays an outage; returns the fleet sizes by the time since it ended."""
    load = context.load
    sizes = {}
    for step in range(int((outage_s + until_s) / STEP_S)):
        since_s = step * STEP_S - outage_s
        served = 0.0 if since_s < 0 else later_load
        load += (served - load) * (1 - math.exp(-STEP_S / TIME_CONSTANT_S))
        sizes[since_s] = size_fleet(
            context.size,
            load=load,
            n_for_quotas=0,
            now=step * STEP_S,
            may_shrink=since_s >= settle_s,
        )
    return sizes


@when("requests are refused for {outage_s:d} s because the store is away")
def step_outage(context: Context, outage_s: int) -> None:
    size = context.size
    replay = partial(
        play_fleet, context, outage_s=outage_s, later_load=context.load, until_s=12.0
    )
    context.sizes = replay()
    context.size = FleetSize(n_found=size.n_found, n_wanted=size.n_found)
    context.sizes_by_load = replay(settle_s=float("-inf"))


@when(
    "requests are refused for {outage_s:d} s because the store is away and few come"
    " afterwards"
)
def step_outage_then_low(context: Context, outage_s: int) -> None:
    context.n_before = context.size.n_wanted
    context.sizes = play_fleet(
        context, outage_s=outage_s, later_load=context.load / 5, until_s=24.0
    )


@then("no server is given back within 12 s of its return")
def step_kept(context: Context) -> None:
    """Guards against an outage that is taken for a lower load."""
    assert len(set(context.sizes.values())) == 1, context.sizes
    # The measured load alone would have given servers back.
    assert len(set(context.sizes_by_load.values())) > 1, context.sizes_by_load


@then("servers are given back within 24 s of its return")
def step_shrunk(context: Context) -> None:
    assert min(context.sizes.values()) < context.n_before, context.sizes
    assert all(n == context.n_before for s, n in context.sizes.items() if s < 8)


@given(
    "a duty holder with {n_spot:d} reclaimable and {n_on_demand:d} on-demand servers"
    " at a load of {load:g}"
)
def step_duty_holder(
    context: Context, n_spot: int, n_on_demand: int, load: float
) -> None:
    """Reclaimable servers are refused, so that on-demand ones carry the load."""
    catalogue = make_catalogue()
    entries = [make_entry(i, 1 + i) for i in range(n_spot + n_on_demand)]
    for number, entry in enumerate(entries):
        entry.spec["Spot"] = number < n_spot
    listing = Listing(items=tuple(entries), revision=len(entries))
    run_at(0.0, lambda: catalogue.apply_backend_list(listing))
    endpoint = Endpoint("127.0.0.1", 1)
    bounds = SimpleNamespace(lease_s=10.0)
    context.duties = duties_module.Duties(
        settings=SimpleNamespace(
            name="d-1", cloud=endpoint, store=endpoint, bounds=bounds
        ),
        incarnation=1,
        members=mock.Mock(),
        remove_lost=mock.Mock(),
        catalogue=catalogue,
        era=mock.Mock(),
        usage=mock.Mock(),
        read_work=dict,
    )
    context.duties._spot_retry_at["app", "a"] = float("inf")
    context.n_spot = n_spot
    order_on_demand(context, now=0.5, confirmed_at=0.0, outage_ended_at=-1e9, load=load)
    assert context.n_ordered == n_on_demand, context.n_ordered


def order_on_demand(context, *, now, confirmed_at, outage_ended_at, load):
    """Lets the duty holder order servers at a time of the boot-time clock."""
    duties = context.duties
    duties._catalogue.confirmed_at = confirmed_at
    duties._catalogue.outage_ended_at = outage_ended_at
    fleet = SimpleNamespace(zone_prices={"a": 1.0}, n_min=1, n_max=200, boot_s=5.0)
    service = SimpleNamespace(name="app", fleet=fleet)

    async def record(_service, _zone, n_servers, *, spot):
        if not spot:
            context.n_ordered = n_servers

    with (
        mock.patch.object(catalogue_module, "read_boottime", lambda: now),
        mock.patch.object(duties_module, "read_boottime", lambda: now),
        mock.patch.object(duties, "_place_order", record),
    ):
        asyncio.run(duties._order_servers(service, load))


@when("the measured load falls to {load:g} while the store is away")
def step_load_falls(context: Context, load: float) -> None:
    order_on_demand(
        context, now=20.0, confirmed_at=1.0, outage_ended_at=-1e9, load=load
    )


@when("the store has answered for {since_s:g} s and the measured load is {load:g}")
def step_load_returns(context: Context, since_s: float, load: float) -> None:
    now = 20.0 + since_s
    order_on_demand(context, now=now, confirmed_at=now, outage_ended_at=20.0, load=load)


@then("{n:d} on-demand servers are ordered")
def step_on_demand_kept(context: Context, n: int) -> None:
    assert context.n_ordered == n, context.n_ordered


@given("{n:d} entry daemons and {m:d} servers whose entries expire in an outage")
def step_world(context: Context, n: int, m: int) -> None:
    context.world = EntryWorld(n_daemons=n, versions=("v1",) * m)
    context.world.__enter__()
    context.add_cleanup(context.world.__exit__)


@when(
    "the store is down for {down_s:g} s and one daemon gets the removals {late_s:g} s"
    " after its return"
)
def step_lapse(context: Context, down_s: float, late_s: float) -> None:
    world = context.world

    async def play():
        daemon = min(world.daemons.values(), key=lambda d: d.watch.is_served)
        since = daemon.catalogue.backends_revision
        for replica in world.replicas:
            await world.store.remove(names.KIND_BACKENDS, replica.id)
        store = ObjectStore(
            address=daemon.settings.store, note_era=lambda _era, _at: True
        )
        removals = await store.watch(names.KIND_BACKENDS, since, 0.0)
        store.close()
        assert all(change.removed for change in removals.changes)
        world.store.server.faults.down = True
        await asyncio.sleep(down_s)
        world.store.server.faults.down = False
        context.returned_at = time.monotonic()
        await asyncio.sleep(1.0)
        for replica in world.replicas:
            await world.put_replica(replica)
        await asyncio.sleep(late_s - 1.0)
        daemon.catalogue.apply_backend_changes(removals)

    world.run(play())


@then("every daemon answers requests from {bound_s:g} s after the return on")
def step_served(context: Context, bound_s: float) -> None:
    world = context.world

    async def ask(daemon):
        caller = await connect(daemon)
        caller.send("GET /read/x", f"{next(context.ids):016x}")
        answer = await caller.read()
        caller.close()
        return answer.status

    async def check():
        await asyncio.sleep(context.returned_at + bound_s - time.monotonic())
        for _ in range(4):
            statuses = await asyncio.gather(*map(ask, world.daemons.values()))
            assert all(status == 200 for status in statuses), statuses
            await asyncio.sleep(0.5)

    context.ids = itertools.count(1)
    world.run(check())
