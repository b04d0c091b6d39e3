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

from berylpost.bench.fleet import HOST, find_free_ports, wait_until
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
class SimulatedNetwork:
    """Members on a simulated clock and network, and the messages in flight."""

    tables: dict[str, Table]
    loss: float
    random: random.Random
    now: float = 0.0
    in_flight: list[tuple[float, str, str, str, Any]] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    receive_blocked: set[str] = field(default_factory=set)
    partition: tuple[set[str], set[str]] | None = None
    detected_deaths: list[tuple[str, str]] = field(default_factory=list)
    duplicates: list[str] = field(default_factory=list)

    def send(self, source: str, to: str, kind: str, body: Any) -> None:
        if self.random.random() >= self.loss:
            self.in_flight.append((self.now + DELAY_S, source, to, kind, body))

    def is_dropped(self, source: str, to: str) -> bool:
        if to in self.stopped or to in self.receive_blocked or to not in self.tables:
            return True
        partition = self.partition
        return partition is not None and (source in partition[0]) != (
            to in partition[0]
        )

    def apply(self, name: str, result: tuple[Table, list[Any]]) -> None:
        self.tables[name] = result[0]
        for action in result[1]:
            match action:
                case SendProbe():
                    updates = self.take_updates(name)
                    to = action.helper or action.target
                    body = (action.sequence, updates, action.target, name)
                    self.send(name, to, "probe", body)
                case StateChange():
                    if action.member.state == "dead":
                        self.detected_deaths.append((name, action.member.id))
                case Broadcast():
                    for neighbour in self.tables[name].neighbours:
                        self.send(name, neighbour, "update", action.members)
                case DuplicateId():
                    self.duplicates.append(name)

    def take_updates(self, name: str) -> tuple[Member, ...]:
        self.tables[name], updates = take_piggybacked_records(self.tables[name])
        return updates

    def merge(self, name: str, members: Any) -> None:
        self.apply(name, merge_members(self.tables[name], members, self.now, RULES))

    def list_not_dead(self, name: str) -> list[Member]:
        entries = self.tables[name].entries.values()
        return [e.member for e in entries if e.member.state != "dead"]

    def receive(self, source: str, name: str, kind: str, body: Any) -> None:
        table = self.tables[name]
        match kind:
            case "probe":
                sequence, updates, target, prober = body
                self.merge(name, updates)
                if target != name:
                    self.send(name, target, "probe", (sequence, (), target, prober))
                    return
                answer_updates = list(self.take_updates(name))
                known = self.tables[name].entries.get(prober)
                if known is not None and known.member.state != "alive":
                    answer_updates.append(known.member)
                self.send(name, prober, "answer", (sequence, answer_updates))
            case "answer":
                self.tables[name] = record_probe_answer(table, body[0])
                self.merge(name, body[1])
            case "digest":
                member, digest = body
                same = digest == digest_table(table)
                self.merge(name, [member])
                if not same:
                    self.send(name, source, "table", (self.list_not_dead(name), True))
                    corrections = list_corrections(table, [member])
                    self.send(name, source, "update", corrections)
            case "table":
                members, wants_reply = body
                self.send(name, source, "update", list_corrections(table, members))
                self.merge(name, members)
                if wants_reply:
                    self.send(name, source, "table", (self.list_not_dead(name), False))
            case "update":
                self.merge(name, body)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            due = [m for m in self.in_flight if m[0] <= self.now]
            self.in_flight = [m for m in self.in_flight if m[0] > self.now]
            for _, source, to, kind, body in due:
                if not self.is_dropped(source, to):
                    self.receive(source, to, kind, body)
            for name in self.tables:
                if name not in self.stopped:
                    self.step(name)

    def step(self, name: str) -> None:
        self.apply(name, advance(self.tables[name], self.now, RULES))
        table = self.tables[name]
        digest_message = (table.entries[name].member, digest_table(table))
        knows_nobody = len(table.entries) == 1
        if self.random.random() < STEP_S / SYNC_S and table.neighbours:
            self.send(
                name, self.random.choice(table.neighbours), "digest", digest_message
            )
        if knows_nobody or self.random.random() < STEP_S / REJOIN_S:
            self.send(
                name, f"m{self.random.randrange(N_SEEDS)}", "digest", digest_message
            )

    def run_until(self, condition: Any, bound_s: float) -> None:
        end = self.now + bound_s
        while not condition():
            assert self.now < end, self.describe_states()
            self.run(STEP_S)

    def describe_states(self) -> list[tuple[str, dict[str, str]]]:
        return [
            (n, {i: e.member.state for i, e in t.entries.items()})
            for n, t in self.tables.items()
            if n not in self.stopped
        ][:3]

    def find_state(self, name: str, of: str) -> str:
        entry = self.tables[name].entries.get(of)
        return entry.member.state if entry else ""

    def is_everyone_alive(self) -> bool:
        return all(
            self.find_state(name, of) == "alive"
            for name in self.tables
            for of in self.tables
        )


@given("{n:d} members that know each other, and {loss:d} percent of messages lost")
def make_network(context: Context, n: int, loss: int) -> None:
    members = [make_member(f"m{i}") for i in range(n)]
    tables = {}
    for member in members:
        table = make_table(member, 0.0)
        table, _ = merge_members(table, members, 0.0, RULES)
        # They do not probe at the same instant, as after starting one after the other.
        tables[member.id] = replace(
            table, transmissions_left={}, next_probe_at=n % 10 / 10
        )
    context.network = SimulatedNetwork(
        tables=tables, loss=loss / 100, random=random.Random(7)
    )
    context.network.run(5.0)
    context.dead = []


@when("{n:d} of them die at once")
def kill_members(context: Context, n: int) -> None:
    context.dead = [f"m{i}" for i in range(1, n + 1)]
    context.network.stopped.update(context.dead)


@then("within {bound:d} s every live member considers every dead one dead")
def check_dead(context: Context, bound: int) -> None:
    network = context.network
    living = [name for name in network.tables if name not in network.stopped]
    network.run_until(
        lambda: all(
            network.find_state(n, d) == "dead" for n in living for d in context.dead
        ),
        bound,
    )


@then("no live member was ever considered dead")
def check_no_false_death(context: Context) -> None:
    wrong = [d for d in context.network.detected_deaths if d[1] not in context.dead]
    assert not wrong, wrong


@when("{seconds:d} s pass")
def pass_time(context: Context, seconds: int) -> None:
    context.network.run(seconds)


@when("one of them is paused for {seconds:d} s")
def pause_member(context: Context, seconds: int) -> None:
    context.network.stopped.add("m5")
    context.network.run(seconds)
    context.network.stopped.clear()


@then("within {bound:d} s all members consider each other alive")
def check_all_alive(context: Context, bound: int) -> None:
    context.network.run_until(context.network.is_everyone_alive, bound)


@when("the network is partitioned into two halves for {seconds:d} s and then healed")
def partition_network(context: Context, seconds: int) -> None:
    names = list(context.network.tables)
    # Each half keeps a seed; without one its members could not rejoin the other half.
    context.network.partition = (set(names[::2]), set(names[1::2]))
    context.network.run(seconds)
    assert context.network.find_state("m0", "m1") == "dead"
    context.network.partition = None


@when("one of them can send but receives nothing for {seconds:d} s")
def block_receiving(context: Context, seconds: int) -> None:
    context.network.receive_blocked.add("m5")
    context.network.run(seconds)


@then("within {bound:d} s every other member considers it dead and all others alive")
def check_receiver_dead(context: Context, bound: int) -> None:
    network = context.network
    others = [name for name in network.tables if name != "m5"]
    network.run_until(
        lambda: (
            all(network.find_state(n, "m5") == "dead" for n in others)
            and all(network.find_state(n, o) == "alive" for n in others for o in others)
        ),
        bound,
    )


@when("all of them restart with new incarnations, knowing only three seeds")
def restart_all(context: Context) -> None:
    network = context.network
    network.tables = {
        name: make_table(make_member(name, incarnation=1_000), network.now)
        for name in network.tables
    }


@when("one of them announces that it is leaving")
def leave(context: Context) -> None:
    network = context.network
    result = update_self(network.tables["m5"], network.now, RULES, state="leaving")
    network.apply("m5", result)


@then("within {bound:d} s every other member considers it leaving")
def check_leaving(context: Context, bound: int) -> None:
    network = context.network
    network.run_until(
        lambda: all(
            network.find_state(name, "m5") == "leaving" for name in network.tables
        ),
        bound,
    )


@when("a second process starts with the id of one of them")
def start_duplicate(context: Context) -> None:
    network = context.network
    second = make_member("m5", incarnation=50, peers="elsewhere")
    network.merge("m0", [second])
    network.run(20.0)


@then("the older of the two is told that it is a duplicate")
def check_duplicate(context: Context) -> None:
    assert set(context.network.duplicates) == {"m5"}, context.network.duplicates


@given("the neighbours of {n:d} members at degree {degree:d}")
def make_neighbour_graph(context: Context, n: int, degree: int) -> None:
    context.degree = degree
    context.names = [f"m{i}" for i in range(n)]
    compute_neighbours(context, context.names)


def compute_neighbours(context: Context, names: list[str]) -> None:
    # The rings are the same for all members; a sample saves computing them n times.
    sample = names if len(names) <= 200 else names[:: len(names) // 200]
    context.neighbours_by_member = {
        n: choose_neighbours(n, names, context.degree) for n in sample
    }


@then(
    "no member has more than {degree:d} neighbours and each is a neighbour of another"
)
def check_degree(context: Context, degree: int) -> None:
    assert all(
        len(neighbours) <= degree
        for neighbours in context.neighbours_by_member.values()
    )
    n_probers = Counter(
        n for neighbours in context.neighbours_by_member.values() for n in neighbours
    )
    mean = sum(n_probers.values()) / len(context.names)
    assert mean > 0.5, mean
    assert max(n_probers.values()) <= 2 * degree


def count_hops(context: Context, names: list[str], start: str) -> int:
    graph: dict[str, tuple[str, ...]] = context.graph
    reached, frontier, hops = {start}, {start}, 0
    while len(reached) < len(names):
        frontier = {n for f in frontier for n in graph[f]} - reached
        assert frontier, f"{len(names) - len(reached)} members not reached"
        reached |= frontier
        hops += 1
    return hops


@then("updates spread from any of {n:d} members to all within {hops:d} hops")
def check_hops(context: Context, n: int, hops: int) -> None:
    names = context.names
    context.graph = {m: choose_neighbours(m, names, context.degree) for m in names}
    for start in names[:: len(names) // n]:
        assert count_hops(context, names, start) <= hops
    context.n_starts, context.max_hops = n, hops


@then("the same holds after {percent:d} percent of the members are removed")
def check_after_loss(context: Context, percent: int) -> None:
    removed = random.Random(3).sample(
        context.names, len(context.names) * percent // 100
    )
    context.names = [name for name in context.names if name not in set(removed)]
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


@then("every answer covers all {n:d} zones and never contains the leaving member")
def check_zones(context: Context, n: int) -> None:
    for chosen in context.chosen:
        assert len({m.zone for m in chosen}) == n
        assert context.members[0].id not in {m.id for m in chosen}
        assert len({m.id for m in chosen}) == len(chosen)


@then("no member is listed first more often than twice its even share")
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


@given("two peers with the same CURVE key and a third with another")
def make_peers(context: Context) -> None:
    addresses = [f"{HOST}:{port}" for port in find_free_ports(3)]
    own_keys, stranger_keys = make_keys(), make_keys()
    # The third peer has the others' public key, which is not secret, but not their
    # secret key.
    stranger_settings = {**stranger_keys, "accepted_keys": [own_keys["public_key"]]}
    context.refused_before = count_refusals()
    context.peers = [
        make_peer("a", addresses[0], [addresses[1]], own_keys),
        make_peer("b", addresses[1], [addresses[0]], own_keys),
        make_peer("c", addresses[2], addresses[:2], stranger_settings),
    ]


@given("two peers, one listening with a new key while both accept both keys")
def make_peers_rotating_keys(context: Context) -> None:
    addresses = [f"{HOST}:{port}" for port in find_free_ports(2)]
    old, new = make_keys(), make_keys()
    accepted = {"accepted_keys": [old["public_key"], new["public_key"]]}
    context.peers = [
        make_peer("a", addresses[0], [addresses[1]], {**old, **accepted}),
        make_peer("b", addresses[1], [addresses[0]], {**new, **accepted}),
    ]


@when("they all run for {seconds:d} s")
def run_peers(context: Context, seconds: int) -> None:
    for peer in context.peers:
        peer.start()
        context.add_cleanup(peer.stop)
    a, b = context.peers[:2]

    def have_met() -> bool:
        return all(len(p.members.read().entries) >= 2 for p in (a, b))

    wait_until(
        have_met, timeout_s=10 * seconds, description="the peers know each other"
    )
    time.sleep(seconds)


@then("the two know each other and neither knows the third")
def check_stranger_refused(context: Context) -> None:
    for peer in context.peers[:2]:
        assert set(peer.members.read().entries) == {"a", "b"}
    assert set(context.peers[2].members.read().entries) == {"c"}


@then("the refusals were counted")
def check_refusals_counted(context: Context) -> None:
    assert count_refusals() > context.refused_before


@then("the two know each other")
def check_peers_met(context: Context) -> None:
    for peer in context.peers:
        states = {i: e.member.state for i, e in peer.members.read().entries.items()}
        assert states == {"a": "alive", "b": "alive"}, states
