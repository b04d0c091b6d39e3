"""Steps for entries of other writers that cannot be used."""

import asyncio
import base64
import logging
import time
import tracemalloc

import msgspec
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st
from steps.entry_steps import find_holder, wait_for
from steps.shared import DETERMINISTIC

from berylpost.edge.catalogue import Catalogue
from berylpost.fakes.cloud import Cloud, Vm
from berylpost.fakes.entry_world import make_configuration
from berylpost.fakes.replica import Replica
from berylpost.platform.cloud import HttpCloud
from berylpost.platform.object_wire import decode_changes, decode_page
from berylpost.platform.objects import KIND_PREFIX, HttpObjects

DEEP = b"[" * 20_000 + b"]" * 20_000
FIELDS = {
    "very deep nesting": b'"Extra": ' + DEEP,
    "a number out of range": b'"Extra": 1e999, "port": 1e999',
    "a very large integer": b'"Slots": ' + b"9" * 300 + b', "port": ' + b"9" * 300,
    "a port out of range": b'"Address": "127.0.0.1:70000", "port": 70000',
    "a host name": b'"Address": "example.invalid:80", "ip": "example.invalid"',
    "bytes that are no text": b'"Extra": "\xff\xfe"',
    "half of a surrogate pair": b'"Extra": "\\ud83d"',
    "half of a surrogate pair in a key": b'"\\udc00": 1',
    "a control character": b'"Extra": "a\x01b"',
    "an unknown escape": b'"Extra": "\\x41"',
    "a doubled key": b'"Extra": 1, "Extra": {"Extra": 2, "Extra": 3}',
    "a key that is a number": b"1: 2",
    "a key without quotes": b"Extra: 1",
    "a bracket in a string": b'"Extra": "]}, {[\\ud83d"',
}
ENTRY = (
    b'{"Service": "app", "Address": "127.0.0.1:9", "Zone": "a", "Version": 2, '
    b'"Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1, '
    b'"ip": "127.0.0.1", "port": 9, "crashes": [], "holder": "x", %s}'
)


def make_odd(oddity):
    if oddity == "a list":
        return msgspec.Raw(b"[1, 2]")
    return msgspec.Raw(ENTRY % FIELDS[oddity])


@when('another writer stores an object of the kind "{kind}" with {oddity}')
def step_store_odd(context: Context, kind: str, oddity: str) -> None:
    names = {
        "config": "main",
        "berylpost-leases": "duties",
        "berylpost-streams": "versions",
        "berylpost-eras": "store",
    }
    name = names.get(kind, "aa-odd")
    context.world.run(context.world.store.put(kind, name, make_odd(oddity)))
    time.sleep(0.3)


def is_current(daemon):
    configuration = daemon.catalogue.configuration
    known = {record.backend.id for record in daemon.table.records.values()}
    number = configuration.number if configuration else 0
    return ("r-late" in known and number == 2) or (known, number)


@then("a server and a configuration that are stored later are in force within {n:d} s")
def step_check_followed(context: Context, n: int) -> None:
    world = context.world
    first = world.replicas[0]
    late = Replica(id="r-late", ip=first.ip, port=first.port + 1)
    world.run(world.put_replica(late))
    world.run(world.put_configuration(make_configuration(2)))
    for daemon in world.daemons.values():
        wait_for(n, lambda daemon=daemon: is_current(daemon))


@then("a daemon that starts later knows them, too")
def step_check_late(context: Context) -> None:
    daemon = context.world.run(context.world.start_daemon(7))
    wait_for(3, lambda: is_current(daemon))


@then("a daemon that missed them gets them from another one")
def step_check_bridged(context: Context) -> None:
    daemons = list(context.world.daemons.values())

    async def fetch():
        late = daemons[-1]
        member = late.members.members[daemons[0].settings.name]
        state = daemons[0].catalogue.export_state()
        await late.state.fetch(member, 0)
        return msgspec.json.encode(state)

    assert context.world.run(fetch())


@when("another writer overwrites the entry of a server with {oddity}")
def step_overwrite(context: Context, oddity: str) -> None:
    spec = msgspec.Raw(b'{"Service": %s}' % (DEEP,))
    context.world.run(context.world.store.put("servers", "r-0", spec))


@then("the daemons do not use that server")
def step_check_unused(context: Context) -> None:
    for daemon in context.world.daemons.values():
        wait_for(3, lambda daemon=daemon: "r-0" not in daemon.table.records)
        assert "r-1" in daemon.table.records


@then("after one answer with all three changes no daemon knows the server")
def step_check_sequence(context: Context) -> None:
    def render(revision, spec, removed):
        metadata = b'{"Name": "r-0", "Revision": %d}' % revision
        item = b'{"Metadata": %s, "Spec": %s}' % (metadata, spec)
        return b'{"Object": %s, "Removed": %s}' % (item, removed)

    sound = msgspec.json.encode(SOUND)
    events = [
        render(5, sound, b"false"),
        render(6, b'{"Extra": 1}', b"false"),
        render(6, b'{"Extra": 1}', b"true"),
    ]
    body = b'{"StoreRevision": 7, "events": [%s]}'
    catalogue = Catalogue(revoke_s=5.0, heartbeat_s=1.2)

    async def apply(parts):
        changes = decode_changes(body % b", ".join(parts), catalogue.reduce_entry)
        catalogue.apply_backend_changes(changes)

    asyncio.run(apply(events))
    assert "r-0" not in catalogue.backends
    assert not catalogue.export_state()["entries"]


@when("the server writes its entry again")
def step_rewrite(context: Context) -> None:
    context.world.run(context.world.put_replica(context.world.replicas[0]))


@then("the daemons use that server again")
def step_check_used(context: Context) -> None:
    for daemon in context.world.daemons.values():
        wait_for(3, lambda daemon=daemon: "r-0" in daemon.table.records)


@given("a cloud that lists a sound VM beside an entry with {oddity}")
def step_start_cloud(context: Context, oddity: str) -> None:
    entry = (
        b'{"id": "odd", "zone": "a", "role": "engine", "address": "127.0.0.1:9", %s}'
    )
    fields = FIELDS.get(oddity, b"").replace(b'"Address"', b'"address"')
    fields = fields.replace(b'"Extra"', b'"notice_at"').replace(b'"Slots"', b'"id"')
    odd = msgspec.Raw(b"[1]" if oddity == "a list" else entry % fields)

    async def serve():
        async def ignore(_vm):
            """No VM is started or stopped."""

        cloud = Cloud(
            endpoint="127.0.0.1:0", boot=ignore, stop=ignore, notify=lambda _vm: None
        )
        cloud.odd_entries = [odd]
        cloud.add(Vm(id="sound", zone="a", role="engine", address="127.0.0.1:10"))
        return cloud

    context.cloud = asyncio.run(serve())


@then("the sound VM is listed, and the other one is logged once")
def step_check_listed(context: Context) -> None:
    lines = []

    class Handler(logging.Handler):
        def emit(self, record):
            lines.append(record.getMessage())

    handler = Handler()
    logger = logging.getLogger("berylpost.platform.cloud")
    logger.addHandler(handler)
    disabled = logging.root.manager.disable
    logging.disable(logging.NOTSET)
    try:
        body = msgspec.json.encode(
            {"vms": [*context.cloud.odd_entries, *context.cloud.vms.values()]}
        )
        cloud = HttpCloud(url="http://127.0.0.1:9", timeout_s=1.0)
        listed = [cloud.decode_vms(body) for _ in range(2)]
    finally:
        logging.disable(disabled)
        logger.removeHandler(handler)
    assert [[vm.id for vm in vms] for vms in listed] == [["sound"]] * 2, listed
    assert sum("bad_vm" in line for line in lines) == 1, lines


@given("an object of the own interface beside one with {oddity}")
def step_store_beside(context: Context, oddity: str) -> None:
    context.kind = f"{KIND_PREFIX}configurations"
    spec = base64.b64encode(b"sound").decode()
    store = context.world.store
    context.world.run(store.put(context.kind, "aa", make_odd(oddity)))
    context.world.run(store.put(context.kind, "bb", spec))


@then("a watch brings the sound one, and one that is stored later")
def step_check_watch(context: Context) -> None:
    store = context.world.store
    objects = HttpObjects(url=f"http://{store.server.endpoint}", timeout_s=2.0)
    watch = objects.watch("configurations/", lambda: True)
    assert next(watch)[0] == "configurations/bb"
    odd = make_odd("a list")
    context.world.run(store.put(context.kind, "ab", odd))
    spec = base64.b64encode(b"late").decode()
    context.world.run(store.put(context.kind, "cc", spec))
    assert next(watch)[0] == "configurations/cc"
    watch.close()


SAMPLE = {"t": 1}
# An entry without an address and a state, and one of a server at any address.
LARGE = {
    "name no server": {"Service": "app", "Samples": [SAMPLE] * 120_000},
    "name servers with long texts": {"Zone": "a" * 500_000, "Version": "v" * 500_000},
}
SOUND = msgspec.json.decode(ENTRY % b'"leaves_ms": null') | {"Service": "app"}


@when("another writer stores {n:d} entries of 1 MB that {what}")
def step_store_large(context: Context, n: int, what: str) -> None:
    async def store():
        for number in range(n):
            # A watch with more than fits into one answer has to be read as a list.
            await context.world.store.put("servers", f"aa-{number}", spec)
            if number % 4 == 0:
                await asyncio.sleep(0.1)

    daemons = list(context.world.daemons.values())
    wait_for(5, lambda: all(d.watch.is_watching for d in daemons))
    context.watching = daemons
    spec = LARGE[what] if "no server" in what else SOUND | LARGE[what]
    spec = msgspec.Raw(msgspec.json.encode(spec))
    assert 900_000 < len(spec) < 1 << 20
    context.world.run(store(), timeout_s=60)


@when("another writer stores {n:d} entries of a service without a route")
def step_store_unnamed(context: Context, n: int) -> None:
    async def store():
        spec = SOUND | {"Service": "unnamed"}
        for number in range(n):
            await context.world.store.put("servers", f"aa-{number}", spec)

    context.world.run(store(), timeout_s=60)
    for daemon in context.world.daemons.values():
        wait_for(10, lambda daemon=daemon: daemon.catalogue.n_given_up > 0)


@then("the daemons use the first server")
def step_check_first(context: Context) -> None:
    for daemon in context.world.daemons.values():
        wait_for(3, lambda daemon=daemon: "r-0" in daemon.table.records)


@then("a daemon that starts later knows them within its memory")
def step_check_late_memory(context: Context) -> None:
    limit = context.world.make_settings(7).memory_bytes
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        daemon = context.world.run(context.world.start_daemon(7))
        wait_for(6, lambda: is_current(daemon))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak - before < limit, peak - before


@then("no daemon keeps or passes on more of the entries than a quarter of its memory")
def step_check_kept(context: Context) -> None:
    for daemon in context.world.daemons.values():
        state = daemon.catalogue.export_state()
        n_bytes = len(msgspec.json.encode(state["entries"]))
        limit = daemon.settings.memory_bytes / 4
        assert n_bytes <= limit, (n_bytes, limit)
        assert daemon.catalogue.budget.n_held <= limit


@then("every daemon that watched the store counts the entries that it {verb}")
def step_check_counted(context: Context, verb: str) -> None:
    # One that starts later may get the state from another, without those entries.
    assert len(context.watching) == 2
    for daemon in context.watching:
        counts = {
            "refuses": daemon.catalogue.refused.n_noted,
            "gives up": daemon.catalogue.n_given_up,
        }
        assert counts[verb] >= 20, counts


@when("another writer overwrites the lease with {oddity}")
def step_overwrite_lease(context: Context, oddity: str) -> None:
    world = context.world
    find_holder(context)
    wait_for(15, lambda: bool(world.duty_api.checker.reports))
    odd = msgspec.Raw(b'{"holder": "", "reports": [1], "counts": {"a": 1}}')
    if oddity != "reports of another form":
        odd = make_odd(oddity)
    context.n_reports = len(world.duty_api.checker.reports)
    world.run(world.store.put("berylpost-leases", "duties", odd))


@then("reports are made again within {n:d} s")
def step_check_duties(context: Context, n: int) -> None:
    checker = context.world.duty_api.checker
    wait_for(n, lambda: len(checker.reports) > context.n_reports + 1)


TEXTS = st.binary(max_size=12).filter(lambda data: b'"' not in data)
ODD_FIELDS = st.one_of(
    st.tuples(st.just(b'"Extra"'), TEXTS.map(lambda data: b'"%s"' % data)),
    st.tuples(TEXTS.map(lambda data: b'"%s"' % data), st.just(b"1")),
    st.sampled_from([field.split(b": ", 1) for field in FIELDS.values()]).map(tuple),
)


@then("for {n:d} drawn lists with odd entries the sound entries are read")
def step_check_drawn(context: Context, n: int) -> None:
    @settings(DETERMINISTIC, max_examples=n)
    @draw(st.lists(st.one_of(st.none(), ODD_FIELDS), max_size=6))
    def check(fields):
        items = []
        for number, field in enumerate(fields):
            # An escape at the end of the text would also escape the quote.
            odd = b"" if field is None else b": ".join(field).replace(b"\\", b"\\u")
            metadata = b'{"Name": "n%d", "Revision": %d}' % (number, number + 1)
            spec = b'{"a": 1}' if field is None else b'{%s, "a": 1}' % odd
            items.append(b'{"Metadata": %s, "Spec": %s}' % (metadata, spec))
        body = b'{"Items": [%s], "StoreRevision": 9}' % b", ".join(items)
        events = b", ".join(b'{"Object": %s}' % item for item in items)
        changes = b'{"StoreRevision": 9, "events": [%s]}' % events
        sound = {f"n{k}" for k, field in enumerate(fields) if field is None}
        page = decode_page(body)
        assert page.revision == 9 and len(page.items) == len(items), page
        listed = {item.name for item in page.items if item.spec == {"a": 1}}
        changed = {
            change.item.name
            for change in decode_changes(changes).changes
            if change.item.spec == {"a": 1}
        }
        assert sound <= listed and sound <= changed, (sound, listed, changed)

    check()
