"""Membership by gossip: neighbour probes, suspicion and piggybacked updates.

Each daemon probes its neighbours in a random graph of fixed degree, so its traffic per
second does not grow with the number of members. Changes are piggybacked on probes a
bounded number of times, and a periodic digest comparison finds changes that were not
delivered in this way. The functions take a frozen `Table` and return a new one
together with the actions to execute.
"""

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

import msgspec

from ..hashing import hash_bytes, hash_text
from ..messages import Member

# Number of transmissions of a record, as a multiple of log2(n), that reaches all n
# members with a margin.
TRANSMISSION_FACTOR: Final = 3
MAX_PIGGYBACKED_RECORDS: Final = 12  # member records in a probe, about 1 KB
N_INDIRECT_PROBES: Final = 2  # neighbours asked to probe an unresponsive member

# Of two records with the same incarnation, the one with the worse state wins.
_STATE_RANK: Final = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3, "left": 4}
ACTIVE_STATES: Final = frozenset({"alive", "suspect"})
GONE_STATES: Final = frozenset({"dead", "left"})


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberEntry:
    """A member's record in the table.

    Attributes:
        member: the latest record of the member.
        since: time at which that record was adopted, monotonic seconds.
    """

    member: Member
    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingProbe:
    """A probe that has not been answered yet.

    Attributes:
        target: id of the probed member.
        sent_at: time of sending, monotonic seconds.
        indirect_sent: whether indirect probes through helpers were sent.
    """

    target: str
    sent_at: float
    indirect_sent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """One daemon's view of the members of its region.

    Attributes:
        self_id: id of this daemon.
        entries: entries by member id, including this daemon.
        transmissions_left: remaining transmissions of a record, by member id.
        pending: unanswered probes by sequence number.
        sequence: sequence number of the last probe.
        next_probe_at: time of the next probe, monotonic seconds.
        n_probes_sent: number of probes sent; selects the next neighbour.
        neighbours: ids of the members that this daemon probes.
    """

    self_id: str
    entries: Mapping[str, MemberEntry]
    transmissions_left: Mapping[str, int] = field(default_factory=dict)
    pending: Mapping[int, PendingProbe] = field(default_factory=dict)
    sequence: int = 0
    next_probe_at: float = 0.0
    n_probes_sent: int = 0
    neighbours: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Timing and bounds of the membership protocol.

    Attributes:
        probe_interval_s: time between probes; an older unanswered probe raises
            suspicion.
        probe_timeout_s: time after which helpers are asked to probe.
        suspicion_s: time after which a suspected member is declared dead.
        tombstone_s: time for which a member that is gone is remembered.
        degree: number of neighbours.
    """

    probe_interval_s: float
    probe_timeout_s: float
    suspicion_s: float
    tombstone_s: float
    degree: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SendProbe:
    """Sends a probe to `target`, through `helper` if it is set."""

    sequence: int
    target: str
    helper: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """A member's state changed in this table; `before` is empty for a new member."""

    member: Member
    before: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DuplicateId:
    """Another process with a higher incarnation uses this daemon's id."""

    other: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class Broadcast:
    """Changed records to send to all neighbours immediately.

    The same records are also piggybacked on later probes.
    """

    members: tuple[Member, ...]


Action = SendProbe | StateChange | DuplicateId | Broadcast


def make_table(member: Member, now: float) -> Table:
    """Creates the table of a daemon that knows only itself."""
    entry = MemberEntry(member=member, since=now)
    return Table(
        self_id=member.id, entries={member.id: entry}, transmissions_left={member.id: 8}
    )


def list_active(table: Table) -> list[Member]:
    """Lists members that accept work, including this daemon if it does."""
    return [e.member for e in table.entries.values() if e.member.state in ACTIVE_STATES]


def choose_neighbours(self_id: str, ids: Iterable[str], degree: int) -> tuple[str, ...]:
    """Chooses neighbours as successors and predecessors on `degree / 2` rings.

    Every member computes the same rings from ids alone, so a member is probed by
    about `degree` others without central assignment.
    """
    others = sorted(set(ids) | {self_id})
    if len(others) - 1 <= degree:
        return tuple(other for other in others if other != self_id)
    chosen: dict[str, None] = {}
    for ring in range(degree):
        if len(chosen) >= degree:
            break
        order = sorted(others, key=lambda i: _ring_position(ring, i))
        place = order.index(self_id)
        chosen[order[place - 1]] = None
        chosen[order[(place + 1) % len(order)]] = None
    return tuple(chosen)[:degree]


@functools.lru_cache(maxsize=16_384)
def _ring_position(ring: int, member_id: str) -> int:
    return hash_text(f"{ring}/{member_id}")


def merge_members(
    table: Table, members: Iterable[Member], now: float, rules: Rules
) -> tuple[Table, list[Action]]:
    """Merges member records received from other daemons.

    Args:
        table: the current table.
        members: records received from others.
        now: monotonic seconds.
        rules: timing and bounds.

    Returns:
        The new table and the actions that follow from the changes.
    """
    entries: dict[str, MemberEntry] | None = None
    transmissions_left = dict(table.transmissions_left)
    actions: list[Action] = []
    changed_records: list[Member] = []
    present_changed = False
    n_transmissions = _count_transmissions(len(table.entries))
    for member in members:
        known = (entries or table.entries).get(member.id)
        if member.id == table.self_id:
            own_actions, refutation = _handle_own_record(known, member)
            actions += own_actions
            if refutation is None:
                continue
            member = refutation
        elif known is not None and not _is_newer(member, known.member):
            continue
        elif known is None and member.state in GONE_STATES:
            # No tombstone is needed for a member that was never known here.
            continue
        entries = dict(table.entries) if entries is None else entries
        entries[member.id] = MemberEntry(member=member, since=now)
        transmissions_left[member.id] = n_transmissions
        changed_records.append(member)
        was_present = known is not None and known.member.state not in GONE_STATES
        present_changed |= was_present != (member.state not in GONE_STATES)
        before = known.member.state if known else ""
        if before != member.state:
            actions.append(StateChange(member=member, before=before))
    if entries is None:
        return table, actions
    # On probes alone, a suspicion and its refutation travel for longer than the
    # suspicion lasts: at 15 percent message loss, live members were declared dead.
    actions.append(Broadcast(members=tuple(changed_records)))
    table = replace(table, entries=entries, transmissions_left=transmissions_left)
    if present_changed:
        table = _update_neighbours(table, rules)
    return table, actions


def _is_newer(member: Member, known: Member) -> bool:
    return (member.incarnation, _STATE_RANK[member.state]) > (
        known.incarnation,
        _STATE_RANK[known.state],
    )


def _handle_own_record(
    known: MemberEntry | None, received: Member
) -> tuple[list[Action], Member | None]:
    """Handles a record of this daemon that came from another one.

    Refutes a newer record of its own state, and detects another process that uses the
    same id.

    Returns:
        Actions, and the refutation to adopt, if any.
    """
    if known is None:
        return [], None
    own_record = known.member
    if (
        received.peers != own_record.peers
        and received.incarnation > own_record.incarnation
    ):
        return [DuplicateId(other=received)], None
    if not _is_newer(received, own_record):
        return [], None
    refutation = msgspec.structs.replace(
        own_record, incarnation=received.incarnation + 1
    )
    return [], refutation


def _update_neighbours(table: Table, rules: Rules) -> Table:
    ids = [i for i, e in table.entries.items() if e.member.state not in GONE_STATES]
    neighbours = choose_neighbours(table.self_id, ids, rules.degree)
    return replace(table, neighbours=neighbours)


def _count_transmissions(n_members: int) -> int:
    return max(2, math.ceil(TRANSMISSION_FACTOR * math.log2(n_members + 1)))


def take_piggybacked_records(table: Table) -> tuple[Table, tuple[Member, ...]]:
    """Selects the records for one message, the least transmitted first."""
    chosen = sorted(
        table.transmissions_left, key=lambda i: -table.transmissions_left[i]
    )[:MAX_PIGGYBACKED_RECORDS]
    if not chosen:
        return table, ()
    left = dict(table.transmissions_left)
    for member_id in chosen:
        left[member_id] -= 1
        if left[member_id] <= 0:
            del left[member_id]
    members = tuple(table.entries[i].member for i in chosen if i in table.entries)
    return replace(table, transmissions_left=left), members


def list_corrections(table: Table, members: Iterable[Member]) -> list[Member]:
    """Lists records in the table that supersede those another daemon has just sent.

    In this way, a member that is considered dead learns of it and can refute it.
    Otherwise the two halves of a partitioned region would stay separate after the
    partition has healed.
    """
    held = ((m, table.entries.get(m.id)) for m in members)
    return [
        entry.member
        for member, entry in held
        if entry is not None and _is_newer(entry.member, member)
    ]


def record_probe_answer(table: Table, sequence: int) -> Table:
    """Records the answer to a probe, sent directly or through a helper."""
    if sequence not in table.pending:
        return table
    pending = {s: p for s, p in table.pending.items() if s != sequence}
    return replace(table, pending=pending)


def update_self(
    table: Table, now: float, rules: Rules, **changes: str
) -> tuple[Table, list[Action]]:
    """Changes this daemon's own record, for example to `leaving`."""
    own_record = table.entries[table.self_id].member
    member = msgspec.structs.replace(
        own_record, incarnation=own_record.incarnation + 1, **changes
    )
    entries = {**table.entries, table.self_id: MemberEntry(member=member, since=now)}
    transmissions_left = {
        **table.transmissions_left,
        table.self_id: _count_transmissions(len(entries)),
    }
    table = replace(table, entries=entries, transmissions_left=transmissions_left)
    before = own_record.state
    actions: list[Action] = [Broadcast(members=(member,))]
    if before != member.state:
        actions.append(StateChange(member=member, before=before))
    return _update_neighbours(table, rules), actions


def advance(table: Table, now: float, rules: Rules) -> tuple[Table, list[Action]]:
    """Advances the protocol to `now`.

    Sends due probes, suspects members that do not answer, declares suspected members
    dead and removes expired tombstones.
    """
    table, actions = _expire_probes(table, now, rules)
    table, more = _expire_entries(table, now, rules)
    actions += more
    if now < table.next_probe_at:
        return table, actions
    table = replace(table, next_probe_at=now + rules.probe_interval_s)
    if not table.neighbours:
        return table, actions
    target = table.neighbours[table.n_probes_sent % len(table.neighbours)]
    sequence = table.sequence + 1
    probe = PendingProbe(target=target, sent_at=now)
    table = replace(
        table,
        sequence=sequence,
        n_probes_sent=table.n_probes_sent + 1,
        pending={**table.pending, sequence: probe},
    )
    return table, [*actions, SendProbe(sequence=sequence, target=target)]


def _expire_probes(
    table: Table, now: float, rules: Rules
) -> tuple[Table, list[Action]]:
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
        elif age >= rules.probe_timeout_s and not probe.indirect_sent:
            pending[sequence] = replace(probe, indirect_sent=True)
            helpers = [n for n in table.neighbours if n != probe.target][
                :N_INDIRECT_PROBES
            ]
            actions += [
                SendProbe(sequence=sequence, target=probe.target, helper=helper)
                for helper in helpers
            ]
    if pending != table.pending:
        table = replace(table, pending=pending)
    table, more = merge_members(table, suspects, now, rules)
    return table, actions + more


def _expire_entries(
    table: Table, now: float, rules: Rules
) -> tuple[Table, list[Action]]:
    """Declares members dead after the suspicion period and removes old tombstones."""
    dead: list[Member] = []
    expired: set[str] = set()
    for member_id, entry in table.entries.items():
        age = now - entry.since
        if entry.member.state == "suspect" and age >= rules.suspicion_s:
            dead.append(msgspec.structs.replace(entry.member, state="dead"))
        elif entry.member.state in GONE_STATES and age >= rules.tombstone_s:
            expired.add(member_id)
    expired.discard(table.self_id)
    table, actions = merge_members(table, dead, now, rules)
    if expired:
        entries = {i: e for i, e in table.entries.items() if i not in expired}
        transmissions_left = {
            i: n for i, n in table.transmissions_left.items() if i not in expired
        }
        table = replace(table, entries=entries, transmissions_left=transmissions_left)
    return table, actions


def digest_table(table: Table) -> int:
    """Digests the state that members should agree on, without tombstones."""
    present = sorted(
        (e.member.id, e.member.incarnation, e.member.state)
        for e in table.entries.values()
        if e.member.state not in GONE_STATES
    )
    return hash_bytes(msgspec.msgpack.encode(present))


def choose_watchers(members: list[Member], zone: str, n_watchers: int) -> list[str]:
    """Chooses the members of a zone that watch the object API, by lowest hash."""
    ids = sorted(
        (m.id for m in members if m.zone == zone),
        key=lambda i: (hash_text(f"watch/{i}"), i),
    )
    return ids[:n_watchers]


def choose_successors(members: list[Member], self_id: str, zone: str) -> list[str]:
    """Ranks the daemons that may take over requests; other zones come first."""
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
    """Follows the successors of daemons that left to one that is still present.

    Returns:
        The id of that daemon, or an empty string if the chain is broken.
    """
    visited: set[str] = set()
    while member_id and member_id not in visited:
        member = table.get(member_id)
        if member is None:
            return ""
        if member.state in ACTIVE_STATES or (
            member.state == "leaving" and not member.successor
        ):
            return member_id
        visited.add(member_id)
        member_id = member.successor
    return ""
