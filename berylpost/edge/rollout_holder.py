"""Decides orders while this daemon holds the duty lease, and writes their statuses.

The holder gathers the counts of all daemons, decides by `policy.rollout`, stores what
changes a phase before it acts on it, and tells all daemons. The next holder finds the
phase in the store or with the other daemons, and the counts in their next reports.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError, reduce_spec
from ..platform.rollouts import (
    ACTIVE,
    COMPLETE,
    REVERTED,
    decode_order,
    encode_state,
)
from ..policy.rollout import (
    Decision,
    ExposureLimits,
    Phase,
    Progress,
    plan_rollout,
    sum_counts,
)
from .catalogue import Catalogue
from .clock import read_boottime
from .duty_lease import DutyLease
from .model import Bounds
from .rollout_counts import RolloutReport
from .rollout_records import (
    KnownRollout,
    RolloutRecord,
    RolloutTable,
    decode_records,
    encode_record,
)
from .rollout_tally import RolloutTally

LOGGER: Final = logging.getLogger(__name__)

TICK_S: Final = 0.25
WORD_INTERVAL_S: Final = 0.6  # three words in the lifetime of one
# Time in which the reports of all daemons reach a new holder.
GATHER_S: Final = 1.0
RETRY_S: Final = 0.5  # after a failed write; doubles with each failure
MAX_RETRY_S: Final = 8.0
SETTLE_S: Final = 0.6  # until a decision has reached all daemons
FINAL_WORDS_S: Final = 6.0  # time for which a decision is repeated
CALL_MARGIN_S: Final = 0.3  # no call is started with less of the hold left

STATES: Final = {Phase.COMPLETE: COMPLETE, Phase.REVERTED: REVERTED}


class _Order:
    """What the holder keeps of one order."""

    def __init__(self, *, rollout: KnownRollout) -> None:
        record = rollout.record
        self.order = record.order
        self.progress = Progress(phase=record.phase, since_s=record.since_s)
        # Of what an earlier holder's share caused, little is known at first.
        self.is_inherited = record.phase is not Phase.WAITING
        self.taken_at = read_boottime()
        self.tally = RolloutTally()
        self.stored: tuple[Phase, str] | None = None
        self.told_at = float("-inf")
        self.decided_at = read_boottime()
        self.retry_at = 0.0
        self.retry_s = RETRY_S


class RolloutHolder:
    """Decides the known orders while this daemon holds the lease.

    Args:
        name: name of this daemon.
        store: client of the store that nothing else uses at the same time.
        lease: the duty lease.
        bounds: bounds that the platform declares.
        table: the known orders.
        catalogue: backend servers.
        report_own: returns this daemon's own report on a service's order.
        read_wall_clock: returns the time of day that the daemons agree on.

    Attributes:
        n_written: statuses written.
    """

    def __init__(
        self,
        *,
        name: str,
        store: ObjectStore,
        lease: DutyLease,
        bounds: Bounds,
        table: RolloutTable,
        catalogue: Catalogue,
        report_own: Callable[[str], RolloutReport | None],
        read_wall_clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._store = store
        self._lease = lease
        self._limits = ExposureLimits(
            share=bounds.exposure_share, extra=bounds.exposure_extra
        )
        self._table = table
        self._catalogue = catalogue
        self._report_own = report_own
        self._read_wall_clock = read_wall_clock
        self._orders: dict[str, _Order] = {}
        self._fence = 0
        self.n_written = 0

    async def run(self) -> None:
        """Decides until it is cancelled."""
        while True:
            try:
                if self._lease.is_held() and self._lease.fence != self._fence:
                    await self._take_over()
                if self._is_holder():
                    for service in list(self._table.rollouts):
                        await self._decide(service)
            except PlatformError as error:
                log_event(LOGGER, "rollout_failed", logging.WARNING, error=error)
            except Exception:
                LOGGER.exception("event=rollout_error")
            await asyncio.sleep(TICK_S * random.uniform(0.9, 1.1))

    async def run_writes(self) -> None:
        """Writes records and statuses until it is cancelled.

        A slow store does not delay the words to the other daemons.
        """
        while True:
            for service, state in list(self._orders.items()):
                if not self._is_holder() or read_boottime() < state.retry_at:
                    continue
                is_written = False
                try:
                    is_written = await self._write(service, state)
                except PlatformError as error:
                    log_event(LOGGER, "rollout_unwritten", logging.WARNING, error=error)
                except Exception:
                    LOGGER.exception("event=rollout_error")
                if is_written:
                    state.retry_s = RETRY_S
                else:
                    state.retry_at = read_boottime() + state.retry_s
                    state.retry_s = min(MAX_RETRY_S, 2 * state.retry_s)
            await asyncio.sleep(TICK_S * random.uniform(0.9, 1.1))

    def note_report(self, report: RolloutReport) -> None:
        """Records the counts of a daemon."""
        state = self._orders.get(report.service)
        if state is not None and state.order == tuple(report.order):
            state.tally.note_report(report)

    def begin_era(self) -> None:
        """Writes anew what the store may have lost with its older copy."""
        for state in self._orders.values():
            state.stored = None
        for rollout in self._table.rollouts.values():
            if rollout.record.written:
                rollout.record = msgspec.structs.replace(rollout.record, written="")

    def _is_holder(self) -> bool:
        return self._lease.is_held() and self._lease.fence == self._fence

    async def _take_over(self) -> None:
        """Reads what earlier holders have stored."""
        fence = self._lease.fence
        listing = await self._store.list_objects(
            names.KIND_ROLLOUT_RECORDS, reduce_spec(RolloutRecord)
        )
        records = decode_records(
            (item.spec for item in listing.items), self._read_wall_clock()
        )
        for record in records.values():
            self._table.adopt(record)
        self._orders.clear()
        self._fence = fence

    async def _decide(self, service: str) -> None:
        rollout = self._table.rollouts[service]
        state = self._orders.get(service)
        if state is None or state.order != rollout.record.order:
            state = self._orders[service] = _Order(rollout=rollout)
        if rollout.record.fence > self._fence:
            return  # another daemon holds the lease
        if not rollout.record.is_final:
            decision = self._make_decision(rollout, state)
            await self._apply(service, state, decision)
        else:
            self._repeat_final(rollout, state)

    def _make_decision(self, rollout: KnownRollout, state: _Order) -> Decision:
        now = read_boottime()
        own = self._report_own(rollout.record.service)
        if own is not None:
            self.note_report(own)
        record = rollout.record
        view = state.tally.make_view(rollout, self._catalogue.backends.values())
        if state.is_inherited and now - state.taken_at < GATHER_S:
            share = 1.0 if record.phase is Phase.MOVING else 0.0
            return Decision(phase=record.phase, share=share, reason="taken_over")
        return plan_rollout(state.progress, view, self._limits)

    async def _apply(self, service: str, state: _Order, decision: Decision) -> None:
        """Tells all daemons of a decision; stores one that changes the phase first."""
        now = read_boottime()
        rollout = self._table.rollouts[service]
        record = rollout.record
        is_change = decision.phase is not record.phase
        is_due = now - state.told_at >= WORD_INTERVAL_S
        if not (is_change or is_due or record.fence != self._fence):
            return
        if is_change:
            state.decided_at = now
            self._log(rollout, state, decision)
        told = msgspec.structs.replace(
            rollout.export(),
            phase=decision.phase,
            share=round(decision.share, 4),
            reason=decision.reason,
            fence=self._fence,
            sequence=record.sequence + 1 if record.fence == self._fence else 1,
            word_age_s=0.0,
            since_s=round(state.progress.since_s, 3),
            typical=state.tally.find_typical(),
            holder=self._name,
        )
        needs_store = is_change and decision.phase in (Phase.MOVING, Phase.COMPLETE)
        if needs_store:
            # A later holder must not judge again what all daemons act on.
            try:
                await self._store_record(told, state)
            except BaseException:
                state.progress.phase = record.phase
                raise
            if not self._is_holder() or self._table.rollouts[service] is not rollout:
                state.progress.phase = record.phase
                return
        state.told_at = now
        self._table.adopt(told)

    def _repeat_final(self, rollout: KnownRollout, state: _Order) -> None:
        """Repeats a decision, for daemons that missed it."""
        now = read_boottime()
        record = rollout.record
        is_recent = now - state.decided_at < FINAL_WORDS_S
        if record.fence == self._fence and (
            not is_recent or now - state.told_at < WORD_INTERVAL_S
        ):
            return
        state.told_at = now
        self._table.adopt(
            msgspec.structs.replace(
                rollout.export(),
                fence=self._fence,
                sequence=record.sequence + 1 if record.fence == self._fence else 1,
                word_age_s=0.0,
                holder=self._name,
            )
        )

    async def _store_record(self, record: RolloutRecord, state: _Order) -> None:
        """Stores a record unless a later one is there.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        if not self._has_time():
            raise PlatformError("too little of the hold is left")
        wall = self._read_wall_clock()
        spec: Any = encode_record(record, wall)
        kind = names.KIND_ROLLOUT_RECORDS
        try:
            await self._store.create(kind, record.service, spec)
        except ConflictError as conflict:
            current = conflict.current
            if current is None:
                raise
            found = decode_records([current.spec], wall).get(record.service)
            if found is not None and found.rank > record.rank:
                self._table.adopt(found)
                raise
            await self._store.replace(
                kind, record.service, spec, revision=current.revision
            )
        state.stored = _find_step(KnownRollout(record=record))

    def _has_time(self) -> bool:
        return self._is_holder() and self._lease.remaining_s() > CALL_MARGIN_S

    async def _write(self, service: str, state: _Order) -> bool:
        """Stores the order's record, and writes its status once for each state.

        Returns:
            Whether nothing is left to write for now.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        now = read_boottime()
        rollout = self._table.rollouts[service]
        record = rollout.record
        if record.fence != self._fence or record.order != state.order:
            return True
        status = STATES.get(record.phase, ACTIVE)
        settles = record.phase is Phase.COMPLETE and now - state.decided_at < SETTLE_S
        if record.phase is not Phase.WAITING and not settles:
            if record.written != status and not await self._write_status(rollout):
                return False
        newest = self._table.rollouts[service]
        if newest.record.order == state.order and state.stored != _find_step(newest):
            await self._store_record(newest.export(), state)
        return True

    async def _write_status(self, rollout: KnownRollout) -> bool:
        """Writes the status unless it is written; tells whether it now is.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        record = rollout.record
        status = STATES.get(record.phase, ACTIVE)
        # The last holder, or a call whose answer was lost, may have written it.
        stored = await self._store.read(names.KIND_ROLLOUTS, record.name)
        order = decode_order(stored) if stored is not None else None
        newest = self._table.rollouts[record.service]
        is_outdated = newest.record.order != record.order or (
            STATES.get(newest.record.phase, ACTIVE) != status
        )
        if order is None or order.to != record.to or is_outdated:
            return False
        if order.state != status:
            if not self._has_time():
                return False
            await self._store.write_status(
                names.KIND_ROLLOUTS, record.name, encode_state(status, record.to)
            )
            self.n_written += 1
            log_event(
                LOGGER,
                "rollout_status",
                service=record.service,
                to=record.to,
                state=status,
                elapsed_s=rollout.elapsed_s,
                fence=self._fence,
            )
        newest = self._table.rollouts[record.service]
        if newest.record.order == record.order:
            newest.record = msgspec.structs.replace(newest.record, written=status)
        return True

    def _log(self, rollout: KnownRollout, state: _Order, decision: Decision) -> None:
        view = state.tally.make_view(rollout, self._catalogue.backends.values())
        new, old = sum_counts(view.new), sum_counts(view.old)
        log_event(
            LOGGER,
            "rollout_decided",
            service=rollout.record.service,
            to=rollout.record.to,
            phase=decision.phase.value,
            reason=decision.reason,
            elapsed_s=view.elapsed_s,
            n_reached=view.n_reached,
            n_sent=view.n_sent,
            new=f"{new.n_good}/{new.n_failed}/{new.n_slow}",
            old=f"{old.n_good}/{old.n_failed}/{old.n_slow}",
            n_reports=state.tally.n_reports,
            fence=self._fence,
        )


def _find_step(rollout: KnownRollout) -> tuple[Phase, str]:
    """Returns what of a record is worth a call to the store."""
    phase = rollout.record.phase
    is_canary = phase in (Phase.CANARY, Phase.HOLDING)
    return (Phase.CANARY if is_canary else phase, rollout.record.written)
