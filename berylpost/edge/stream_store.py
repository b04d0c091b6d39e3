"""Keeps in the store which versions began the live streams, for a start of all daemons.

One object names the software versions that each service has, or had until lately. It
changes with a release. While a service has several versions, each daemon also keeps a
table of the streams that it began, as hashes of their attempt ids, and rewrites it at a
bounded rate, never for a request. Daemons read all of it at their start, and
again for a stream that no daemon knows. A stream begun since the last write is unknown
if all daemons that had its record are lost.

A daemon without a table has begun no stream at a version that came beside another one,
since it writes its table first.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Mapping
from typing import Any, Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, StoredObject, reduce_spec
from ..policy.stream_version import merge_versions
from .members import Members
from .model import Endpoint
from .store_era import StoreEra
from .stream_tables import Hashes, Origin, find_origin, pack, unpack

LOGGER: Final = logging.getLogger(__name__)

VERSIONS_NAME: Final = "versions"
TABLE_PREFIX: Final = "daemon."
# Daemons that write the versions; the second one writes if the first one could not.
N_VERSION_WRITERS: Final = 2
# Tables of all daemons together, a tenth of what the platform lets them write.
TABLE_WRITES_PER_S: Final = 40.0
MIN_TABLE_INTERVAL_S: Final = 1.0
# In fleets of at most this size each unknown stream may cause a reading.
MAX_REREAD_MEMBERS: Final = 25
REREAD_INTERVAL_S: Final = 0.1
IDLE_INTERVAL_S: Final = 5.0  # between two checks that nothing is left to write
RETRY_DELAY_RANGE_S: Final = (0.3, 0.8)
CONFLICT_DELAY_RANGE_S: Final = (0.02, 0.1)
# Error of a table's time of day; a clock that jumps is off by seconds.
CLOCK_ERROR_S: Final = 60.0


Versions = Mapping[str, Mapping[str, float]]


class _StoredVersions(msgspec.Struct, frozen=True):
    """The versions of each service.

    Attributes:
        era: era of the store.
        services: 0 for a version that serves, or the Unix time since when it does not.
        complete: whether all versions that served lately are named.
    """

    era: int
    services: dict[str, dict[str, float]]
    complete: bool = True


class _StoredTable(msgspec.Struct, frozen=True):
    """Streams of one daemon.

    Attributes:
        at: when the table was written, Unix seconds.
        streams: hashes by service and version, see `stream_tables`.
    """

    at: float
    streams: dict[str, dict[str, str]]


class StreamStore:
    """The versions and the tables of live streams in the store.

    Args:
        name: name of this daemon.
        address: address of the store.
        era: era of the store.
        members: the other daemons, and the time of day that they agree on.
        list_versions: returns the versions that each service has now; None while they
            are not known.
        list_streams: returns this daemon's live streams of services with several
            versions; None if there are no such services.
        read_memory: returns for how long a stream can be taken up, seconds.
        is_complete: tells whether this daemon knows all versions that served lately.
        merge: receives what is stored: versions with the age at which they lost their
            last server, and the streams of this daemon's own table by hash.

    Attributes:
        was_complete: whether the stored versions, when they were first read, included
            all that had served lately.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Endpoint,
        era: StoreEra,
        members: Members,
        list_versions: Callable[[], Mapping[str, Collection[str]] | None],
        list_streams: Callable[[], Mapping[int, Origin] | None],
        read_memory: Callable[[], float],
        is_complete: Callable[[], bool],
        merge: Callable[[Versions, Mapping[int, Origin]], None],
    ) -> None:
        self.was_complete = False
        self.tabled: frozenset[str] = frozenset()
        self._tables: list[tuple[Origin, Hashes]] = []
        self._table_name = TABLE_PREFIX + name
        self._name = name
        self._era = era
        self._members = members
        self._list_versions = list_versions
        self._list_streams = list_streams
        self._read_memory = read_memory
        self._is_complete = is_complete
        self._merge = merge
        self._store = ObjectStore(address=address, note_era=era.note_answer)
        self._was_read = asyncio.Event()
        self._changed = asyncio.Event()
        self._lock = asyncio.Lock()
        self._read_at = float("-inf")
        self._versions: StoredObject | None = None
        self._table: StoredObject | None = None
        # What the objects hold as far as this daemon knows.
        self._written_versions: tuple[Mapping[str, Collection[str]], bool] | None = None
        self._written_hashes: Collection[int] | None = frozenset()
        self._written_at = float("-inf")
        era.add_listener(self._begin_era)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to read and to write; called from the event loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stops; what is stored stays."""
        if self._task is not None:
            self._task.cancel()
        self._store.close()

    def notify(self) -> None:
        """Writes soon, since the versions of a service have changed."""
        self._changed.set()

    def find(self, digest: int) -> Origin | None:
        """Returns the origin of a stream as of the last reading; None if unknown."""
        return find_origin(self._tables, digest)

    @property
    def has_table(self) -> bool:
        """Whether the store holds a table of this daemon."""
        return self._table is not None and self._written_hashes is not None

    async def refresh(self, timeout_s: float) -> bool:
        """Reads what is stored, unless that was done just before.

        Args:
            timeout_s: how long to wait at most.

        Returns:
            Whether all is known that was stored before the call. In large fleets an
            older reading has to do.
        """
        asked_at = self._now()
        is_small = self._members.count_members() <= MAX_REREAD_MEMBERS
        spacing_s = REREAD_INTERVAL_S if is_small else self._find_interval()
        oldest = asked_at if is_small else asked_at - spacing_s
        try:
            async with asyncio.timeout(timeout_s):
                if not self._was_read.is_set():
                    await self._was_read.wait()
                    return False
                async with self._lock:
                    if self._read_at < oldest:
                        await asyncio.sleep(self._read_at + spacing_s - self._now())
                        await self._read()
        except TimeoutError:
            log_event(LOGGER, "stream_store_slow", timeout_s=timeout_s)
        except PlatformError as error:
            log_event(LOGGER, "stream_store_failed", logging.WARNING, error=error)
        return self._read_at >= asked_at

    def _begin_era(self, era: int) -> None:
        """Writes everything again, since the store came back from an older copy."""
        self._written_versions = self._written_hashes = None
        self._changed.set()

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            has_table = False
            try:
                async with self._lock:
                    if not self._was_read.is_set():
                        await self._read()
                        self._was_read.set()
                    await self._write_versions()
                    has_table = await self._write_table()
            except ConflictError:
                # The other writer was first; what it wrote is known now.
                await asyncio.sleep(random.uniform(*CONFLICT_DELAY_RANGE_S))
                continue
            except PlatformError as error:
                log_event(LOGGER, "stream_store_failed", logging.WARNING, error=error)
                await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_S))
                continue
            except Exception:
                LOGGER.exception("event=stream_store_error")
                await asyncio.sleep(IDLE_INTERVAL_S)
            try:
                async with asyncio.timeout(
                    self._find_interval() if has_table else IDLE_INTERVAL_S
                ):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _find_interval(self) -> float:
        """Returns the time between two writes, or two reads, of one daemon."""
        n_members = self._members.count_members()
        return max(MIN_TABLE_INTERVAL_S, n_members / TABLE_WRITES_PER_S)

    async def _read(self) -> None:
        """Reads all objects and removes tables of daemons that are long gone.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        began_at = self._now()
        listing = await self._store.list_objects(
            names.KIND_STREAMS, reduce_spec(_StoredVersions, _StoredTable)
        )
        wall = self._members.estimate_wall_clock()
        versions: dict[str, dict[str, float]] = {}
        tables: list[tuple[Origin, Hashes]] = []
        own: dict[int, Origin] = {}
        tabled: set[str] = set()
        is_complete = True
        for item in listing.items:
            try:
                if item.name == VERSIONS_NAME:
                    self._versions = item
                    stored = msgspec.convert(item.spec, _StoredVersions)
                    versions = _find_ages(stored.services, wall)
                    # A copy from before a restore may lack the newest versions.
                    is_complete = stored.complete and stored.era == self._era.number
                    continue
                table = msgspec.convert(item.spec, _StoredTable)
                found = list(unpack(table.streams))
            except (ValueError, msgspec.ValidationError) as error:
                log_event(
                    LOGGER,
                    "bad_stream_table",
                    logging.WARNING,
                    object=item.name,
                    error=error,
                )
                is_complete = is_complete and item.name != VERSIONS_NAME
                tabled.add(item.name.removeprefix(TABLE_PREFIX))
                continue
            if item.name == self._table_name:
                self._table = item
                own = {digest: o for o, hashes in found for digest in hashes}
            elif self._is_outdated(wall - table.at):
                await self._store.delete(names.KIND_STREAMS, item.name)
                continue
            tables += found
            tabled.add(item.name.removeprefix(TABLE_PREFIX))
        for service, version in (origin for origin, _ in tables):
            versions.setdefault(service, {}).setdefault(version, 0.0)
        self._read_at = began_at
        if not self._was_read.is_set():
            self.was_complete = is_complete
            log_event(
                LOGGER,
                "streams_read",
                n_streams=sum(len(hashes) for _, hashes in tables),
                versions=sum(map(len, versions.values())),
                complete=is_complete,
            )
        self._tables = tables
        self.tabled = frozenset(tabled)
        self._merge(versions, own)

    def _is_outdated(self, age_s: float) -> bool:
        """Tells whether no stream of a table can be taken up any more."""
        memory_s = self._read_memory()
        return memory_s > 0 and abs(age_s) > 2 * memory_s + CLOCK_ERROR_S

    async def _write_versions(self) -> None:
        """Writes the versions if they have changed and this daemon is to write them."""
        listed = self._list_versions()
        rank = sum(m.name < self._name for m in self._members.list_alive())
        is_writer = rank < N_VERSION_WRITERS and self._members.active
        is_complete = self._is_complete()
        written = self._written_versions
        if not is_writer or listed is None or (listed, is_complete) == written:
            return
        spec = self._versions.spec if self._versions is not None else None
        before = _decode_versions(spec)
        # Another daemon, which knows them all, may have written them in this era.
        was_complete = (
            before is not None and before.complete and before.era == self._era.number
        )
        services = merge_versions(
            before.services if before is not None else {},
            listed,
            now=self._members.estimate_wall_clock(),
            keep_s=2 * self._read_memory() + CLOCK_ERROR_S,
        )
        after = _StoredVersions(
            era=self._era.number,
            services=services,
            complete=is_complete or was_complete,
        )
        if after != before:
            self._versions = await self._write(VERSIONS_NAME, after, self._versions)
            log_event(
                LOGGER, "versions_stored", n_services=len(services), era=after.era
            )
        self._written_versions = (listed, is_complete)

    async def _write_table(self) -> bool:
        """Writes this daemon's streams, or removes its table.

        Returns:
            Whether this daemon has a table to write from now on.
        """
        streams = self._list_streams()
        if streams is None:
            if self._table is not None:
                await self._store.delete(names.KIND_STREAMS, self._table_name)
            self._table = None
            self._written_hashes = frozenset()
            return False
        now = self._now()
        age_s = now - self._written_at
        # Other daemons remove a table that has not been written for longer.
        is_old = self._table is None or age_s > max(
            MIN_TABLE_INTERVAL_S, self._read_memory()
        )
        is_due = self._table is None or age_s >= self._find_interval()
        if is_due and (is_old or streams.keys() != self._written_hashes):
            table = _StoredTable(
                at=self._members.estimate_wall_clock(), streams=pack(streams)
            )
            self._table = await self._write(self._table_name, table, self._table)
            self._written_hashes = set(streams)
            self._written_at = now
        return True

    async def _write(
        self, name: str, spec: msgspec.Struct, known: StoredObject | None
    ) -> StoredObject | None:
        """Creates or replaces an object.

        Raises:
            ConflictError: another writer has changed it; the change is known now.
            PlatformError: the store did not answer or refused.
        """
        document: Any = msgspec.to_builtins(spec)
        kind = names.KIND_STREAMS
        try:
            if known is None:
                return await self._store.create(kind, name, document)
            return await self._store.replace(
                kind, name, document, revision=known.revision
            )
        except ConflictError as conflict:
            if name == VERSIONS_NAME:
                self._versions = conflict.current
            else:
                self._table = conflict.current
            raise


def _find_ages(
    services: Mapping[str, Mapping[str, float]], wall: float
) -> dict[str, dict[str, float]]:
    """Turns the times at which versions lost their last server into ages, seconds."""
    return {
        service: {
            version: max(0.0, wall - ended_at) if ended_at else 0.0
            for version, ended_at in versions.items()
        }
        for service, versions in services.items()
    }


def _decode_versions(spec: Any) -> _StoredVersions | None:
    try:
        return msgspec.convert(spec, _StoredVersions)
    except msgspec.ValidationError:
        return None  # it is overwritten
