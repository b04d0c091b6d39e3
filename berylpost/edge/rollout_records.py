"""What a daemon knows of the orders to move services to new versions.

A daemon that watches the store makes the first record of an order. All later ones are
words of the daemon that holds the duty lease, ordered by the lease's fencing number,
which contains the store's era, and a sequence number, so that the word of an earlier
holder never replaces that of a later one.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

import msgspec

from ..hashing import hash_text
from ..logs import log_event
from ..platform.rollouts import COMPLETE, REVERTED, RolloutOrder
from ..policy.rollout import FINAL, Phase
from ..policy.rollout_share import find_share_in_force
from .clock import read_boottime

LOGGER: Final = logging.getLogger(__name__)

MAX_SERVICES: Final = 64  # bounds memory
# Above the words that a holder gives in one second, so that what the store shows as
# decided ranks above them.
FOUND_SEQUENCES: Final = 1_000
FOUND_PHASES: Final = {COMPLETE: Phase.COMPLETE, REVERTED: Phase.REVERTED}


class RolloutRecord(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """The state of one order, as it is sent and stored.

    Attributes:
        name: name of the order's object.
        era: era of the store in which the order was found.
        revision: revision of the object then.
        created: revision at which the object was created.
        elapsed_s: time since the order was found, when this was sent.
        baseline: versions that served before.
        fence: fencing number of the holder; 0 before the first word of one.
        sequence: number of the holder's word.
        word_age_s: age of that word, when this was sent.
        since_s: time from the order to the begin of the phase.
        written: state that was written as the order's status.
        typical: usual answer figures of the old version by route.
        holder: name of the holder.
        stored_at: time at which it was stored, Unix seconds; 0 for a message.
    """

    service: str
    name: str
    to: str
    duration_s: float
    era: int
    revision: int
    created: int
    elapsed_s: float
    baseline: tuple[str, ...]
    phase: Phase = Phase.WAITING
    share: float = 0.0
    fence: int = 0
    sequence: int = 0
    word_age_s: float = 0.0
    since_s: float = 0.0
    written: str = ""
    reason: str = ""
    typical: dict[str, float] = {}
    holder: str = ""
    stored_at: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """What identifies the order among those of its service."""
        return (self.era, self.revision)

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Orders the records of one service."""
        return (self.era, self.revision, self.fence, self.sequence)

    @property
    def is_stable(self) -> bool:
        """Whether the ordered version served before."""
        return self.to in self.baseline

    @property
    def is_final(self) -> bool:
        """Whether the order is decided."""
        return self.phase in FINAL


class KnownRollout:
    """One order with the times that count for this daemon.

    Attributes:
        ordered_at: boot-time clock at which the order was found.
        heard_at: boot-time clock of the holder's last word.
    """

    def __init__(self, *, record: RolloutRecord) -> None:
        now = read_boottime()
        self.record = record
        self.ordered_at = now - max(0.0, record.elapsed_s)
        self.heard_at = now - max(0.0, record.word_age_s)

    @property
    def elapsed_s(self) -> float:
        """Seconds since the order."""
        return read_boottime() - self.ordered_at

    @property
    def is_current(self) -> bool:
        """Whether the last word is final or still in force."""
        return self.find_share(1.0) > 0

    @property
    def share(self) -> float:
        """Share of the requests that this daemon sends to the new version."""
        return self.find_share(self.record.share)

    def find_share(self, share: float) -> float:
        """Returns a share if the last word is in force, else 0."""
        record = self.record
        if not record.fence and not record.is_final:
            return 0.0
        age_s = read_boottime() - self.heard_at
        return find_share_in_force(share, age_s=age_s, is_final=record.is_final)

    def export(self) -> RolloutRecord:
        """Returns the record with its present ages."""
        word_age_s = round(read_boottime() - self.heard_at, 3)
        return msgspec.structs.replace(
            self.record, elapsed_s=round(self.elapsed_s, 3), word_age_s=word_age_s
        )


class RolloutTable:
    """The newest known order of each service.

    Args:
        list_versions: returns the versions of a service's registered servers.
        on_change: called with each record that is new here.

    Attributes:
        rollouts: the orders by service.
    """

    def __init__(
        self,
        *,
        list_versions: Callable[[str], Iterable[str]],
        on_change: Callable[[KnownRollout], None],
    ) -> None:
        self.rollouts: dict[str, KnownRollout] = {}
        self._list_versions = list_versions
        self._on_change = on_change

    def adopt(self, record: RolloutRecord) -> bool:
        """Takes a record over if it is newer; tells whether it is."""
        known = self.rollouts.get(record.service)
        if known is not None and record.order == known.record.order:
            if known.record.is_final and not record.is_final:
                return False  # a decision is never taken back
            if record.rank == known.record.rank:
                heard_at = read_boottime() - max(0.0, record.word_age_s)
                known.heard_at = max(known.heard_at, heard_at)
        if known is not None and record.rank <= known.record.rank:
            return False
        if known is None and len(self.rollouts) >= MAX_SERVICES:
            return False
        rollout = KnownRollout(record=record)
        if known is not None and known.record.order == record.order:
            rollout.ordered_at = min(rollout.ordered_at, known.ordered_at)
        before = known.record.phase if known is not None else None
        self.rollouts[record.service] = rollout
        if known is None or known.record.order != record.order:
            self._log("rollout_ordered", record)
        elif before is not record.phase:
            self._log("rollout_phase", record)
        self._on_change(rollout)
        return True

    def note_order(self, order: RolloutOrder, era: int) -> None:
        """Makes the first record of an order that the store has.

        Args:
            order: the order.
            era: era of the store to which its revision belongs.
        """
        known = self.rollouts.get(order.service)
        found = FOUND_PHASES.get(order.state)
        if known is not None and _is_same(known.record, order, era):
            if found is not None and not known.record.is_final:
                self.adopt(
                    msgspec.structs.replace(
                        known.export(),
                        phase=found,
                        share=float(found is Phase.COMPLETE),
                        sequence=known.record.sequence + FOUND_SEQUENCES,
                        written=order.state,
                        reason="status_found",
                    )
                )
            return
        if known is not None and (era, order.revision) <= known.record.order:
            return  # an older view of the store
        self.adopt(
            RolloutRecord(
                service=order.service,
                name=order.name,
                to=order.to,
                duration_s=order.duration_s,
                era=era,
                revision=order.revision,
                created=order.created_revision,
                elapsed_s=0.0,
                baseline=self._find_baseline(order, known),
                phase=found or Phase.WAITING,
                share=float(found is Phase.COMPLETE),
                written=order.state,
            )
        )

    def _find_baseline(
        self, order: RolloutOrder, known: KnownRollout | None
    ) -> tuple[str, ...]:
        """Returns the versions that serve when an order comes."""
        if known is not None and known.record.phase is Phase.COMPLETE:
            return (known.record.to,)
        if known is not None and known.record.baseline:
            return known.record.baseline
        versions = set(self._list_versions(order.service))
        return tuple(sorted(versions - {order.to} or versions))

    def digest(self) -> int:
        """Returns a number that is equal for daemons that know the same decisions."""
        digest = 0
        for rollout in self.rollouts.values():
            record = rollout.record
            key = (record.service, *record.order, record.fence, record.phase.value)
            digest ^= hash_key(key)
        return digest

    def _log(self, event: str, record: RolloutRecord) -> None:
        log_event(
            LOGGER,
            event,
            service=record.service,
            to=record.to,
            baseline=",".join(record.baseline),
            phase=record.phase.value,
            reason=record.reason,
            share=record.share,
            duration_s=record.duration_s,
            fence=record.fence,
            sequence=record.sequence,
        )


def hash_key(key: tuple[Any, ...]) -> int:
    """Hashes a key to a number that fits into msgpack's integers."""
    return hash_text("/".join(map(str, key))) >> 1


def _is_same(record: RolloutRecord, order: RolloutOrder, era: int) -> bool:
    """Tells whether a stored order is the known one, written again or not.

    Revisions of another era cannot be compared, and the status raises the revision.
    """
    if (record.to, record.duration_s) != (order.to, order.duration_s):
        return False
    return era != record.era or record.created == order.created_revision


def encode_record(record: RolloutRecord, wall: float) -> Any:
    """Encodes a record to store; `wall` is the time of day, Unix seconds."""
    return msgspec.to_builtins(msgspec.structs.replace(record, stored_at=wall))


def decode_records(specs: Iterable[Any], wall: float) -> Mapping[str, RolloutRecord]:
    """Decodes stored records by service; leaves out those of other writers.

    Args:
        specs: stored records.
        wall: time of day, Unix seconds, to which the order's age is brought up.
    """
    records = {}
    for spec in specs:
        try:
            record = msgspec.convert(spec, RolloutRecord)
        except msgspec.ValidationError as error:
            log_event(LOGGER, "bad_rollout_record", logging.WARNING, error=error)
            continue
        age_s = max(0.0, wall - record.stored_at) if record.stored_at else 0.0
        records[record.service] = msgspec.structs.replace(
            record,
            elapsed_s=record.elapsed_s + age_s,
            word_age_s=record.word_age_s + age_s,
            stored_at=0.0,
        )
    return records
