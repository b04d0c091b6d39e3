"""Moves services to new versions of their servers by order, with the other daemons.

The daemons that watch the store watch the orders too. What is new of an order or from
the holder of the duty lease spreads by datagrams; counts of answers go to the holder.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import HistoryGoneError, StoredObject, reduce_spec
from ..platform.rollouts import decode_order, reduce_order
from ..policy.rollout import Phase
from ..policy.rollout_share import ShareCounter, choose_canaries
from .backend_table import BackendRecord
from .catalogue import RETURN_GRACE_S, Catalogue
from .clock import read_boottime
from .datagrams import DatagramChannel
from .duty_lease import DutyLease
from .members import Members
from .model import EdgeSettings, Endpoint
from .rollout_counts import OrderCounts, RolloutCounts, RolloutReport
from .rollout_holder import RolloutHolder
from .rollout_records import (
    KnownRollout,
    RolloutRecord,
    RolloutTable,
    decode_records,
)
from .store_era import UNKNOWN_ERA, StoreEra
from .store_watch import StoreWatch
from .work import RequestContext

LOGGER: Final = logging.getLogger(__name__)

DATAGRAM_MARK: Final = b"\xc1\xc5"
# Three daemons wait for changes; longer waits save few calls, and a connection that was
# cut silently is noticed at the end of one.
WATCH_WAIT_S: Final = 5.0
TICK_S: Final = 0.1  # between two checks whether to watch or to report
RETRY_RANGE_S: Final = (0.3, 0.8)
# Counts are reported this often, and more seldom by more than 17 daemons, so that the
# holder receives 35 reports of 150 bytes a second.
REPORT_INTERVAL_S: Final = 0.5
MAX_REPORT_RATE: Final = 35.0
# Answers of the new version are reported sooner, and the end of running requests.
QUICK_REPORT_S: Final = 0.25
MOVING_REPORT_S: Final = 0.7


class _Question(msgspec.Struct, frozen=True, array_like=True, tag="question"):
    """Asks for orders; `digest` is equal for daemons that know the same decisions."""

    digest: int


_Message = RolloutRecord | RolloutReport | _Question


class Rollouts:
    """The orders that this daemon knows, carries out and may decide.

    Args:
        settings: settings of this daemon.
        incarnation: incarnation of this daemon.
        members: the other daemons.
        catalogue: backend servers.
        era: era of the store.
        watch: tells whether this daemon watches the store.
        find_lease: returns the duty lease; None if this daemon never holds it.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        incarnation: int,
        members: Members,
        catalogue: Catalogue,
        era: StoreEra,
        watch: StoreWatch,
        find_lease: Callable[[], DutyLease | None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._members = members
        self._catalogue = catalogue
        self._era = era
        self._watch = watch
        self._find_lease = find_lease
        self.table = RolloutTable(
            list_versions=self._list_versions, on_change=self._handle_change
        )
        self.counts = RolloutCounts()
        self._gates: dict[str, ShareCounter] = {}
        self._stopped: set[tuple[str, tuple[int, int]]] = set()
        self._reported: dict[str, tuple[float, int, int]] = {}
        self._watch_after = 0.0
        # Whether this daemon has learnt what orders there are.
        self._was_told = not settings.has_rollouts
        self._tasks: list[asyncio.Task[None]] = []
        self.holder: RolloutHolder | None = None
        if not settings.has_rollouts:
            return
        self._channel: DatagramChannel[_Message] = DatagramChannel(
            members=members,
            mark=DATAGRAM_MARK,
            message_type=_Message,
            handle=self._handle_message,
        )
        era.add_listener(self._begin_era)

    def start(self) -> None:
        """Starts watching, reporting and deciding if rollouts are ordered here."""
        if not self._settings.has_rollouts:
            return
        lease = self._find_lease()
        if lease is not None:
            self.holder = RolloutHolder(
                name=self._settings.name,
                store=self._open_store(),
                lease=lease,
                bounds=self._settings.bounds,
                table=self.table,
                catalogue=self._catalogue,
                report_own=self._make_report,
                read_wall_clock=self._members.estimate_wall_clock,
            )
        runs = [self._read_records(), self._run_watch(), self._run_reports()]
        if self.holder is not None:
            runs += [self.holder.run(), self.holder.run_writes()]
        self._tasks = [asyncio.create_task(run) for run in runs]
        self._channel.start_asking(lambda: _Question(self.table.digest()), lambda: None)

    def stop(self) -> None:
        """Stops; the holder's records stay in the store."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            self._channel.stop_asking()

    def export_metrics(self) -> tuple[dict[str, float], dict[str, float]]:
        """Returns gauges and counters by name; none without rollouts."""
        if not self._settings.has_rollouts:
            return {}, {}
        rollouts = self.table.rollouts.values()
        undecided = [r for r in rollouts if not r.record.is_final]
        gauges = {
            "rollouts_undecided": float(len(undecided)),
            "rollout_share": max((r.share for r in undecided), default=0.0),
        }
        orders = self.counts.orders.values()
        counters = {
            "rollout_requests": float(sum(order.n_sent for order in orders)),
            "rollout_bad_answers": float(sum(order.count_bad() for order in orders)),
            "rollout_statuses": float(self.holder.n_written if self.holder else 0),
        }
        return gauges, counters

    # Requests.

    def select(
        self, context: RequestContext, records: list[BackendRecord]
    ) -> list[BackendRecord]:
        """Returns the servers that an order permits for the next attempt.

        Args:
            context: the request.
            records: servers that accept it otherwise.
        """
        rollout = self.table.rollouts.get(context.service)
        if rollout is None:
            return records if self._was_told else _keep_oldest(records)
        record = rollout.record
        new = [r for r in records if r.backend.software_version == record.to]
        if record.phase is Phase.COMPLETE:
            return new or records
        others = [r for r in records if r.backend.software_version != record.to]
        if record.is_stable:
            return new or others
        self._count_reached(context)
        if record.phase is Phase.REVERTED or self._is_stopped(record):
            return others
        if context.stream_version is not None:
            # A stream that began at the new version may go on there.
            return records if not new or rollout.is_current else others
        if not new and record.phase is Phase.WAITING:
            return others
        old = [
            r
            for r in others
            if not record.baseline or r.backend.software_version in record.baseline
        ]
        share = rollout.share if new else 0.0
        if context.takes_new is None:
            context.takes_new = self._gates[record.service].take(share)
        if share >= 1:
            return new
        if not context.takes_new or not share or context.n_sent:
            return old or others
        names_of_new = [r.backend.id for r in new]
        salt = f"{record.service}/{record.revision}"
        canaries = set(choose_canaries(names_of_new, share, salt))
        return [r for r in new if r.backend.id in canaries]

    def measure(
        self, context: RequestContext, record: BackendRecord
    ) -> AbstractContextManager[None]:
        """Measures one attempt, from its sending to its end."""
        if not self._settings.has_rollouts:
            return contextlib.nullcontext()
        return self.counts.measure(context, record)

    def _count_reached(self, context: RequestContext) -> None:
        counts = self.counts.orders.get(context.service)
        if counts is not None and context.takes_new is None and not context.n_sent:
            counts.n_reached += 1

    def _is_stopped(self, record: RolloutRecord) -> bool:
        """Tells whether this daemon alone has seen too many bad answers."""
        key = (record.service, record.order)
        if key in self._stopped:
            return True
        counts = self.counts.orders.get(record.service)
        if counts is None or not counts.is_over():
            return False
        self._stopped.add(key)
        log_event(LOGGER, "rollout_stopped", logging.WARNING, service=record.service)
        return True

    # What other daemons and the store say.

    def _list_versions(self, service: str) -> list[str]:
        backends = self._catalogue.backends.values()
        return [b.software_version for b in backends if b.service == service]

    def _handle_change(self, rollout: KnownRollout) -> None:
        """Begins to count for a new order, and passes on what is new."""
        record = rollout.record
        counts = self.counts.orders.get(record.service)
        if counts is None or counts.order != record.order:
            counts = OrderCounts(to=record.to, order=record.order)
            self.counts.begin_order(record.service, counts)
            self._gates[record.service] = ShareCounter(credit=random.random())
            self._reported.pop(record.service, None)
        counts.typical = record.typical
        reported = self._reported.get(record.service)
        if reported is not None and reported[2] != record.fence:
            del self._reported[record.service]  # the new holder knows no counts
        self._channel.spread(rollout.export())

    def _handle_message(self, message: _Message, address: Endpoint) -> None:
        match message:
            case RolloutRecord():
                self.table.adopt(message)
            case RolloutReport():
                if self.holder is not None:
                    self.holder.note_report(message)
            case _Question(digest):
                if digest != self.table.digest():
                    for rollout in self.table.rollouts.values():
                        self._channel.send(address, rollout.export())

    def _begin_era(self, _era: int) -> None:
        # The operator may not yet have written again what the store's copy lacks.
        self._watch_after = read_boottime() + RETURN_GRACE_S
        if self.holder is not None:
            self.holder.begin_era()

    # Reports to the holder.

    async def _run_reports(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            for service, rollout in list(self.table.rollouts.items()):
                if not rollout.record.is_final and rollout.record.fence:
                    self._report(service, rollout)

    def _report(self, service: str, rollout: KnownRollout) -> None:
        """Sends the counts of an order to its holder if that is due."""
        now = read_boottime()
        record = rollout.record
        holder = self._members.members.get(record.holder)
        if holder is None:
            return
        counts = self.counts.orders[service]
        at, n_changes, _ = self._reported.get(service, (float("-inf"), -1, 0))
        interval_s = max(
            REPORT_INTERVAL_S, self._members.count_members() / MAX_REPORT_RATE
        )
        if record.phase is Phase.MOVING:
            interval_s = min(interval_s, MOVING_REPORT_S)
        elif counts.n_changes != n_changes:
            interval_s = QUICK_REPORT_S
        if now - at < interval_s:
            return
        report = self._make_report(service)
        if report is not None:
            self._reported[service] = (now, counts.n_changes, record.fence)
            self._channel.send(holder.address, report)

    def _make_report(self, service: str) -> RolloutReport | None:
        if service not in self.counts.orders:
            return None
        return self.counts.export(service, self._settings.name, self._incarnation)

    # The store.

    def _open_store(self) -> ObjectStore:
        return ObjectStore(address=self._settings.store, note_era=self._era.note_answer)

    async def _read_records(self) -> None:
        """Reads the decisions once, for a daemon that no other one tells."""
        store = self._open_store()
        while True:
            try:
                listing = await store.list_objects(
                    names.KIND_ROLLOUT_RECORDS, reduce_spec(RolloutRecord)
                )
                break
            except PlatformError:
                await asyncio.sleep(random.uniform(*RETRY_RANGE_S))
        store.close()
        specs = [item.spec for item in listing.items]
        wall = self._members.estimate_wall_clock()
        for record in decode_records(specs, wall).values():
            self.table.adopt(record)
        self._was_told = True

    async def _run_watch(self) -> None:
        """Lists the orders, then watches them while this daemon watches the store."""
        store = self._open_store()
        revision: int | None = None
        era = self._era.number
        while True:
            # An order that has a record is not a new one.
            is_early = not self._was_told or read_boottime() < self._watch_after
            if not self._watch.is_watching or is_early:
                revision = None
                await asyncio.sleep(TICK_S)
                continue
            if era != self._era.number:
                revision = None if era != UNKNOWN_ERA else revision
                era = self._era.number
            try:
                revision = await self._list_or_watch(store, revision)
            except HistoryGoneError:
                revision = None
            except PlatformError as error:
                log_event(LOGGER, "rollouts_unread", logging.WARNING, error=error)
                revision = None
                await asyncio.sleep(random.uniform(*RETRY_RANGE_S))
            except Exception:
                LOGGER.exception("event=rollouts_error")
                revision = None
                await asyncio.sleep(max(RETRY_RANGE_S))

    async def _list_or_watch(self, store: ObjectStore, revision: int | None) -> int:
        """Lists or watches the orders; returns the revision to continue from.

        Raises:
            HistoryGoneError: the store no longer keeps the changes since the revision.
            PlatformError: the store did not answer or refused.
        """
        era = self._era.number
        items: list[StoredObject]
        if revision is None:
            listing = await store.list_objects(names.KIND_ROLLOUTS, reduce_order)
            items, revision = list(listing.items), listing.revision
        else:
            changes = await store.watch(
                names.KIND_ROLLOUTS, revision, WATCH_WAIT_S, reduce_order
            )
            items = [c.item for c in changes.changes if not c.removed]
            revision = changes.revision
        if era not in (self._era.number, UNKNOWN_ERA):
            return revision  # listed anew in the era that this call has begun
        for item in items:
            order = decode_order(item)
            if order is not None:
                self.table.note_order(order, self._era.number)
        return revision


def _keep_oldest(records: list[BackendRecord]) -> list[BackendRecord]:
    """Returns the servers of the version whose servers were started first.

    A daemon that has just started may not know of an order to another version yet.
    """
    if len({record.backend.software_version for record in records}) < 2:
        return records
    oldest = min(records, key=lambda record: record.backend.started_ms)
    version = oldest.backend.software_version
    return [r for r in records if r.backend.software_version == version]
