"""Keeps held prompt parts in the store, for daemons that no other daemon can tell.

One daemon writes each held part, so that a part stays held after all daemons were lost
at once. Every daemon reads the list at its start, and again while it hears from no
other daemon.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, reduce_spec
from ..policy.quarantine import MAX_HOLD_S, Observation, PartRecord
from .members import Members
from .model import Endpoint
from .store_era import StoreEra

LOGGER: Final = logging.getLogger(__name__)

INTERVAL_S: Final = 1.0
RELIST_INTERVAL_S: Final = 5.0  # while this daemon hears from no other
OUTDATED_S: Final = 2 * MAX_HOLD_S  # no hold lasts as long after its last crash
RETRY_DELAY_RANGE_S: Final = (0.3, 0.8)


class _StoredCrash(msgspec.Struct, frozen=True):
    """What one daemon saw of one crash; hashes as hexadecimal text.

    Attributes:
        at: time of the crash, Unix seconds.
    """

    server: str
    reporter: str
    at: float
    requests: int
    depth: int


class _StoredHold(msgspec.Struct, frozen=True):
    crashes: tuple[_StoredCrash, ...]


class HoldStore:
    """The held parts in the store.

    Args:
        address: address of the store.
        era: era of the store.
        members: the other daemons, and the time of day that they agree on.
        list_owned: returns the records of the held parts that this daemon is to write.
        is_held: tells whether a part is held.
        merge: adds the records that the store has, with ages in place of times.

    Attributes:
        was_read: set once the store has been read.
    """

    def __init__(
        self,
        *,
        address: Endpoint,
        era: StoreEra,
        members: Members,
        list_owned: Callable[[], Mapping[int, PartRecord]],
        is_held: Callable[[int], bool],
        merge: Callable[[Mapping[int, PartRecord]], None],
    ) -> None:
        self._address = address
        self._era = era
        self._members = members
        self.was_read = asyncio.Event()
        self._list_owned = list_owned
        self._is_held = is_held
        self._merge = merge
        self._written: dict[int, int] = {}  # number of observations written, by part
        # What was written may be lost when the store comes back from an older copy.
        era.add_listener(lambda _era: self._written.clear())

    async def run(self) -> None:
        """Reads the list, then writes what changes, until it is cancelled."""
        store = ObjectStore(address=self._address, note_era=self._era.note_answer)
        alone_s = float("inf")  # time without other daemons since the last reading
        while True:
            try:
                if alone_s >= RELIST_INTERVAL_S:
                    await self._read(store)
                    self.was_read.set()
                    alone_s = 0.0
                await self._write(store)
            except PlatformError as error:
                log_event(LOGGER, "hold_store_failed", logging.WARNING, error=error)
                await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_S))
                continue
            await asyncio.sleep(INTERVAL_S)
            alone_s += 0.0 if self._members.list_alive() else INTERVAL_S

    async def _read(self, store: ObjectStore) -> None:
        listing = await store.list_objects(names.KIND_HOLDS, reduce_spec(_StoredHold))
        records = {}
        now = self._members.estimate_wall_clock()
        for item in listing.items:
            try:
                part, record = int(item.name, 16), _decode(item.spec, now)
            except (ValueError, msgspec.ValidationError) as error:
                log_event(LOGGER, "bad_hold", logging.WARNING, error=error)
                continue
            youngest_s = min((o.at for o in record.observations.values()), default=0.0)
            if youngest_s > OUTDATED_S:
                # Its writer was lost before it could remove it.
                await store.delete(names.KIND_HOLDS, item.name)
            else:
                records[part] = record
        if records:
            log_event(LOGGER, "holds_read", n_parts=len(records))
            self._merge(records)

    async def _write(self, store: ObjectStore) -> None:
        owned = self._list_owned()
        for part in self._written.keys() - owned.keys():
            # A part that is still held has another writer now.
            if not self._is_held(part):
                await store.delete(names.KIND_HOLDS, f"{part:016x}")
            self._written.pop(part, None)
        for part, record in owned.items():
            n_observations = len(record.observations)
            if self._written.get(part) != n_observations:
                await self._write_hold(store, part, record)
                self._written[part] = n_observations

    async def _write_hold(
        self, store: ObjectStore, part: int, record: PartRecord
    ) -> None:
        name = f"{part:016x}"
        spec = _encode(record, self._members.estimate_wall_clock())
        try:
            await store.create(names.KIND_HOLDS, name, spec)
        except ConflictError as conflict:
            if conflict.current is not None:
                revision = conflict.current.revision
                await store.replace(names.KIND_HOLDS, name, spec, revision=revision)


def _encode(record: PartRecord, wall: float) -> Any:
    """Encodes a record with ages as an object's spec with Unix times."""
    return msgspec.to_builtins(
        _StoredHold(
            tuple(
                _StoredCrash(
                    f"{server:x}", f"{reporter:x}", wall - o.at, o.n_requests, o.depth
                )
                for (server, reporter), o in record.observations.items()
            )
        )
    )


def _decode(spec: Any, wall: float) -> PartRecord:
    """Decodes an object's spec into a record with ages in place of times.

    Raises:
        ValueError: a hash is not hexadecimal.
        msgspec.ValidationError: a field is missing or wrong.
    """
    stored = msgspec.convert(spec, _StoredHold)
    return PartRecord(
        observations={
            (int(crash.server, 16), int(crash.reporter, 16)): Observation(
                max(0.0, wall - crash.at), crash.requests, crash.depth
            )
            for crash in stored.crashes
        }
    )
