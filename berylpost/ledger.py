"""The task that owns ledger shards: who may send a call that must not repeat.

Keys hash to shards. A shard's owner holds its lease and writes intents to its
journal in batches, one write in flight and the rest gathered meanwhile, so writes
follow shards and not calls. The lease only says who should own a shard; that two
owners never both grant is the journal's conditional write. The verdicts are
decided in `policy.ledger`.
"""

import logging
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from .errors import BerylpostError, ErrorKind, PlatformError, Ran
from .invariants import check_invariant
from .journal import DoubtError, FencedError, Journal
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .lease import Lease
from .logs import log_event
from .messages import IntentAnswer, IntentRequest, Message, OutcomeAnswer, OutcomeReport
from .metrics import LEDGER_BATCH, LEDGER_SHARDS
from .peers import MemberChanged, PeersTask, Send
from .platform.objects import HttpObjects, Objects
from .policy.ledger import (
    Entry,
    EntryKind,
    KeyState,
    Record,
    Verdict,
    accepts_report,
    apply_entry,
    choose_owner,
    decide_intent,
)
from .policy.membership import GONE, Table

LOGGER: Final = logging.getLogger(__name__)
TICK_S: Final = 0.25
N_STORE_THREADS: Final = 4
MAX_BATCH: Final = 200
REOPEN_PAUSE_S: Final = 0.5
COMPACT_INTERVAL_S: Final = 300.0
RENEWALS_PER_LEASE: Final = 3

_ENTRIES: Final = msgspec.msgpack.Decoder(Entry)

_ANSWERS: Final[dict[Verdict, ErrorKind]] = {
    Verdict.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    Verdict.REUSED: ErrorKind.KEY_REUSED,
    Verdict.EXPIRED: ErrorKind.KEY_EXPIRED,
}


class ShardState(StrEnum):
    """Whether this daemon owns a shard."""

    CLOSED = "closed"
    OPENING = "opening"
    OPEN = "open"


@dataclass(slots=True, kw_only=True)
class Shard:
    """One shard as this daemon sees it.

    Attributes:
        batch: entries not yet written, each with what to do once it is durable.
        in_flight: those of the write under way.
        waiters: who waits for the outcome of a key.
    """

    number: int
    lease: Lease
    journal: Journal
    state: ShardState = ShardState.CLOSED
    index: dict[str, Record] = field(default_factory=dict)
    batch: list[tuple[Entry, Callable[[], None]]] = field(default_factory=list)
    in_flight: list[tuple[Entry, Callable[[], None]]] = field(default_factory=list)
    waiters: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    renewing: bool = False
    renew_at: float = 0.0
    open_at: float = 0.0
    compact_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoreResult:
    """A store job is over; `finish` runs in the task's thread."""

    finish: Callable[[], None]


class LedgerTask(MailboxTask):
    """Owns shards; see the module's docstring.

    Args:
        context: settings, board and the other tasks.
        objects: the object API.
        holder: this process, unique over restarts; its part before the first dot
            is the daemon's id.
    """

    def __init__(self, *, context: Context, objects: Objects, holder: str) -> None:
        super().__init__(
            name="ledger",
            handle=self._handle_message,
            tick=self._advance,
            close=self._close,
        )
        self._context = context
        self._settings = context.settings.ledger
        self._self_id = context.settings.daemon.id
        self._members: Slot[Table] = context.slots["members"]
        self._executor = ThreadPoolExecutor(N_STORE_THREADS, "ledger-store")
        region = context.settings.daemon.region
        patience_s = self._settings.intent_timeout_s / 2
        self.shards = [
            Shard(
                number=number,
                lease=Lease(
                    objects=objects,
                    key=f"leases/ledger/{region}/{number:04d}",
                    holder=holder,
                    duration_s=self._settings.lease_s,
                ),
                journal=Journal(
                    objects=objects,
                    prefix=f"ledger/{region}/{number:04d}",
                    writer=holder,
                    segment_bytes=self._settings.segment_bytes,
                    patience_s=patience_s,
                ),
            )
            for number in range(self._settings.n_shards)
        ]
        self._handlers: dict[type, Callable[[Any], None]] = {
            IntentRequest: self._answer_intent,
            OutcomeReport: self._take_report,
            MemberChanged: self._hear_member,
            _StoreResult: lambda m: m.finish(),
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    def _hear_member(self, _: MemberChanged) -> None:
        self._advance()

    def _close(self) -> None:
        """Gives the leases back, so that a planned stop costs nobody a wait."""
        for shard in self.shards:
            if shard.state is ShardState.OPEN:
                shard.lease.release()
        self._executor.shutdown(wait=True, cancel_futures=True)

    # Owning.

    def _list_candidates(self) -> list[str]:
        entries = self._members.read().entries.values()
        return [e.member.id for e in entries if e.member.state in ("alive", "suspect")]

    def _advance(self) -> float:
        now = time.monotonic()
        candidates = self._list_candidates()
        n_open = 0
        for shard in self.shards:
            preferred = choose_owner(shard.number, candidates)
            mine = preferred == self._self_id
            if mine and shard.state is ShardState.CLOSED and now >= shard.open_at:
                self._open(shard)
            elif shard.state is ShardState.OPEN:
                n_open += 1
                if not mine:
                    self._give_back(shard)
                else:
                    self._maintain(shard, now)
        LEDGER_SHARDS.set(n_open)
        return TICK_S

    def _run_job(self, job: Callable[[], Callable[[], None]]) -> None:
        """Runs a blocking store job in a thread and its follow-up in the task."""

        def run() -> None:
            self.post(_StoreResult(finish=job()))

        self._executor.submit(run)

    def _open(self, shard: Shard) -> None:
        shard.state = ShardState.OPENING
        holder = shard.lease.read_holder().partition(".")[0]
        entry = self._members.read().entries.get(holder)
        # A holder that nobody knows may live beyond a partition: let it lapse.
        gone = entry is not None and (
            entry.member.state in GONE or entry.member.state == "leaving"
        )

        def job() -> Callable[[], None]:
            try:
                if not shard.lease.try_hold(holder_is_gone=gone):
                    return lambda: self._open_failed(shard, "lease held")
                entries = shard.journal.open(epoch=shard.lease.epoch)
            except (BerylpostError, PlatformError) as error:
                text = str(error)
                return lambda: self._open_failed(shard, text)
            return lambda: self._opened(shard, entries)

        self._run_job(job)

    def _open_failed(self, shard: Shard, reason: str) -> None:
        shard.state = ShardState.CLOSED
        shard.open_at = time.monotonic() + REOPEN_PAUSE_S
        log_event(
            LOGGER, "shard_not_opened", logging.DEBUG, shard=shard.number, why=reason
        )

    def _opened(self, shard: Shard, entries: list[bytes]) -> None:
        shard.index = {}
        for data in entries:
            entry = _ENTRIES.decode(data)
            record = apply_entry(shard.index.get(entry.key), entry)
            if record is not None:
                shard.index[entry.key] = record
        now = time.monotonic()
        shard.state = ShardState.OPEN
        shard.renew_at = now + self._settings.lease_s / RENEWALS_PER_LEASE
        shard.compact_at = now + COMPACT_INTERVAL_S
        log_event(
            LOGGER,
            "shard_opened",
            shard=shard.number,
            epoch=shard.lease.epoch,
            keys=len(shard.index),
        )

    def _maintain(self, shard: Shard, now: float) -> None:
        if now >= shard.renew_at and not shard.renewing:
            shard.renewing = True
            shard.renew_at = now + self._settings.lease_s / RENEWALS_PER_LEASE

            def job() -> Callable[[], None]:
                held = shard.lease.try_hold()
                return lambda: self._renewed(shard, held)

            self._run_job(job)
        if now >= shard.compact_at and not shard.in_flight:
            shard.compact_at = now + COMPACT_INTERVAL_S
            self._compact(shard)

    def _renewed(self, shard: Shard, held: bool) -> None:
        shard.renewing = False
        if not held and shard.state is ShardState.OPEN:
            self._drop(shard, "lease lost")

    def _compact(self, shard: Shard) -> None:
        """Forgets keys past the retention and deletes the segments they fill."""
        keep_from = time.time() - self._settings.retention_s
        shard.index = {k: r for k, r in shard.index.items() if r.time >= keep_from}

        def job() -> Callable[[], None]:
            try:
                n_dropped = shard.journal.drop_segments(keep_from=keep_from)
            except PlatformError:
                n_dropped = 0
            return lambda: log_event(
                LOGGER, "shard_compacted", shard=shard.number, segments=n_dropped
            )

        self._run_job(job)

    def _give_back(self, shard: Shard) -> None:
        """Lets a shard go to the daemon that should have it now."""
        if shard.in_flight or shard.batch or shard.renewing:
            return
        self._drop(shard, "not preferred")

        def job() -> Callable[[], None]:
            shard.lease.release()
            return lambda: None

        self._run_job(job)

    def _drop(self, shard: Shard, reason: str) -> None:
        """Stops owning a shard; whoever waits is told to ask the next owner."""
        shard.state = ShardState.CLOSED
        shard.open_at = time.monotonic() + REOPEN_PAUSE_S
        unwritten = [entry for entry, _ in shard.in_flight + shard.batch]
        shard.in_flight, shard.batch = [], []
        shard.index = {}
        waiters, shard.waiters = shard.waiters, {}
        for entry in unwritten:
            if entry.kind is EntryKind.INTENT:
                # Not granted. If the write took effect after all, the holder's
                # report that it sent nothing frees the key again.
                self._answer(
                    entry.holder.partition(".")[0], entry.request, verdict="moved"
                )
        for asked in waiters.values():
            for sender, request in asked:
                self._answer(sender, request, verdict="moved")
        log_event(LOGGER, "shard_dropped", shard=shard.number, why=reason)

    # Deciding.

    def _answer(
        self,
        to: str,
        request: str,
        *,
        verdict: str,
        record: Record | None = None,
        kind: ErrorKind | None = None,
        ran: Ran | None = None,
    ) -> None:
        answer = IntentAnswer(
            sender=self._self_id,
            request=request,
            verdict=verdict,
            outcome=record.outcome if record else None,
            kind=kind,
            ran=ran,
        )
        self._send(to, answer)

    def _send(self, to: str, message: Message) -> None:
        self._context.post("peers", Send(to=to, message=message))

    def _answer_intent(self, intent: IntentRequest) -> None:
        shard = self.shards[intent.shard % len(self.shards)]
        if shard.state is not ShardState.OPEN:
            self._answer(intent.sender, intent.request, verdict="moved")
            return
        record = shard.index.get(intent.key)
        now = time.time()
        verdict = decide_intent(
            record,
            request=intent.request,
            digest=intent.digest,
            issued_at=intent.issued_at,
            now=now,
            retention_s=self._settings.retention_s,
            holder_alive=record is not None and self._may_report(record, now),
        )
        match verdict:
            case Verdict.GRANT:
                self._grant(shard, intent, now)
            case Verdict.KNOWN:
                self._answer(
                    intent.sender, intent.request, verdict="known", record=record
                )
            case Verdict.PENDING:
                waiters = shard.waiters.setdefault(intent.key, [])
                if (intent.sender, intent.request) not in waiters:
                    waiters.append((intent.sender, intent.request))
                self._answer(intent.sender, intent.request, verdict="pending")
            case _:
                self._answer(
                    intent.sender,
                    intent.request,
                    verdict="refused",
                    kind=_ANSWERS[verdict],
                )

    def _may_report(self, record: Record, now: float) -> bool:
        """Tells whether the holder of a grant may still report its outcome."""
        entry = self._members.read().entries.get(record.holder.partition(".")[0])
        alive = entry is not None and entry.member.state not in GONE
        return alive and now - record.time < 2 * self._settings.call_timeout_s

    def _grant(self, shard: Shard, intent: IntentRequest, now: float) -> None:
        known = shard.index.get(intent.key)
        if known is not None and known.request == intent.request:
            # The question came twice. Before it is durable nothing may be said, and
            # a holder that reported it sent nothing has given up for good.
            unwritten = shard.in_flight + shard.batch
            durable = all(e.request != intent.request for e, _ in unwritten)
            if durable and known.state is KeyState.GRANTED:
                self._answer(intent.sender, intent.request, verdict="granted")
            return
        entry = Entry(
            kind=EntryKind.INTENT,
            time=now,
            key=intent.key,
            request=intent.request,
            holder=intent.sender,
            digest=intent.digest,
        )

        def tell() -> None:
            record = shard.index.get(intent.key)
            check_invariant(
                "grant_is_newest",
                record is not None and record.request == intent.request,
                key=intent.key,
            )
            self._answer(intent.sender, intent.request, verdict="granted")

        self._write(shard, entry, tell)

    def _take_report(self, report: OutcomeReport) -> None:
        shard = self.shards[report.shard % len(self.shards)]
        if shard.state is not ShardState.OPEN:
            return  # the entry daemon asks again until an owner has it
        if not accepts_report(shard.index.get(report.key), report.request):
            self._acknowledge(report)
            return
        entry = Entry(
            kind=EntryKind.UNSENT if report.unsent else EntryKind.DONE,
            time=time.time(),
            key=report.key,
            request=report.request,
            outcome=report.outcome,
        )
        self._write(shard, entry, lambda: self._acknowledge(report))
        record = shard.index[report.key]
        for sender, request in shard.waiters.pop(report.key, ()):
            # After `unsent` the waiters ask anew and one of them gets the grant.
            verdict = "moved" if report.unsent else "known"
            self._answer(sender, request, verdict=verdict, record=record)

    def _acknowledge(self, report: OutcomeReport) -> None:
        answer = OutcomeAnswer(sender=self._self_id, request=report.request)
        self._send(report.sender, answer)

    # Writing.

    def _write(self, shard: Shard, entry: Entry, then: Callable[[], None]) -> None:
        record = apply_entry(shard.index.get(entry.key), entry)
        if record is not None:
            # Ahead of the write, so that the same key asked for meanwhile waits.
            shard.index[entry.key] = record
        shard.batch.append((entry, then))
        self._flush(shard)

    def _flush(self, shard: Shard) -> None:
        if shard.in_flight or not shard.batch:
            return
        shard.in_flight = shard.batch[:MAX_BATCH]
        shard.batch = shard.batch[MAX_BATCH:]
        LEDGER_BATCH.observe(len(shard.in_flight))
        data = [msgspec.msgpack.encode(entry) for entry, _ in shard.in_flight]

        def job() -> Callable[[], None]:
            try:
                shard.journal.append(data)
            except (FencedError, DoubtError) as error:
                text = str(error)
                return lambda: self._write_failed(shard, text)
            return lambda: self._written(shard)

        self._run_job(job)

    def _write_failed(self, shard: Shard, reason: str) -> None:
        if shard.state is ShardState.OPEN:
            self._drop(shard, reason)

    def _written(self, shard: Shard) -> None:
        written, shard.in_flight = shard.in_flight, []
        for _, then in written:
            then()
        self._flush(shard)


def _build(context: Context) -> LedgerTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    task = LedgerTask(context=context, objects=objects, holder=context.process_id)
    peers = context.tasks["peers"]
    if isinstance(peers, PeersTask):
        peers.watch_members("ledger")
    return task


register_plugin(Plugin(name="ledger", requires=("peers",), build=_build))
