"""Who is there: probing a few neighbours, suspicion before death, rumours.

Each daemon probes the neighbours that a random graph of fixed degree gives it, so
bytes a second do not grow with the number of members. Changes ride on probes a
bounded number of times; a digest now and then finds what rumours missed. The
functions take a frozen `Table` and return a new one with the actions to carry out.
"""

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

import msgspec

from ..hashing import hash_bytes, hash_text
from ..messages import Member

RUMOUR_FACTOR: Final = 3  # times log2(n) transmissions reach all with margin
MAX_RUMOURS: Final = 12  # members on one probe, about 1 KB
N_HELPERS: Final = 2  # neighbours asked to probe one that is silent

# Of two records with the same incarnation the worse news wins.
_RANK: Final = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3, "left": 4}
ACTIVE: Final = frozenset({"alive", "suspect"})
GONE_STATES: Final = frozenset({"dead", "left"})


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A member and since when it has been in its state, monotonic seconds."""

    member: Member
    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingProbe:
    """A probe under way."""

    target: str
    sent_at: float
    helped: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """All that one daemon knows of the members of its region.

    Attributes:
        self_id: this daemon.
        entries: by member id, this daemon included.
        rumours: member id to how often it is still to be sent.
        pending: probes under way, by sequence.
        sequence: of the last probe.
        next_probe_at: monotonic seconds.
        turn: which neighbour comes next.
        ring: members that may be probed, in the order of each ring.
    """

    self_id: str
    entries: Mapping[str, Entry]
    rumours: Mapping[str, int] = field(default_factory=dict)
    pending: Mapping[int, PendingProbe] = field(default_factory=dict)
    sequence: int = 0
    next_probe_at: float = 0.0
    turn: int = 0
    neighbours: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Times and bounds; seconds unless named otherwise."""

    probe_interval_s: float
    probe_timeout_s: float
    suspicion_s: float
    tombstone_s: float
    degree: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendProbe:
    """Probe `target`; through `helper` when it is set."""

    sequence: int
    target: str
    helper: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """A member's state changed here."""

    member: Member
    before: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DuplicateId:
    """Another process with a higher incarnation uses this daemon's id."""

    other: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class Broadcast:
    """News to pass on to all neighbours at once; rumours on probes follow."""

    members: tuple[Member, ...]


Action = SendProbe | StateChange | DuplicateId | Broadcast


def make_table(member: Member, now: float) -> Table:
    """Makes the table of a daemon that knows only itself."""
    entry = Entry(member=member, since=now)
    return Table(self_id=member.id, entries={member.id: entry}, rumours={member.id: 8})


def list_active(table: Table) -> list[Member]:
    """Lists members that take work, this daemon included when it does."""
    return [e.member for e in table.entries.values() if e.member.state in ACTIVE]


def choose_neighbours(self_id: str, ids: Iterable[str], degree: int) -> tuple[str, ...]:
    """Chooses neighbours as successors and predecessors on `degree / 2` rings.

    Every member computes the same rings from ids alone, so a member is probed by
    about `degree` others without anybody assigning it.
    """
    others = sorted(set(ids) | {self_id})
    if len(others) - 1 <= degree:
        return tuple(other for other in others if other != self_id)
    chosen: dict[str, None] = {}
    for ring in range(degree):
        if len(chosen) >= degree:
            break
        order = sorted(others, key=lambda i: _place_on_ring(ring, i))
        place = order.index(self_id)
        chosen[order[place - 1]] = None
        chosen[order[(place + 1) % len(order)]] = None
    return tuple(chosen)[:degree]


@functools.lru_cache(maxsize=16_384)
def _place_on_ring(ring: int, member_id: str) -> int:
    return hash_text(f"{ring}/{member_id}")


def merge_members(
    table: Table, members: Iterable[Member], now: float, rules: Rules
) -> tuple[Table, list[Action]]:
    """Takes news in.

    Args:
        table: as it stands.
        members: records heard from others.
        now: monotonic seconds.
        rules: times and bounds.

    Returns:
        The new table and what changed.
    """
    entries: dict[str, Entry] | None = None
    rumours = dict(table.rumours)
    actions: list[Action] = []
    news: list[Member] = []
    present_changed = False
    n_sends = _count_sends(len(table.entries))
    for member in members:
        known = (entries or table.entries).get(member.id)
        if member.id == table.self_id:
            action, answer = _answer_rumour_of_self(known, member)
            actions += action
            if answer is None:
                continue
            member = answer
        elif known is not None and not _is_newer(member, known.member):
            continue
        elif known is None and member.state in GONE_STATES:
            # An unknown member that is gone needs no tombstone here.
            continue
        entries = dict(table.entries) if entries is None else entries
        entries[member.id] = Entry(member=member, since=now)
        rumours[member.id] = n_sends
        news.append(member)
        was_present = known is not None and known.member.state not in GONE_STATES
        present_changed |= was_present != (member.state not in GONE_STATES)
        before = known.member.state if known else ""
        if before != member.state:
            actions.append(StateChange(member=member, before=before))
    if entries is None:
        return table, actions
    # By probes alone a suspicion and its refutation take longer than the suspicion
    # lasts: with 15 percent of messages lost, members that lived were given up.
    actions.append(Broadcast(members=tuple(news)))
    table = replace(table, entries=entries, rumours=rumours)
    if present_changed:
        table = _renew_neighbours(table, rules)
    return table, actions


def _is_newer(member: Member, known: Member) -> bool:
    return (member.incarnation, _RANK[member.state]) > (
        known.incarnation,
        _RANK[known.state],
    )


def _answer_rumour_of_self(
    known: Entry | None, rumour: Member
) -> tuple[list[Action], Member | None]:
    """Refutes news of one's own death; finds a process with the same id."""
    if known is None:
        return [], None
    mine = known.member
    if rumour.peers != mine.peers and rumour.incarnation > mine.incarnation:
        return [DuplicateId(other=rumour)], None
    if not _is_newer(rumour, mine):
        return [], None
    refuted = msgspec.structs.replace(mine, incarnation=rumour.incarnation + 1)
    return [], refuted


def _renew_neighbours(table: Table, rules: Rules) -> Table:
    ids = [i for i, e in table.entries.items() if e.member.state not in GONE_STATES]
    neighbours = choose_neighbours(table.self_id, ids, rules.degree)
    return replace(table, neighbours=neighbours)


def _count_sends(n_members: int) -> int:
    return max(2, math.ceil(RUMOUR_FACTOR * math.log2(n_members + 1)))


def take_rumours(table: Table) -> tuple[Table, tuple[Member, ...]]:
    """Takes the rumours for one message, those least sent first."""
    chosen = sorted(table.rumours, key=lambda i: -table.rumours[i])[:MAX_RUMOURS]
    if not chosen:
        return table, ()
    left = dict(table.rumours)
    for member_id in chosen:
        left[member_id] -= 1
        if left[member_id] <= 0:
            del left[member_id]
    members = tuple(table.entries[i].member for i in chosen if i in table.entries)
    return replace(table, rumours=left), members


def list_corrections(table: Table, members: Iterable[Member]) -> list[Member]:
    """Lists records held here that outrank what another daemon has just said.

    Whoever is taken for dead learns it this way and can refute it; otherwise two
    halves of a region that were cut would each go on without the other.
    """
    held = ((m, table.entries.get(m.id)) for m in members)
    return [
        entry.member
        for member, entry in held
        if entry is not None and _is_newer(entry.member, member)
    ]


def record_probe_answer(table: Table, sequence: int) -> Table:
    """Notes the answer to a probe, direct or through a helper."""
    if sequence not in table.pending:
        return table
    pending = {s: p for s, p in table.pending.items() if s != sequence}
    return replace(table, pending=pending)


def update_self(
    table: Table, now: float, rules: Rules, **changes: str
) -> tuple[Table, list[Action]]:
    """Changes this daemon's own record, for example to `leaving`."""
    mine = table.entries[table.self_id].member
    member = msgspec.structs.replace(mine, incarnation=mine.incarnation + 1, **changes)
    entries = {**table.entries, table.self_id: Entry(member=member, since=now)}
    rumours = {**table.rumours, table.self_id: _count_sends(len(entries))}
    table = replace(table, entries=entries, rumours=rumours)
    before = mine.state
    actions: list[Action] = [Broadcast(members=(member,))]
    if before != member.state:
        actions.append(StateChange(member=member, before=before))
    return _renew_neighbours(table, rules), actions


def advance(table: Table, now: float, rules: Rules) -> tuple[Table, list[Action]]:
    """Sends due probes, suspects the silent, ends the suspected, forgets the gone."""
    table, actions = _age_probes(table, now, rules)
    table, more = _age_entries(table, now, rules)
    actions += more
    if now < table.next_probe_at:
        return table, actions
    table = replace(table, next_probe_at=now + rules.probe_interval_s)
    if not table.neighbours:
        return table, actions
    target = table.neighbours[table.turn % len(table.neighbours)]
    sequence = table.sequence + 1
    probe = PendingProbe(target=target, sent_at=now)
    table = replace(
        table,
        sequence=sequence,
        turn=table.turn + 1,
        pending={**table.pending, sequence: probe},
    )
    return table, [*actions, SendProbe(sequence=sequence, target=target)]


def _age_probes(table: Table, now: float, rules: Rules) -> tuple[Table, list[Action]]:
    actions: list[Action] = []
    pending = dict(table.pending)
    suspects: list[Member] = []
    for sequence, probe in table.pending.items():
        age = now - probe.sent_at
        known = table.entries.get(probe.target)
        if known is None or known.member.state in GONE_STATES:
            del pending[sequence]
        elif age >= rules.probe_interval_s:
            del pending[sequence]
            if known.member.state == "alive":
                suspects.append(msgspec.structs.replace(known.member, state="suspect"))
        elif age >= rules.probe_timeout_s and not probe.helped:
            pending[sequence] = replace(probe, helped=True)
            helpers = [n for n in table.neighbours if n != probe.target][:N_HELPERS]
            actions += [
                SendProbe(sequence=sequence, target=probe.target, helper=helper)
                for helper in helpers
            ]
    if pending != table.pending:
        table = replace(table, pending=pending)
    table, more = merge_members(table, suspects, now, rules)
    return table, actions + more


def _age_entries(table: Table, now: float, rules: Rules) -> tuple[Table, list[Action]]:
    """Turns suspicion into death and drops tombstones."""
    dead: list[Member] = []
    forgotten: set[str] = set()
    for member_id, entry in table.entries.items():
        age = now - entry.since
        if entry.member.state == "suspect" and age >= rules.suspicion_s:
            dead.append(msgspec.structs.replace(entry.member, state="dead"))
        elif entry.member.state in GONE_STATES and age >= rules.tombstone_s:
            forgotten.add(member_id)
    forgotten.discard(table.self_id)
    table, actions = merge_members(table, dead, now, rules)
    if forgotten:
        entries = {i: e for i, e in table.entries.items() if i not in forgotten}
        rumours = {i: n for i, n in table.rumours.items() if i not in forgotten}
        table = replace(table, entries=entries, rumours=rumours)
    return table, actions


def digest_table(table: Table) -> int:
    """Digests what members should agree on; tombstones are left out."""
    live = sorted(
        (e.member.id, e.member.incarnation, e.member.state)
        for e in table.entries.values()
        if e.member.state not in GONE_STATES
    )
    return hash_bytes(msgspec.msgpack.encode(live))


def choose_watchers(members: list[Member], zone: str, n_watchers: int) -> list[str]:
    """Chooses who watches the object API for a zone: the lowest hashes in it."""
    ids = sorted(
        (m.id for m in members if m.zone == zone),
        key=lambda i: (hash_text(f"watch/{i}"), i),
    )
    return ids[:n_watchers]


def choose_successors(members: list[Member], self_id: str, zone: str) -> list[str]:
    """Orders the daemons that may take over requests: other zones come first."""
    others = [m for m in members if m.id != self_id and m.state == "alive"]
    ranked = sorted(
        others,
        key=lambda m: (
            m.zone == zone,
            -hash_text(f"{self_id}/{m.id}"),
        ),
    )
    return [m.id for m in ranked]


def find_successor(table: Mapping[str, Member], member_id: str) -> str:
    """Follows successors of daemons that left until one that is still there.

    Returns:
        The id found, or empty when the chain is broken.
    """
    visited: set[str] = set()
    while member_id and member_id not in visited:
        member = table.get(member_id)
        if member is None:
            return ""
        if member.state in ACTIVE or (
            member.state == "leaving" and not member.successor
        ):
            return member_id
        visited.add(member_id)
        member_id = member.successor
    return ""
