"""Steps for policies and shared limits, without sockets and in virtual time."""

import asyncio
import errno
import heapq
import itertools
import json
import logging
import os
import random
import re
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st
from steps.shared import DETERMINISTIC, ByteChoices

import berylpost
from berylpost.edge.duty_lease import AnnouncedHold, DutyLease
from berylpost.edge.http_channel import HttpAnswer, HttpChannel
from berylpost.edge.log_stream import MAX_WAITING_LINES, LogStream
from berylpost.edge.model import Endpoint
from berylpost.errors import LostAnswerError, PlatformError, SettingsError
from berylpost.event_stream import EventSplitter
from berylpost.fakes.duty_api import DutyCallChecker
from berylpost.platform import names
from berylpost.platform.boot import decode_boot_settings
from berylpost.platform.object_wire import ConflictError, StoredObject
from berylpost.policy.addresses import spread_over_zones
from berylpost.policy.fleet_size import (
    ZoneFleet,
    count_guaranteed,
    count_needed,
    plan_on_demand,
    plan_spot,
)
from berylpost.policy.placement import BASE_FIRST_TOKEN_S
from berylpost.policy.prompt_admission import decide_prompt_admission
from berylpost.policy.server_process import (
    ProbeResult,
    combine_results,
    find_crash_pause,
    find_run_pause,
    has_crashed,
    interpret_error,
    is_running,
)
from berylpost.policy.sharing import (
    QuotaState,
    RetryBudget,
    admit_units,
    earn_retries,
    refill_quota,
    take_retry,
)
from berylpost.policy.stream_end import EndedStream, find_missing_end
from berylpost.policy.stream_version import (
    N_ASKED,
    N_KEEPERS,
    choose_stream_version,
    rank_keepers,
)

LEASE_S = 3.0


def run_coroutine(work):
    """Runs a coroutine that never suspends."""
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended")


class LeaseStore:
    """Store of one object with a revision, with faults for the next calls.

    Attributes:
        fault: 1 refuses a read or write. 2 refuses a read; it loses a write, which
            `apply_delayed_writes` applies later. 3 applies a write and loses its
            answer. Other values have no effect. Reads are refused after a lost write
            or answer.
        delayed_writes: writes that are still in transit.
    """

    def __init__(self):
        self.stored = None
        self.revision = 0
        self.fault = 0
        self.delayed_writes = []
        self.era = 1
        self.take_copy()

    async def read(self, _kind, _name):
        if self.fault in (1, 2):
            raise PlatformError("the call was refused")
        return self.stored

    async def create(self, _kind, name, spec):
        return self._write(name, spec, 0)

    async def replace(self, _kind, name, spec, *, revision):
        return self._write(name, spec, revision)

    def _write(self, name, spec, revision):
        fault, self.fault = self.fault, 0
        if fault == 1:
            raise PlatformError("the call was refused")
        if fault == 2:
            self.fault = 2  # the read that follows to check the write fails too
            self.delayed_writes.append((name, spec, revision))
            raise LostAnswerError("no answer; the write is still in transit")
        if fault == 3:
            self._apply(name, spec, revision)
            self.fault = 2
            raise LostAnswerError("no answer; the write was applied")
        return self._apply(name, spec, revision)

    def _apply(self, name, spec, revision):
        current = self.stored.revision if self.stored else 0
        if current != revision:
            raise ConflictError("the revision has changed", self.stored)
        self.revision += 1
        spec = json.loads(json.dumps(spec))
        self.stored = StoredObject(
            name=name, revision=self.revision, created_revision=1, spec=spec
        )
        return self.stored

    def take_copy(self):
        self._copy = (self.stored, self.revision)

    def restore(self):
        """Comes back from the last copy; writes in transit are lost with it."""
        self.stored, self.revision = self._copy
        self.delayed_writes.clear()
        self.era += 1

    def apply_delayed_writes(self):
        for write in self.delayed_writes:
            try:
                self._apply(*write)
            except ConflictError:
                pass
        self.delayed_writes.clear()


class HolderStore:
    """The lease store as one holder calls it; it learns the era from each answer."""

    def __init__(self, world, holder):
        self._world = world
        self._holder = holder

    def __getattr__(self, name):
        call = getattr(self._world.store, name)

        async def call_and_learn(*args, **options):
            store = self._world.store
            is_lost = False
            try:
                return await call(*args, **options)
            except LostAnswerError:
                is_lost = True
                raise
            finally:
                if not is_lost and self._holder.era != store.era:
                    self._holder.note_restore()

        return call_and_learn


class Holder:
    """A daemon that competes for the lease of the duties."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.incarnation = 0
        self.announced_hold = None
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.announced_hold = None
        self.era = self.world.store.era
        self.lease = DutyLease(
            store=HolderStore(self.world, self),
            holder=self.name,
            incarnation=self.incarnation,
            min_lease_s=LEASE_S,
            export_counts=list,
            import_counts=lambda _saved: None,
            clock=lambda: self.world.now,
        )
        # A daemon reads the store when it starts.
        self.lease.begin_era(self.era)
        self.lease.date_era(self.world.read_record())

    def note_restore(self):
        """Learns of a restore; some daemons end before they record it."""
        self.era = self.world.store.era
        self.lease.begin_era(self.era)
        self.lease.date_era(self.world.now)
        if int(self.world.now * 20) % 3:
            self.world.record = (self.era, self.world.now)

    def step(self, choice):
        lease = self.lease
        try:
            if not lease.is_held():
                announced_hold = self.announced_hold
                if (
                    announced_hold is None
                    or self.world.now >= announced_hold.until + 0.3
                ):
                    run_coroutine(lease.try_acquire(announced_hold))
            elif choice % 3 == 0:
                run_coroutine(lease.renew())
            elif choice % 3 == 1:
                window = int(self.world.now / 5)
                counts = lease.reports.get(window)
                if counts is None and 5 * window <= lease.reports_since:
                    return
                if counts is None:
                    counts = {"one": self.world.now}
                    if not run_coroutine(lease.record_report(window, counts)):
                        return
                if lease.is_held():
                    self.world.checker.record_call(
                        "usage", self.name, lease.fence, self.world.now
                    )
                    self.world.checker.record_report(window, counts)
            if lease.is_held():
                self.world.checker.record_call(
                    "zone", self.name, lease.fence, self.world.now
                )
        except PlatformError:
            if choice % 5 == 0:
                lease.abandon()


class LeaseWorld:
    """Three daemons, a lease store and a virtual clock."""

    def __init__(self, *, has_restores=False):
        self.has_restores = has_restores
        self.now = 100.0
        self.store = LeaseStore()
        self.checker = DutyCallChecker(lease_s=LEASE_S)
        # The last era that a daemon has recorded, and when it began.
        self.record = (self.store.era, float("-inf"))
        self.holders = [Holder(name, self) for name in ("a", "b", "c")]

    def play(self, choices):
        while not choices.is_exhausted():
            choice = choices.take()
            holder = self.holders[choice % 3]
            kind = choice // 3 % (10 if self.has_restores else 8)
            if kind < 3:
                self.store.fault = choices.take() % 8
                holder.step(choices.take())
                self.store.fault = 0
            elif kind == 3:
                self.now += (choices.take() % 40) / 10
            elif kind == 4:
                self.store.apply_delayed_writes()
            elif kind == 5:
                holder.restart()
            elif kind == 8:
                self.store.take_copy()
            elif kind == 9:
                self.store.restore()
            else:
                self._announce_hold(holder)
            self.now += 0.05

    def read_record(self):
        """Returns when the present era began, as a daemon that starts finds it."""
        if self.record[0] != self.store.era:
            self.record = (self.store.era, self.now)
        return self.record[1]

    def _announce_hold(self, sender):
        sequence, left_s = sender.lease.export_hold()
        for holder in self.holders:
            known = (
                holder.announced_hold and holder.announced_hold.holder == sender.name
            )
            if holder is not sender and sequence and (left_s > 0 or known):
                holder.announced_hold = AnnouncedHold(
                    holder=sender.name,
                    incarnation=sender.incarnation,
                    sequence=sequence,
                    until=self.now + left_s,
                )


@then(
    "over {n:d} interleavings of acquisitions, renewals, reports, pauses, restarts and "
    "lost answers no lease rule is violated"
)
def step_lease(context: Context, n: int) -> None:
    check_interleavings(n, has_restores=False)


@then(
    "over {n:d} interleavings of these and of restored copies of the store no lease "
    "rule is violated"
)
def step_restored_lease(context: Context, n: int) -> None:
    check_interleavings(n, has_restores=True)


def check_interleavings(n, *, has_restores):
    n_acts = 0

    @settings(DETERMINISTIC, max_examples=n)
    @given_examples(st.binary(min_size=30, max_size=120))
    def play(data):
        nonlocal n_acts
        world = LeaseWorld(has_restores=has_restores)
        world.play(ByteChoices(data))
        n_acts += world.checker.n_calls
        assert not world.checker.violations, world.checker.violations

    play()
    assert n_acts > n, f"only {n_acts} duty calls were checked"


@then(
    "over {n:d} random fleets and loads no window has more retries than the ratio and "
    "the extra retries allow"
)
def step_repeats(context: Context, n: int) -> None:
    ratio, extra, window_s = 0.2, 52.0, 10.0
    for seed in range(n):
        random_state = random.Random(seed)
        n_members = random_state.choice((1, 6, 9, 30))
        budgets = [RetryBudget(tokens=1.0, updated_at=0.0) for _ in range(n_members)]
        events = []
        rate = random_state.choice((5, 60, 400))
        now = 0.0
        while now < 40.0:
            now += random_state.expovariate(rate)
            budget = random_state.choice(budgets)
            earn_retries(budget, ratio=ratio)
            events.append((now, 0))
            while take_retry(
                budget, now=now, extra=extra, window_s=window_s, n_members=n_members
            ):
                events.append((now, 1))
        for start in range(0, 30, 2):
            inside = [r for at, r in events if start <= at < start + window_s]
            before = [r for at, r in events if start - window_s <= at < start]
            n_requests = max(inside.count(0), before.count(0))
            allowed = ratio * n_requests + extra
            assert sum(inside) <= allowed, (seed, start, sum(inside), allowed)


@then(
    "over {n:d} random histories with a network partition no window has more units "
    "than the quota and its slack allow"
)
def step_quota(context: Context, n: int) -> None:
    rate, burst, window_s, overshoot = 1_000.0, 1_400.0, 8.0, 0.1
    extra = 2_400.0  # the same ratio to the rate as at the small site
    slack = 0.4 * extra
    for seed in range(n):
        random_state = random.Random(seed)
        n_members = random_state.choice((6, 9))
        states = [QuotaState(level=burst / 2, updated_at=0.0) for _ in range(n_members)]
        reported = [[0.0] * n_members for _ in range(n_members)]
        partition_side = [0] * n_members
        partition_start = random_state.uniform(2, 15)
        partition_end = partition_start + random_state.uniform(1, 10)
        admitted = []
        now = 0.0
        while now < 30.0:
            now += 0.05
            partitioned = partition_start < now < partition_end
            if not partitioned:
                partition_side = [random_state.randrange(2) for _ in range(n_members)]
            if int(now * 20) % 5 == 0:
                for a, b in itertools.permutations(range(n_members), 2):
                    if partitioned and partition_side[a] != partition_side[b]:
                        continue
                    states[b].level -= states[a].used - reported[b][a]
                    reported[b][a] = states[a].used
            for number, state in enumerate(states):
                n_reachable = (
                    partition_side.count(partition_side[number])
                    if partitioned
                    else n_members
                )
                silent_share = 1 - n_reachable / n_members
                refill_quota(
                    state, now=now, rate=rate, burst=burst, silent_share=silent_share
                )
                units = random_state.uniform(20, 200)
                if admit_units(state, units, slack * (1 - silent_share)):
                    admitted.append((now, units))
        for start in range(0, 22):
            used = sum(u for at, u in admitted if start <= at < start + window_s)
            allowed = (rate * window_s + burst) * (1 + overshoot) + extra
            assert used <= allowed, (seed, start, used, allowed)


@when(
    "{n:d} engines receive prompts at {percent:d}% of their prefill capacity for "
    "{seconds:d} s"
)
def step_prompts(context: Context, n: int, percent: int, seconds: int) -> None:
    context.with_limit = simulate_prompts(n, percent / 100, seconds, limited=True)
    context.without_limit = simulate_prompts(n, percent / 100, seconds, limited=False)


def simulate_prompts(n_engines, load, seconds, *, limited):
    """Simulates arrivals at engines that prefill one prompt after another.

    Returns:
        The number of prompts sent, and of those that start within the objective.
    """
    random_state = random.Random(7)
    objective_s, now = 1.0, 0.0
    free_at = [0.0] * n_engines
    heapq.heapify(free_at)
    n_sent = n_on_time = 0
    while now < seconds:
        prefill_s = min(1.5, random_state.lognormvariate(-2.2, 0.8))
        now += random_state.expovariate(load * n_engines / 0.153)
        queue_s = max(0.0, free_at[0] - now)
        retry_s = decide_prompt_admission(
            queue_s=queue_s, prefill_s=prefill_s, objective_s=objective_s, waited_s=0.0
        )
        if limited and retry_s is not None:
            continue
        n_sent += 1
        heapq.heapreplace(free_at, max(now, free_at[0]) + prefill_s)
        n_on_time += queue_s + prefill_s + BASE_FIRST_TOKEN_S <= objective_s
    return n_sent, n_on_time


@then("{percent:d}% of the prompts sent to engines start within the objective")
def step_on_time(context: Context, percent: int) -> None:
    n_sent, n_on_time = context.with_limit
    assert n_on_time >= n_sent * percent / 100, context.with_limit


@then("more prompts start within the objective than if every prompt is sent")
def step_more_on_time(context: Context) -> None:
    assert context.with_limit[1] > 2 * context.without_limit[1], (
        context.with_limit,
        context.without_limit,
    )


@given(
    "zones with {spot} reclaimable and {on_demand} on-demand servers, "
    'with reclaimable servers refused in "{refusing}"'
)
def step_zones(context: Context, spot: str, on_demand: str, refusing: str) -> None:
    context.zones = {}
    counts = zip("abcd", spot.split(","), on_demand.split(","), strict=True)
    for place, (zone, n_spot, n_on_demand) in enumerate(counts):
        context.zones[zone] = ZoneFleet(
            zone=zone,
            price=1.0 + place / 10,
            n_spot=int(n_spot),
            n_on_demand=int(n_on_demand),
            n_spot_ready=int(n_spot),
            spot_refused=zone in refusing.split(","),
        )


@then(
    "{needed:d} servers are needed, planned as reclaimable {plan_spots} "
    "and on-demand {plan_on_demands}"
)
def step_plan(
    context: Context, needed: int, plan_spots: str, plan_on_demands: str
) -> None:
    load = float(context.active_outline["load"])
    n_needed = count_needed(load, 0)
    assert n_needed == needed, n_needed
    spot = plan_spot(context.zones, n_needed=n_needed, n_min=1, n_max=3)
    n_guaranteed = count_guaranteed(load, n_needed)
    on_demand = plan_on_demand(context.zones, n_guaranteed=n_guaranteed, n_max=3)
    planned = ",".join(str(spot[zone]) for zone in "abcd")
    assert planned == plan_spots, planned
    planned = ",".join(str(on_demand[zone]) for zone in "abcd")
    assert planned == plan_on_demands, planned


@then(
    "over {n:d} random splits of a stream with lines that end in {line_end} the data "
    "passed on ends at event boundaries and the last id is correct"
)
def step_cut_events(context: Context, n: int, line_end: str) -> None:
    newline = {"LF": b"\n", "CRLF": b"\r\n"}[line_end]
    for seed in range(n):
        random_state = random.Random(seed)
        events = [
            b"id: %d\ndata: id: 7 x\n\n".replace(b"\n", newline) % number
            for number in range(1, 12)
        ]
        data = b"".join(events)[: random_state.randrange(1, 200)]
        sent = data
        splitter = EventSplitter()
        passed = b""
        while data:
            size = random_state.randrange(1, 12)
            piece = splitter.feed(data[:size])
            data = data[size:]
            assert not piece or piece.endswith(newline * 2), piece
            passed += piece
        n_complete = passed.count(newline * 2)
        assert n_complete == sent.count(newline * 2), (passed, sent)
        assert passed == b"".join(events[:n_complete]), passed
        assert splitter.last_id == (str(n_complete) if n_complete else ""), (
            splitter.last_id
        )


@then('a "{framing}" stream that ends "{place}" is "{verdict}"')
def step_find_missing_end(
    context: Context, framing: str, place: str, verdict: str
) -> None:
    ended = EndedStream(
        framed=framing == "framed",
        inside_event=place == "inside an event",
        has_events=place != "before its first event",
        may_be_stopped=place == "after its run may stop",
        server_ended=place == "as its server ends",
    )
    assert (find_missing_end(ended) or "complete") == verdict, find_missing_end(ended)


@then('a process whose new connections are "{seen}" in turn "{verdict}"')
def step_judge_process(context: Context, seen: str, verdict: str) -> None:
    results = [ProbeResult(name) for name in seen.split(", ")]
    for n_seen in range(1, len(results)):
        assert find_run_pause(results[:n_seen]) is not None, n_seen
    assert find_run_pause(results) is None
    assert is_running(results) == (verdict == "runs")


@then('a server whose new connections are "{seen}" after a break "{verdict}"')
def step_judge_crash(context: Context, seen: str, verdict: str) -> None:
    results = [ProbeResult(name) for name in seen.split(", ")]
    for n_seen in range(1, len(results)):
        assert find_crash_pause(results[:n_seen]) is not None, n_seen
    assert find_crash_pause(results) is None
    assert has_crashed(results) == (verdict == "has crashed")


@then('paths to a server that are "{seen}" show that it is "{verdict}"')
def step_combine_results(context: Context, seen: str, verdict: str) -> None:
    results = [
        interpret_error(OSError(getattr(errno, name), name))
        if name.startswith("E")
        else ProbeResult(name)
        for name in seen.split(",")
    ]
    assert combine_results(results) is ProbeResult(verdict)


@then(
    'a stream begun at "{recorded}" that "{possible}" may have begun, {knowledge}, '
    'goes on at "{version}"'
)
@then(
    'a stream begun at "{recorded}" that "" may have begun, {knowledge}, '
    'goes on at "{version}"'
)
@then(
    'a stream begun at "" that "{possible}" may have begun, {knowledge}, '
    'goes on at "{version}"'
)
@then(
    'a stream begun at "" that "" may have begun, {knowledge}, goes on at "{version}"'
)
def step_choose_version(
    context: Context,
    knowledge: str,
    version: str,
    recorded: str = "",
    possible: str = "",
) -> None:
    chosen = choose_stream_version(
        recorded or None,
        [name for name in possible.split(",") if name],
        is_current=knowledge == "known to be all versions",
    )
    assert (chosen or "none") == version, chosen


@then(
    "over {n:d} streams and {n_daemons:d} daemons of which any {n_changed:d} died or "
    "joined since, those asked include a living keeper if there is one"
)
def step_check_keepers(
    context: Context, n: int, n_daemons: int, n_changed: int
) -> None:
    random_state = random.Random(1)
    names = [f"daemon-{number}" for number in range(n_daemons)]
    n_missed = 0
    for number in range(n):
        keepers = rank_keepers(f"id-{number}", names)[:N_KEEPERS]
        dead = set(random_state.sample(names, n_changed))
        joined = [f"new-{number}-{place}" for place in range(n_changed)]
        alive = [name for name in names if name not in dead] + joined
        asked = rank_keepers(f"id-{number}", alive)[:N_ASKED]
        living = [name for name in keepers if name not in dead]
        n_missed += bool(living) and not set(living) & set(asked)
    assert not n_missed, n_missed


@when("{n:d} lines are logged to a pipe that is not read")
def step_log(context: Context, n: int) -> None:
    read, write = os.pipe()
    stream = LogStream(descriptor=write)
    began_at = time.monotonic()
    record = logging.makeLogRecord({"msg": "x" * 200, "levelno": logging.INFO})
    for number in range(n):
        stream.emit(record)
        if number % 100 == 0:
            stream.flush_lines()
    context.took_s = time.monotonic() - began_at
    context.log_stream = stream
    os.close(read)
    os.close(write)


@then("logging takes under {seconds:d} s and the dropped lines are counted")
def step_log_bounded(context: Context, seconds: int) -> None:
    assert context.took_s < seconds, context.took_s
    held = len(context.log_stream._lines)
    assert held <= MAX_WAITING_LINES, held
    assert context.log_stream.n_dropped_total > 0


@then(
    "no module outside the platform package and the fakes contains a header or field "
    "of the platform's protocol"
)
def step_names(context: Context) -> None:
    root = Path(berylpost.__file__).parent
    protocol_names = re.compile(
        r"x-berylpost-|kv-from|\"(Metadata|Spec|StoreRevision|WaitMs|ApiKeys|Desired"
        r"|WindowId|RequestCounts|PathPrefix|TrafficSplit|ColdLeftMs)\""
        r"|BERYLPOST_BOOT|\btenant",
        re.IGNORECASE,
    )
    matches = []
    for path in root.rglob("*.py"):
        part = path.relative_to(root).parts[0]
        if part in ("platform", "fakes"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if protocol_names.search(line):
                matches.append(f"{path.name}:{number}: {line.strip()}")
    assert not matches, matches
    assert names.SETTINGS_VARIABLE == "BERYLPOST_BOOT"


SETTINGS = {
    "Node": "entry-1",
    "Ip": "10.1.0.14",
    "Zone": "a",
    "Listen": {
        "Front": "10.1.0.14:1",
        "Readiness": "10.1.0.14:2",
        "Directory": "10.1.0.14:3",
    },
    "PortRange": [7600, 7615],
    "Platform": {"Address": "10.200.1.7:8225"},
    "Bounds": {"LeaseMs": 3000},
}
CHANGES = {
    "no change": lambda spec: spec,
    "an unknown field": lambda spec: {**spec, "Later": {"More": 1}},
    "no Node": lambda spec: {n: v for n, v in spec.items() if n != "Node"},
    "no Listen": lambda spec: {n: v for n, v in spec.items() if n != "Listen"},
    "a wrong Platform": lambda spec: {**spec, "Platform": {"Address": "nowhere"}},
    "no JSON": lambda spec: None,
}


@then("a settings file with {change} is {outcome}")
def step_settings(context: Context, change: str, outcome: str) -> None:
    spec = CHANGES[change](dict(SETTINGS))
    data = b"{" if spec is None else json.dumps(spec).encode()
    try:
        decode_boot_settings(data)
    except SettingsError as error:
        expected_name = outcome.split('"')[1] if '"' in outcome else "nothing"
        assert expected_name.lower() in str(error).lower(), error
    else:
        assert outcome == "accepted", outcome


@then(
    "each of {n:d} daemons in {zones:d} zones appears in some of {answers:d} answers "
    "of 64 daemons"
)
def step_directory(context: Context, n: int, zones: int, answers: int) -> None:
    daemons = [(f"zone-{number % zones}", number) for number in range(n)]
    random_state = random.Random(3)
    seen = set()
    for _ in range(answers):
        chosen = spread_over_zones(
            daemons, find_zone=lambda d: d[0], n_wanted=64, random_state=random_state
        )
        assert len(set(chosen)) == 64, chosen
        seen.update(chosen)
    assert len(seen) == n, sorted(set(daemons) - seen)


@when("a call to a server is cancelled in the step in which its answer arrives")
def step_cancel_call(context: Context) -> None:
    async def cancel():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = Endpoint(*server.sockets[0].getsockname())
        channel = HttpChannel(address=address, connect_timeout_s=1.0)
        task = asyncio.ensure_future(channel.call("GET", "/", timeout_s=5.0))
        while channel._protocol is None or channel._protocol.answer is None:
            await asyncio.sleep(0.001)
        channel._protocol.answer.set_result(HttpAnswer(200, b""))
        task.cancel()
        await asyncio.wait((task,))
        channel.close()
        server.close()
        return task.cancelled()

    context.is_cancelled = asyncio.run(cancel())


@then("its task is cancelled")
def step_check_cancelled(context: Context) -> None:
    assert context.is_cancelled
