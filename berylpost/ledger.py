"""The task that grants the right to send a call that must not be repeated.

It runs on the daemons that own shards (see `shards`); `policy.ledger` decides the
verdicts. Deferred work is stored in the same shards (see `deferred`).
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from .deferred import (
    DeferQuery,
    DeferredRunEnded,
    DeferredWork,
    is_deferred_entry,
)
from .errors import ErrorKind, ExecutionStatus
from .invariants import check_invariant
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .messages import (
    DeferRequest,
    IntentAnswer,
    IntentRequest,
    Message,
    OutcomeAnswer,
    OutcomeReport,
)
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
    decide_intent,
)
from .policy.membership import GONE_STATES, Table
from .shards import Shard, ShardEvents, ShardManager, StoreResult

TICK_S: Final = 0.25

_ERROR_KINDS: Final[dict[Verdict, ErrorKind]] = {
    Verdict.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    Verdict.REUSED: ErrorKind.KEY_REUSED,
    Verdict.EXPIRED: ErrorKind.KEY_EXPIRED,
}


@dataclass(slots=True, kw_only=True)
class _Index:
    """The state of one open shard, built from its entries.

    Attributes:
        records: the record of each key.
        waiters: for each key, the daemons and request ids that wait for its outcome.
    """

    records: dict[str, Record] = field(default_factory=dict)
    waiters: dict[str, list[tuple[str, str]]] = field(default_factory=dict)


class LedgerTask(MailboxTask):
    """Grants calls and records their outcomes; see the module docstring.

    Args:
        context: settings, slots and the other tasks.
        objects: the object API.
        holder: id of this process, unique across restarts.
    """

    def __init__(self, *, context: Context, objects: Objects, holder: str) -> None:
        super().__init__(
            name="ledger",
            handle=self._handle_message,
            tick=self._advance,
            close=lambda: self.shard_manager.close(),
        )
        self._context = context
        self._settings = context.settings.ledger
        self._self_id = context.settings.daemon.id
        self._members: Slot[Table] = context.slots["members"]
        self.shard_manager = ShardManager(
            settings=self._settings,
            region=context.settings.daemon.region,
            self_id=self._self_id,
            holder=holder,
            objects=objects,
            members=self._members,
            post=self.post,
            schedule_tick=self.schedule_tick,
            events=ShardEvents(
                opened=self._shard_opened,
                dropped=self._shard_dropped,
                before_release=self._before_release,
                compacted=self._shard_compacted,
            ),
        )
        self._indexes = [_Index() for _ in self.shard_manager.shards]
        self._deferred = DeferredWork(
            context=context, shard_manager=self.shard_manager, post=self.post
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            IntentRequest: self._answer_intent,
            OutcomeReport: self._handle_report,
            MemberChanged: self._handle_member_change,
            StoreResult: lambda m: m.finish(),
            DeferRequest: self._deferred.accept,
            DeferQuery: self._deferred.answer,
            DeferredRunEnded: self._deferred.end_run,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    def _handle_member_change(self, _: MemberChanged) -> None:
        self.shard_manager.advance()

    def _advance(self) -> float:
        self.shard_manager.advance()
        self._deferred.advance()
        return TICK_S

    # Shard events.

    def _shard_opened(self, shard: Shard, entries: list[Entry]) -> None:
        index = _Index()
        self._indexes[shard.number] = index
        for entry in entries:
            if is_deferred_entry(entry):
                continue
            record = apply_entry(index.records.get(entry.key), entry)
            if record is not None:
                index.records[entry.key] = record
        self._deferred.open(shard, entries)

    def _shard_dropped(self, shard: Shard, unwritten: list[Entry]) -> None:
        """Tells all waiting daemons to ask the next owner."""
        index = self._indexes[shard.number]
        self._indexes[shard.number] = _Index()
        for entry in unwritten:
            if entry.kind is EntryKind.INTENT:
                # Not granted. If the write took effect nevertheless, the key becomes
                # free again when the holder reports that it sent nothing.
                self._answer(entry.holder, entry.request, verdict="moved")
        for waiting in index.waiters.values():
            for sender, request in waiting:
                self._answer(sender, request, verdict="moved")
        self._deferred.drop(shard)

    def _before_release(self, shard: Shard) -> list[Entry]:
        return self._deferred.suspend(shard)

    def _shard_compacted(self, shard: Shard, keep_from: float) -> None:
        index = self._indexes[shard.number]
        index.records = {k: r for k, r in index.records.items() if r.time >= keep_from}
        self._deferred.compact(shard, keep_from)

    # Requests and reports.

    def _answer(
        self,
        to: str,
        request: str,
        *,
        verdict: str,
        record: Record | None = None,
        kind: ErrorKind | None = None,
        ran: ExecutionStatus | None = None,
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
        shard = self.shard_manager.find(intent.shard)
        index = self._indexes[shard.number]
        if not shard.is_open():
            self._answer(intent.sender, intent.request, verdict="moved")
            return
        record = index.records.get(intent.key)
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
                waiters = index.waiters.setdefault(intent.key, [])
                if (intent.sender, intent.request) not in waiters:
                    waiters.append((intent.sender, intent.request))
                self._answer(intent.sender, intent.request, verdict="pending")
            case _:
                self._answer(
                    intent.sender,
                    intent.request,
                    verdict="refused",
                    kind=_ERROR_KINDS[verdict],
                )

    def _may_report(self, record: Record, now: float) -> bool:
        """Tells whether the holder of a grant may still report its outcome."""
        entry = self._members.read().entries.get(record.holder.partition(".")[0])
        alive = entry is not None and entry.member.state not in GONE_STATES
        return alive and now - record.time < 2 * self._settings.call_timeout_s

    def _grant(self, shard: Shard, intent: IntentRequest, now: float) -> None:
        index = self._indexes[shard.number]
        known = index.records.get(intent.key)
        if known is not None and known.request == intent.request:
            # A repeated request. It gets no answer before the entry is durable, and
            # none after the holder reported that it sent nothing: that is final.
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

        def send_grant() -> None:
            record = index.records.get(intent.key)
            check_invariant(
                "grant_is_newest",
                record is not None and record.request == intent.request,
                key=intent.key,
            )
            self._answer(intent.sender, intent.request, verdict="granted")

        self._write(shard, entry, send_grant)

    def _handle_report(self, report: OutcomeReport) -> None:
        shard = self.shard_manager.find(report.shard)
        index = self._indexes[shard.number]
        if not shard.is_open():
            return  # the sender repeats the report until an owner acknowledges it
        if not accepts_report(index.records.get(report.key), report.request):
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
        record = index.records[report.key]
        for sender, request in index.waiters.pop(report.key, ()):
            # After `unsent` the waiters ask again, and one of them gets the grant.
            verdict = "moved" if report.unsent else "known"
            self._answer(sender, request, verdict=verdict, record=record)

    def _acknowledge(self, report: OutcomeReport) -> None:
        answer = OutcomeAnswer(sender=self._self_id, request=report.request)
        self._send(report.sender, answer)

    def _write(
        self, shard: Shard, entry: Entry, on_durable: Callable[[], None]
    ) -> None:
        index = self._indexes[shard.number]
        record = apply_entry(index.records.get(entry.key), entry)
        if record is not None:
            # Recorded before the write, so that other requests for the same key have
            # to wait.
            index.records[entry.key] = record
        self.shard_manager.write(shard, entry, on_durable)


def _build(context: Context) -> LedgerTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    task = LedgerTask(context=context, objects=objects, holder=context.process_id)
    peers = context.tasks["peers"]
    if isinstance(peers, PeersTask):
        peers.watch_members("ledger")
    return task


register_plugin(Plugin(name="ledger", requires=("peers", "relay"), build=_build))
