"""Holds back prompt parts that crash the servers which begin to answer them.

A daemon whose streams break on a server checks whether the server has ended, and then
reports the parts of these requests to a few other daemons. Each daemon decides from the
records that it has; `policy.quarantine` makes the decision. When a part becomes held
or is released, the record passes from daemon to daemon at once; every daemon also asks
a random other one for what it has missed.
"""

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Coroutine, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from ..hashing import hash_text
from ..logs import log_event
from ..policy.quarantine import (
    Hold,
    Observation,
    PartRecord,
    find_holds,
    is_later,
    is_outdated,
    merge_record,
)
from ..policy.stream_version import rank_keepers
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .hold_store import HoldStore
from .members import FAN_OUT, Members
from .model import Endpoint

LOGGER: Final = logging.getLogger(__name__)

# First bytes of this module's datagrams; no other message begins with them.
DATAGRAM_MARK: Final = b"\xc1\xc1"
N_KEEPERS: Final = 8  # daemons that each part's records are reported to
MAX_RECORDS: Final = 512
# Parts answered within the time that an answer counts as proof, at 50 a second.
MAX_ANSWERED: Final = 8_192
MAX_PARTS: Final = 64  # of one prompt that are recorded
MAX_HELD_TOLD: Final = 32  # held parts named in one datagram
MAX_OBSERVATIONS_TOLD: Final = 32  # in one datagram, 30 bytes each
PROBE_TIMEOUT_S: Final = 0.4
PROBE_PAUSE_S: Final = 0.5
# A repeat of a broken request waits this long to learn whether its server has ended.
CHECK_WAIT_S: Final = 0.1
N_PROBES: Final = 12  # entries of servers that ended silently are gone by then
PULL_INTERVAL_S: Final = 1.0
# A daemon that has just started asks more often.
STARTUP_PULL_S: Final = 0.25
STARTUP_S: Final = 3.0
TRIAL_S: Final = 10.0  # one request may try a held part in this time


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """A record on the wire, with ages in place of times.

    Attributes:
        part: hash of the part's id.
        answered_age: age of the latest complete answer, seconds; None for none.
        observations: server, reporter, age, requests and depth.
    """

    part: int
    answered_age: float | None
    observations: tuple[tuple[int, int, float, int, int], ...]


class _Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """Records of the sender."""

    records: tuple[_Record, ...]


class _Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for records; names the parts that the sender holds back."""

    held: tuple[int, ...]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Report | _Pull)


class _Probe(StrEnum):
    """Answer of a server's address to a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass(frozen=True, slots=True, kw_only=True)
class PartAdmission:
    """Whether a prompt may be sent to a server.

    Attributes:
        wait_s: seconds until a held part may be tried again; None to send it now.
        is_trial: whether the request tries a held part.
    """

    wait_s: float | None = None
    is_trial: bool = False


@dataclass(slots=True, kw_only=True)
class _BrokenServer:
    """Requests that broke on a server of which it is not yet known if it has ended."""

    record: BackendRecord
    broke_at: float
    prompts: list[tuple[str, ...]] = field(default_factory=list)
    checked: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class PartQuarantine:
    """The prompt parts that this daemon holds back.

    Args:
        name: name of this daemon.
        store: address of the store.
        members: the other daemons.
        table: state of the backend servers.
    """

    def __init__(
        self, *, name: str, store: Endpoint, members: Members, table: BackendTable
    ) -> None:
        self._name = name
        self._reporter = hash_text(name)
        self._members = members
        self._table = table
        self._records: OrderedDict[int, PartRecord] = OrderedDict()
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._holds: dict[int, Hold] = {}
        self._trials: dict[int, float] = {}
        self._broken: dict[str, _BrokenServer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._hold_store = HoldStore(
            address=store,
            members=members,
            list_owned=self._list_owned,
            merge=self._merge_ages,
        )
        members.bind_messages(self._receive, DATAGRAM_MARK)

    @property
    def n_held(self) -> int:
        """Number of parts held back."""
        return len(self._holds)

    def start(self) -> None:
        """Starts to ask the other daemons; called from the event loop."""
        self._spawn(self._pull())
        self._spawn(self._hold_store.run())

    def stop(self) -> None:
        """Stops all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def admit(self, parts: tuple[str, ...]) -> PartAdmission:
        """Decides whether a prompt with these shared parts may be sent to a server."""
        if not self._holds or not parts:
            return PartAdmission()
        now = read_boottime()
        held = [key for key in map(hash_text, parts) if key in self._holds]
        if not held:
            return PartAdmission()
        wait_s = max(self._holds[key].until for key in held) - now
        if wait_s <= 0 and all(self._may_try(key, now) for key in held):
            self._trials.update(dict.fromkeys(held, now))
            log_event(LOGGER, "part_tried", parts=_render_keys(held))
            return PartAdmission(is_trial=True)
        return PartAdmission(wait_s=max(wait_s, TRIAL_S))

    def is_held(self, parts: tuple[str, ...]) -> bool:
        """Tells whether any of these shared parts is held."""
        return bool(self._holds) and any(hash_text(p) in self._holds for p in parts)

    def _may_try(self, key: int, now: float) -> bool:
        """Tells whether this daemon is the one that tries a part, and may do so now."""
        if now - self._trials.get(key, float("-inf")) < TRIAL_S:
            return False
        return self._is_first_keeper(key)

    def _is_first_keeper(self, key: int) -> bool:
        names = [m.name for m in self._members.list_alive() if not m.leaving]
        return rank_keepers(str(key), [*names, self._name])[0] == self._name

    def _list_owned(self) -> dict[int, PartRecord]:
        """Lists the held parts that this daemon writes to the store, with ages."""
        now = read_boottime()
        return {
            key: _swap_times(self._records[key], now)
            for key in self._holds
            if self._is_first_keeper(key)
        }

    def _merge_ages(self, records: Mapping[int, PartRecord]) -> None:
        """Adds records with ages in place of times."""
        now = read_boottime()
        for key, record in records.items():
            merge_record(self._find_record(key), _swap_times(record, now))
        self._decide("store")

    def note_answered(self, parts: tuple[str, ...]) -> None:
        """Records that a prompt with these shared parts was answered completely."""
        now = read_boottime()
        released = []
        for key in map(hash_text, parts[:MAX_PARTS]):
            self._answered.pop(key, None)
            self._answered[key] = now
            record = self._records.get(key)
            if record is not None:
                record.answered_at = now
                released.append(key)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if released:
            self._decide("answered")

    def note_broken(self, record: BackendRecord, parts: tuple[str, ...]) -> None:
        """Records that an answer broke off; finds out whether its server has ended."""
        # A server that was to leave has not crashed.
        if not parts or record.shutdown_at is not None:
            return
        server = record.backend.id
        broken = self._broken.get(server)
        if broken is None:
            broken = _BrokenServer(record=record, broke_at=read_boottime())
            self._broken[server] = broken
            self._spawn(self._check_server(broken))
        broken.prompts.append(parts[:MAX_PARTS])

    async def await_check(self, record: BackendRecord) -> None:
        """Waits until it is known whether a server has ended, or for a short time."""
        broken = self._broken.get(record.backend.id)
        if broken is not None:
            await asyncio.wait((broken.checked,), timeout=CHECK_WAIT_S)

    async def _check_server(self, broken: _BrokenServer) -> None:
        has_ended = await self._has_ended(broken.record)
        backend = broken.record.backend
        del self._broken[backend.id]
        log_event(
            LOGGER,
            "backend_ended" if has_ended else "backend_still_up",
            backend=backend.id,
            version=backend.software_version,
            n_requests=len(broken.prompts),
            parts=",".join(sorted({part for p in broken.prompts for part in p})[:16]),
            after_s=read_boottime() - broken.broke_at,
        )
        if has_ended:
            self._record_crash(broken)
        broken.checked.set_result(None)

    async def _has_ended(self, record: BackendRecord) -> bool:
        """Tells whether a server whose answers broke off has ended.

        A link that was cut looks the same at first. A server refuses connections after
        its process has ended; the entry of one that is silent disappears.
        """
        for _ in range(N_PROBES):
            if self._table.records.get(record.backend.id) is not record:
                return record.shutdown_at is None
            outcome = await _probe(record.backend.address)
            if outcome is not _Probe.SILENT:
                return outcome is _Probe.REFUSED and record.shutdown_at is None
            await asyncio.sleep(PROBE_PAUSE_S)
        return False

    def _record_crash(self, broken: _BrokenServer) -> None:
        backend = broken.record.backend
        server = hash_text(f"{backend.id}/{backend.started_ms}")
        keys = set()
        for prompt in broken.prompts:
            for depth, key in enumerate(map(hash_text, prompt)):
                record = self._find_record(key)
                own = record.observations.get((server, self._reporter))
                n_requests = 1 + (own.n_requests if own is not None else 0)
                record.observations[server, self._reporter] = Observation(
                    broken.broke_at, n_requests, depth
                )
                keys.add(key)
        self._decide("crash")
        # Parts that were on one server are reported together, so that each keeper can
        # tell the culprit from the others.
        alive = {m.name: m.address for m in self._members.list_alive()}
        keepers = {
            name
            for key in keys
            if key in self._records
            for name in rank_keepers(str(key), alive)[:N_KEEPERS]
        }
        self._send_records(keys, [alive[name] for name in keepers])

    def _find_record(self, key: int) -> PartRecord:
        record = self._records.get(key)
        if record is None:
            answered_at = self._answered.get(key, float("-inf"))
            record = self._records[key] = PartRecord(answered_at=answered_at)
        self._records.move_to_end(key)
        return record

    def _decide(self, cause: str) -> None:
        """Updates what is held; passes changes on to other daemons."""
        now = read_boottime()
        holds = find_holds(self._records, now=now)
        changed = holds.keys() ^ self._holds.keys()
        for key in sorted(changed):
            record = self._records.get(key)
            log_event(
                LOGGER,
                "part_held" if key in holds else "part_released",
                part=f"{key:016x}",
                cause=cause,
                n_observations=len(record.observations) if record else 0,
                hold_s=holds[key].until - now if key in holds else 0.0,
                answered_s=now - record.answered_at if record else float("inf"),
            )
        self._holds = holds
        self._trials = {k: at for k, at in self._trials.items() if k in holds}
        for key, record in list(self._records.items()):
            over = len(self._records) > MAX_RECORDS and key not in holds
            if over or is_outdated(record, holds.get(key), now=now):
                del self._records[key]
        if changed:
            alive = [member.address for member in self._members.list_alive()]
            random.shuffle(alive)
            self._send_records(changed | holds.keys(), alive[:FAN_OUT])

    async def _pull(self) -> None:
        """Asks a random daemon for what this one has missed, again and again."""
        began_at = read_boottime()
        while True:
            alive = self._members.list_alive()
            if alive:
                held = tuple(list(self._holds)[:MAX_HELD_TOLD])
                self._send(random.choice(alive).address, _Pull(held))
            if self._records:
                self._decide("time")
            is_new = read_boottime() - began_at < STARTUP_S
            pause_s = STARTUP_PULL_S if is_new else PULL_INTERVAL_S
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))

    def _receive(self, data: bytes, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        try:
            message = _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        match message:
            case _Report(records):
                self._merge(records, address)
            case _Pull(held):
                if set(held) != self._holds.keys():
                    known = {key for key in held if key in self._records}
                    self._send_records(known | self._holds.keys(), [address])

    def _merge(self, records: Iterable[_Record], address: Endpoint) -> None:
        now = read_boottime()
        disproved = []
        is_new = False
        for wire in records:
            record = self._find_record(wire.part)
            answered_at = record.answered_at
            is_new |= merge_record(record, _decode_record(wire, now))
            told_age = wire.answered_age
            told_at = now - told_age if told_age is not None else float("-inf")
            if is_later(answered_at, told_at):
                disproved.append(wire.part)
        if is_new:
            self._decide("report")
        # The sender did not know that the part was answered completely here.
        self._send_records(disproved, [address])

    def _send_records(self, keys: Iterable[int], addresses: list[Endpoint]) -> None:
        """Sends records in as few datagrams as fit."""
        now = read_boottime()
        batch: list[_Record] = []
        n_observations = 0
        batches = [batch]
        for key in keys:
            record = self._records.get(key)
            if record is None:
                continue
            wire = _encode_record(key, record, now)
            n_observations += 1 + len(wire.observations)
            if batch and n_observations > MAX_OBSERVATIONS_TOLD:
                batch = []
                batches.append(batch)
                n_observations = 1 + len(wire.observations)
            batch.append(wire)
        for part in filter(None, batches):
            for address in addresses:
                self._send(address, _Report(tuple(part)))

    def _send(self, address: Endpoint, message: _Report | _Pull) -> None:
        self._members.send_message(address, _ENCODER.encode(message), DATAGRAM_MARK)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _probe(address: Endpoint) -> _Probe:
    """Opens a connection and closes it at once."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    except ConnectionRefusedError:
        return _Probe.REFUSED
    except (OSError, TimeoutError):
        return _Probe.SILENT
    transport.abort()
    return _Probe.ACCEPTED


def _swap_times(record: PartRecord, now: float) -> PartRecord:
    """Makes a record with ages of one with times, or the other way."""
    return PartRecord(
        observations={
            key: seen._replace(at=now - seen.at)
            for key, seen in record.observations.items()
        }
    )


def _encode_record(key: int, record: PartRecord, now: float) -> _Record:
    has_answer = record.answered_at != float("-inf")
    return _Record(
        key,
        now - record.answered_at if has_answer else None,
        tuple(
            (server, reporter, now - o.at, o.n_requests, o.depth)
            for (server, reporter), o in record.observations.items()
        ),
    )


def _decode_record(wire: _Record, now: float) -> PartRecord:
    age_s = wire.answered_age
    return PartRecord(
        observations={
            (server, reporter): Observation(now - max(0.0, age), n_requests, depth)
            for server, reporter, age, n_requests, depth in wire.observations
        },
        answered_at=float("-inf") if age_s is None else now - max(0.0, age_s),
    )


def _render_keys(keys: Iterable[int]) -> str:
    return ",".join(f"{key:016x}" for key in keys)
