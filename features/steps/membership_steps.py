"""Steps of membership.feature."""

import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
import zmq
from behave import given, then, when
from behave.runner import Context

from berylpost.bench.fleet import find_ports, wait_until
from berylpost.kernel import Context as KernelContext
from berylpost.messages import Member
from berylpost.metrics import REGISTRY
from berylpost.peers import PeersTask
from berylpost.policy.addresses import choose_addresses
from berylpost.policy.membership import (
    Broadcast,
    DuplicateId,
    Rules,
    SendProbe,
    StateChange,
    Table,
    advance,
    choose_neighbours,
    digest_table,
    list_corrections,
    make_table,
    merge_members,
    record_probe_answer,
    take_piggybacked_records,
    update_self,
)
from berylpost.settings import parse_settings

RULES = Rules(
    probe_interval_s=1.0,
    probe_timeout_s=0.4,
    suspicion_s=3.0,
    tombstone_s=600.0,
    degree=6,
)
STEP_S = 0.1
DELAY_S = 0.02
REJOIN_S = 30.0
SYNC_S = 10.0
N_SEEDS = 3


def make_member(name: str, incarnation: int = 1, peers: str = "") -> Member:
    number = int(name[1:])
    return Member(
        id=name,
        zone=f"z{number % 4}",
        http=f"h{number}",
        peers=peers or f"p{number}",
        incarnation=incarnation,
    )


@dataclass
class Net:
    """Members, their clock and the messages under way."""

    tables: dict[str, Table]
    loss: float
    random: random.Random
    now: float = 0.0
    mail: list[tuple[float, str, str, str, Any]] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)
    halves: tuple[set[str], set[str]] | None = None
    deaths: list[tuple[str, str]] = field(default_factory=list)
    duplicates: list[str] = field(default_factory=list)

    def send(self, source: str, to: str, kind: str, body: Any) -> None:
        if self.random.random() >= self.loss:
            self.mail.append((self.now + DELAY_S, source, to, kind, body))

    def is_cut(self, source: str, to: str) -> bool:
        if to in self.stopped or to in self.deaf or to not in self.tables:
            return True
        halves = self.halves
        return halves is not None and (source in halves[0]) != (to in halves[0])

    def apply(self, name: str, result: tuple[Table, list[Any]]) -> None:
        self.tables[name] = result[0]
        for action in result[1]:
            match action:
                case SendProbe():
                    records = self.take_records(name)
                    to = action.helper or action.target
                    body = (action.sequence, records, action.target, name)
                    self.send(name, to, "probe", body)
                case StateChange():
                    if action.member.state == "dead":
                        self.deaths.append((name, action.member.id))
                case Broadcast():
                    for neighbour in self.tables[name].neighbours:
                        self.send(name, neighbour, "update", action.members)
                case DuplicateId():
                    self.duplicates.append(name)

    def take_records(self, name: str) -> tuple[Member, ...]:
        self.tables[name], records = take_piggybacked_records(self.tables[name])
        return records

    def merge(self, name: str, members: Any) -> None:
        self.apply(name, merge_members(self.tables[name], members, self.now, RULES))

    def list_all(self, name: str) -> list[Member]:
        entries = self.tables[name].entries.values()
        return [e.member for e in entries if e.member.state != "dead"]

    def receive(self, source: str, name: str, kind: str, body: Any) -> None:
        table = self.tables[name]
        match kind:
            case "probe":
                sequence, records, target, asker = body
                self.merge(name, records)
                if target != name:
                    self.send(name, target, "probe", (sequence, (), target, asker))
                    return
                told = list(self.take_records(name))
                known = self.tables[name].entries.get(asker)
                if known is not None and known.member.state != "alive":
                    told.append(known.member)
                self.send(name, asker, "answer", (sequence, told))
            case "answer":
                self.tables[name] = record_probe_answer(table, body[0])
                self.merge(name, body[1])
            case "digest":
                member, digest = body
                same = digest == digest_table(table)
                self.merge(name, [member])
                if not same:
                    self.send(name, source, "table", (self.list_all(name), True))
                    corrections = list_corrections(table, [member])
                    self.send(name, source, "update", corrections)
            case "table":
                members, wants_reply = body
                self.send(name, source, "update", list_corrections(table, members))
                self.merge(name, members)
                if wants_reply:
                    self.send(name, source, "table", (self.list_all(name), False))
            case "update":
                self.merge(name, body)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            due = [m for m in self.mail if m[0] <= self.now]
            self.mail = [m for m in self.mail if m[0] > self.now]
            for _, source, to, kind, body in due:
                if not self.is_cut(source, to):
                    self.receive(source, to, kind, body)
            for name in self.tables:
                if name not in self.stopped:
                    self.step(name)

    def step(self, name: str) -> None:
        self.apply(name, advance(self.tables[name], self.now, RULES))
        table = self.tables[name]
        mine = (table.entries[name].member, digest_table(table))
        alone = len(table.entries) == 1
        if self.random.random() < STEP_S / SYNC_S and table.neighbours:
            self.send(name, self.random.choice(table.neighbours), "digest", mine)
        if alone or self.random.random() < STEP_S / REJOIN_S:
            self.send(name, f"m{self.random.randrange(N_SEEDS)}", "digest", mine)

    def run_until(self, holds: Any, bound_s: float) -> None:
        end = self.now + bound_s
        while not holds():
            assert self.now < end, self.describe()
            self.run(STEP_S)

    def describe(self) -> list[tuple[str, dict[str, str]]]:
        return [
            (n, {i: e.member.state for i, e in t.entries.items()})
            for n, t in self.tables.items()
            if n not in self.stopped
        ][:3]

    def state(self, name: str, of: str) -> str:
        entry = self.tables[name].entries.get(of)
        return entry.member.state if entry else ""

    def all_alive(self) -> bool:
        return all(
            self.state(name, of) == "alive"
            for name in self.tables
            for of in self.tables
        )


@given("{n:d} members that know each other, and {loss:d} percent of messages lost")
def make_net(context: Context, n: int, loss: int) -> None:
    members = [make_member(f"m{i}") for i in range(n)]
    tables = {}
    for member in members:
        table = make_table(member, 0.0)
        table, _ = merge_members(table, members, 0.0, RULES)
        # Not all at the same instant, as after a start one after the other.
        tables[member.id] = replace(
            table, transmissions_left={}, next_probe_at=n % 10 / 10
        )
    context.net = Net(tables=tables, loss=loss / 100, random=random.Random(7))
    context.net.run(5.0)
    context.dead = []


@when("{n:d} of them die at once")
def kill_members(context: Context, n: int) -> None:
    context.dead = [f"m{i}" for i in range(1, n + 1)]
    context.net.stopped.update(context.dead)


@then("within {bound:d} s every living member has every dead one as dead")
def check_dead(context: Context, bound: int) -> None:
    net = context.net
    living = [name for name in net.tables if name not in net.stopped]
    net.run_until(
        lambda: all(net.state(n, d) == "dead" for n in living for d in context.dead),
        bound,
    )


@then("no living member was ever taken for dead")
def check_no_wrong_death(context: Context) -> None:
    wrong = [d for d in context.net.deaths if d[1] not in context.dead]
    assert not wrong, wrong


@when("{seconds:d} s pass")
def pass_time(context: Context, seconds: int) -> None:
    context.net.run(seconds)


@when("one of them is paused for {seconds:d} s")
def pause_member(context: Context, seconds: int) -> None:
    context.net.stopped.add("m5")
    context.net.run(seconds)
    context.net.stopped.clear()


@then("within {bound:d} s all members have all as alive")
def check_all_alive(context: Context, bound: int) -> None:
    context.net.run_until(context.net.all_alive, bound)


@when("it is cut into two halves for {seconds:d} s and healed")
def cut_net(context: Context, seconds: int) -> None:
    names = list(context.net.tables)
    # Both halves keep a seed; without one they could not ask for the others.
    context.net.halves = (set(names[::2]), set(names[1::2]))
    context.net.run(seconds)
    assert context.net.state("m0", "m1") == "dead"
    context.net.halves = None


@when("one of them can send but hears nothing for {seconds:d} s")
def deafen(context: Context, seconds: int) -> None:
    context.net.deaf.add("m5")
    context.net.run(seconds)


@then("within {bound:d} s every other member has it as dead and all others as alive")
def check_deaf(context: Context, bound: int) -> None:
    net = context.net
    others = [name for name in net.tables if name != "m5"]
    net.run_until(
        lambda: (
            all(net.state(n, "m5") == "dead" for n in others)
            and all(net.state(n, o) == "alive" for n in others for o in others)
        ),
        bound,
    )


@when("all of them restart with new incarnations, knowing only three seeds")
def restart_all(context: Context) -> None:
    net = context.net
    net.tables = {
        name: make_table(make_member(name, incarnation=1_000), net.now)
        for name in net.tables
    }


@when("one of them says that it leaves")
def leave(context: Context) -> None:
    net = context.net
    result = update_self(net.tables["m5"], net.now, RULES, state="leaving")
    net.apply("m5", result)


@then("within {bound:d} s every other member has it as leaving")
def check_leaving(context: Context, bound: int) -> None:
    net = context.net
    net.run_until(
        lambda: all(net.state(name, "m5") == "leaving" for name in net.tables), bound
    )


@when("a second process starts with the id of one of them")
def start_second(context: Context) -> None:
    net = context.net
    second = make_member("m5", incarnation=50, peers="elsewhere")
    net.merge("m0", [second])
    net.run(20.0)


@then("the older one of the two is told that it is a duplicate")
def check_duplicate(context: Context) -> None:
    assert set(context.net.duplicates) == {"m5"}, context.net.duplicates


@given("the neighbours of {n:d} members at degree {degree:d}")
def make_graph(context: Context, n: int, degree: int) -> None:
    context.degree = degree
    context.names = [f"m{i}" for i in range(n)]
    build_graph(context, context.names)


def build_graph(context: Context, names: list[str]) -> None:
    # The rings are the same for all, so they are computed once and not n times.
    sample = names if len(names) <= 200 else names[:: len(names) // 200]
    context.sampled = {n: choose_neighbours(n, names, context.degree) for n in sample}


@then(
    "nobody has more than {degree:d} neighbours and everyone is some member's neighbour"
)
def check_degree(context: Context, degree: int) -> None:
    assert all(len(found) <= degree for found in context.sampled.values())
    probed = Counter(n for found in context.sampled.values() for n in found)
    mean = sum(probed.values()) / len(context.names)
    assert mean > 0.5, mean
    assert max(probed.values()) <= 2 * degree


def count_hops(context: Context, names: list[str], start: str) -> int:
    graph: dict[str, tuple[str, ...]] = context.graph
    reached, frontier, hops = {start}, {start}, 0
    while len(reached) < len(names):
        frontier = {n for f in frontier for n in graph[f]} - reached
        assert frontier, f"{len(names) - len(reached)} members not reached"
        reached |= frontier
        hops += 1
    return hops


@then("an update spreads from any of {n:d} members to all within {hops:d} hops")
def check_hops(context: Context, n: int, hops: int) -> None:
    names = context.names
    context.graph = {m: choose_neighbours(m, names, context.degree) for m in names}
    for start in names[:: len(names) // n]:
        assert count_hops(context, names, start) <= hops
    context.n_starts, context.max_hops = n, hops


@then("after {percent:d} percent of the members are gone the same still holds")
def check_after_loss(context: Context, percent: int) -> None:
    gone = random.Random(3).sample(context.names, len(context.names) * percent // 100)
    context.names = [name for name in context.names if name not in set(gone)]
    check_hops(context, context.n_starts, context.max_hops)


@given("{n:d} members in {n_zones:d} zones, one of which is leaving")
def make_members(context: Context, n: int, n_zones: int) -> None:
    members = [make_member(f"m{i}") for i in range(n)]
    assert len({m.zone for m in members}) == n_zones
    members[0] = msgspec.structs.replace(members[0], state="leaving")
    context.members = members


@when("{n:d} callers ask for {n_wanted:d} addresses")
def ask_addresses(context: Context, n: int, n_wanted: int) -> None:
    stream = random.Random(5)
    context.chosen = [
        choose_addresses(context.members, n_wanted=n_wanted, random_state=stream)
        for _ in range(n)
    ]


@then("every answer names all {n:d} zones and never the leaving one")
def check_zones(context: Context, n: int) -> None:
    for chosen in context.chosen:
        assert len({m.zone for m in chosen}) == n
        assert context.members[0].id not in {m.id for m in chosen}
        assert len({m.id for m in chosen}) == len(chosen)


@then("no member is named first more than twice as often as its share")
def check_share(context: Context) -> None:
    first = Counter(chosen[0].id for chosen in context.chosen)
    share = len(context.chosen) / (len(context.members) - 1)
    assert max(first.values()) <= 2 * share, first


def make_peer(name: str, address: str, seeds: list[str], keys: dict[str, Any]) -> Any:
    document = {
        "daemon": {"id": name, "region": "r", "zone": "z", "deployments": ["d"]},
        "listen": {"http": "127.0.0.1:9", "peers": address},
        "platform": {
            part: "http://127.0.0.1:9" for part in ("objects", "cloud", "weights")
        },
        "peers": {"seeds": seeds, **keys},
    }
    settings = parse_settings(msgspec.json.encode(document).decode(), source="test")
    kernel = KernelContext(settings=settings, process_id=f"{name}.test")
    return PeersTask(context=kernel, random_state=random.Random(name))


def make_keys() -> dict[str, str]:
    public, secret = zmq.curve_keypair()
    return {"public_key": public.decode(), "secret_key": secret.decode()}


def count_refusals() -> float:
    value = REGISTRY.get_sample_value("berylpost_peer_refused_total", {"reason": "key"})
    return value or 0.0


@given("two peers with one CURVE key and a third with another")
def make_peers(context: Context) -> None:
    ports = [f"127.0.0.1:{port}" for port in find_ports(3)]
    ours, theirs = make_keys(), make_keys()
    # The stranger knows our public key, which is no secret, but not the other.
    stranger = {**theirs, "accepted_keys": [ours["public_key"]]}
    context.refused_before = count_refusals()
    context.peers = [
        make_peer("a", ports[0], [ports[1]], ours),
        make_peer("b", ports[1], [ports[0]], ours),
        make_peer("c", ports[2], ports[:2], stranger),
    ]


@given("two peers, one listening with a new key while both accept both keys")
def make_rotating(context: Context) -> None:
    ports = [f"127.0.0.1:{port}" for port in find_ports(2)]
    old, new = make_keys(), make_keys()
    accepted = {"accepted_keys": [old["public_key"], new["public_key"]]}
    context.peers = [
        make_peer("a", ports[0], [ports[1]], {**old, **accepted}),
        make_peer("b", ports[1], [ports[0]], {**new, **accepted}),
    ]


@when("they all run for {seconds:d} s")
def run_peers(context: Context, seconds: int) -> None:
    for peer in context.peers:
        peer.start()
        context.add_cleanup(peer.stop)
    a, b = context.peers[:2]

    def know_each_other() -> bool:
        return all(len(p.members.read().entries) >= 2 for p in (a, b))

    wait_until(know_each_other, timeout_s=10 * seconds, what="peers met")
    time.sleep(seconds)


@then("the two know each other and neither knows the third")
def check_strangers(context: Context) -> None:
    for peer in context.peers[:2]:
        assert set(peer.members.read().entries) == {"a", "b"}
    assert set(context.peers[2].members.read().entries) == {"c"}


@then("the refusals were counted")
def check_counted(context: Context) -> None:
    assert count_refusals() > context.refused_before


@then("the two know each other")
def check_met(context: Context) -> None:
    for peer in context.peers:
        states = {i: e.member.state for i, e in peer.members.read().entries.items()}
        assert states == {"a": "alive", "b": "alive"}, states
