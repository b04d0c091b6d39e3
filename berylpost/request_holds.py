"""One daemon's records of requests that crash servers, and what it holds back.

Both daemons use it; each has its own way to find out that a server has ended and to
exchange the records. Parts of prompts are known by the hashes of their ids or texts,
whole requests by a digest. `policy.quarantine` decides what is held.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

import msgspec

from .hashing import hash_bytes, hash_text
from .logs import log_event
from .policy.quarantine import (
    REQUEST_DEPTH,
    Hold,
    Observation,
    PartRecord,
    find_holds,
    is_later,
    is_outdated,
    merge_record,
)

LOGGER: Final = logging.getLogger(__name__)

MAX_RECORDS: Final = 512
# Parts and requests answered in the time for which an answer is proof, at 250 a second.
MAX_ANSWERED: Final = 8_192
MAX_PARTS: Final = 64  # of one prompt that are recorded
MAX_OBSERVATIONS_TOLD: Final = 32  # in one message, 30 bytes each
TRIAL_S: Final = 10.0  # one request may try a held part in this time

NEVER: Final = float("-inf")


class Suspects(NamedTuple):
    """What of one request may crash servers, as hashes.

    Attributes:
        parts: parts of the prompt that other requests may share, in order.
        digest: digest of the whole request, equal for requests of one caller that
            differ in nothing but their ids.
    """

    parts: tuple[int, ...]
    digest: int

    def list_depths(self) -> list[tuple[int, int]]:
        """Lists the hashes, each with its depth."""
        parts = [(key, depth) for depth, key in enumerate(self.parts[:MAX_PARTS])]
        return [*parts, (self.digest, REQUEST_DEPTH)]

    def list_keys(self) -> list[int]:
        """Lists the hashes."""
        return [key for key, _ in self.list_depths()]


def digest_request(*fields: bytes) -> int:
    """Digests what makes a request the same as another one."""
    return hash_bytes(b"".join(b"%d:%b" % (len(field), field) for field in fields))


class WireRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record on the wire, with ages in place of times.

    Attributes:
        part: hash of the part.
        answered_age: age of the latest complete answer, seconds; None for none.
        observations: server, reporter, age, requests and depth.
    """

    part: int
    answered_age: float | None
    observations: tuple[tuple[int, int, float, int, int], ...]


class RequestHolds:
    """The records of one daemon and the parts that it holds back.

    Args:
        name: name of this daemon.
        read_clock: returns seconds of the clock that the records use.
        on_change: called with the parts that became held or were released.
    """

    def __init__(
        self,
        *,
        name: str,
        read_clock: Callable[[], float],
        on_change: Callable[[frozenset[int]], None],
    ) -> None:
        self.records: OrderedDict[int, PartRecord] = OrderedDict()
        self.holds: dict[int, Hold] = {}
        self._reporter = hash_text(name)
        self._read_clock = read_clock
        self._on_change = on_change
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._trials: dict[int, float] = {}

    def list_held(self, suspects: Suspects) -> list[int]:
        """Lists what of a request is held."""
        if not self.holds:
            return []
        return [key for key in suspects.list_keys() if key in self.holds]

    def find_wait(self, held: Iterable[int]) -> float:
        """Returns the seconds until held parts may be tried; 0 if one may now."""
        now = self._read_clock()
        return max(
            max(self.holds[key].until, self._trials.get(key, NEVER) + TRIAL_S) - now
            for key in held
        )

    def begin_trial(self, held: Iterable[int]) -> None:
        """Notes that one request tries held parts."""
        now = self._read_clock()
        for key in held:
            self._trials[key] = now
            log_event(LOGGER, "part_tried", part=f"{key:016x}")

    def cancel_trial(self, suspects: Suspects) -> None:
        """Notes that a request which was to try what is held was never sent."""
        for key in suspects.list_keys():
            self._trials.pop(key, None)

    def note_answered(self, suspects: Suspects) -> None:
        """Records that a request was answered completely."""
        now = self._read_clock()
        is_suspect = False
        for key in suspects.list_keys():
            self._answered.pop(key, None)
            self._answered[key] = now
            record = self.records.get(key)
            if record is not None:
                record.answered_at = now
                is_suspect = True
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if is_suspect:
            self.decide("answered")

    def record_crash(
        self, server: int, requests: Iterable[Suspects], at: float
    ) -> list[int]:
        """Records the requests that were on a server when it ended.

        Args:
            server: hash that identifies the incarnation of the server.
            requests: what of each request may have crashed it.
            at: time of the crash.

        Returns:
            The parts and whole requests recorded.
        """
        keys = set()
        for request in requests:
            for key, depth in request.list_depths():
                record = self._find_record(key)
                own = record.observations.get((server, self._reporter))
                n_requests = 1 + (own.n_requests if own is not None else 0)
                observation = Observation(at, n_requests, depth)
                record.observations[server, self._reporter] = observation
                keys.add(key)
        self.decide("crash")
        return [key for key in keys if key in self.records]

    def decide(self, cause: str) -> None:
        """Updates what is held, for example because time has passed."""
        if not self.records:
            return
        now = self._read_clock()
        holds = find_holds(self.records, now=now)
        changed = frozenset(holds.keys() ^ self.holds.keys())
        for key in sorted(changed):
            self._log_change(key, holds.get(key), cause, now)
        self.holds = holds
        self._trials = {key: at for key, at in self._trials.items() if key in holds}
        for key, record in list(self.records.items()):
            over = len(self.records) > MAX_RECORDS and key not in holds
            if over or is_outdated(record, holds.get(key), now=now):
                del self.records[key]
        if changed:
            self._on_change(changed)

    def merge(self, records: Iterable[WireRecord]) -> list[int]:
        """Adds another daemon's records.

        Returns:
            The parts that were answered here later than the other daemon knew.
        """
        now = self._read_clock()
        disproved = []
        is_new = False
        for wire in records:
            record = self._find_record(wire.part)
            answered_at = record.answered_at
            other = _decode_record(wire, now)
            is_new |= merge_record(record, other)
            if is_later(answered_at, other.answered_at):
                disproved.append(wire.part)
        if is_new:
            self.decide("report")
        return disproved

    def merge_ages(self, records: Mapping[int, PartRecord]) -> None:
        """Adds records with ages in place of times."""
        now = self._read_clock()
        for key, record in records.items():
            merge_record(self._find_record(key), _swap_times(record, now))
        self.decide("store")

    def list_ages(self, keys: Iterable[int]) -> dict[int, PartRecord]:
        """Returns records with ages in place of times."""
        now = self._read_clock()
        return {key: _swap_times(self.records[key], now) for key in keys}

    def export(self, keys: Iterable[int]) -> list[tuple[WireRecord, ...]]:
        """Returns records for other daemons, in as few messages as fit."""
        now = self._read_clock()
        batches: list[list[WireRecord]] = []
        n_observations = MAX_OBSERVATIONS_TOLD
        for key in keys:
            record = self.records.get(key)
            if record is None:
                continue
            size = 1 + len(record.observations)
            if n_observations + size > MAX_OBSERVATIONS_TOLD:
                batches.append([])
                n_observations = 0
            n_observations += size
            batches[-1].append(_encode_record(key, record, now))
        return [tuple(batch) for batch in batches]

    def _find_record(self, key: int) -> PartRecord:
        record = self.records.get(key)
        if record is None:
            answered_at = self._answered.get(key, NEVER)
            record = self.records[key] = PartRecord(answered_at=answered_at)
        self.records.move_to_end(key)
        return record

    def _log_change(self, key: int, hold: Hold | None, cause: str, now: float) -> None:
        record = self.records.get(key)
        log_event(
            LOGGER,
            "part_released" if hold is None else "part_held",
            part=f"{key:016x}",
            kind="request" if record and record.is_request else "part",
            cause=cause,
            n_observations=len(record.observations) if record else 0,
            hold_s=hold.until - now if hold is not None else 0.0,
            answered_s=now - record.answered_at if record else float("inf"),
        )


def _swap_times(record: PartRecord, now: float) -> PartRecord:
    """Makes a record with ages of one with times, or the other way."""
    return PartRecord(
        observations={
            key: seen._replace(at=now - seen.at)
            for key, seen in record.observations.items()
        }
    )


def _encode_record(key: int, record: PartRecord, now: float) -> WireRecord:
    age_s = None if record.answered_at == NEVER else now - record.answered_at
    return WireRecord(
        key,
        age_s,
        tuple(
            (server, reporter, now - seen.at, seen.n_requests, seen.depth)
            for (server, reporter), seen in record.observations.items()
        ),
    )


def _decode_record(wire: WireRecord, now: float) -> PartRecord:
    age_s = wire.answered_age
    return PartRecord(
        observations={
            (server, reporter): Observation(now - max(0.0, age), n_requests, depth)
            for server, reporter, age, n_requests, depth in wire.observations
        },
        answered_at=NEVER if age_s is None else now - max(0.0, age_s),
    )
