"""The task that decides who may send a call that must not repeat.

Runs on the owners of shards, see `shards`; the verdicts are decided in
`policy.ledger`. Deferred work lives in the same shards, see `deferred`.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from .deferred import (
    DeferQuery,
    DeferredEnded,
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
from .shards import Shard, ShardEvents, ShardKeeper, StoreResult

TICK_S: Final = 0.25

_ANSWERS: Final[dict[Verdict, ErrorKind]] = {
    Verdict.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    Verdict.REUSED: ErrorKind.KEY_REUSED,
    Verdict.EXPIRED: ErrorKind.KEY_EXPIRED,
}


@dataclass(slots=True, kw_only=True)
class _Index:
    """What the entries of one open shard say.

    Attributes:
        records: by key.
        waiters: who waits for the outcome of a key: daemon and request.
    """

    records: dict[str, Record] = field(default_factory=dict)
    waiters: dict[str, list[tuple[str, str]]] = field(default_factory=dict)


class LedgerTask(MailboxTask):
    """Grants and records; see the module's docstring.

    Args:
        context: settings, board and the other tasks.
        objects: the object API.
        holder: this process, unique over restarts.
    """

    def __init__(self, *, context: Context, objects: Objects, holder: str) -> None:
        super().__init__(
            name="ledger",
            handle=self._handle_message,
            tick=self._advance,
            close=lambda: self.keeper.close(),
        )
        self._context = context
        self._settings = context.settings.ledger
        self._self_id = context.settings.daemon.id
        self._members: Slot[Table] = context.slots["members"]
        self.keeper = ShardKeeper(
            settings=self._settings,
            region=context.settings.daemon.region,
            self_id=self._self_id,
            holder=holder,
            objects=objects,
            members=self._members,
            post=self.post,
            hasten=self.hasten,
            events=ShardEvents(
                opened=self._opened,
                dropped=self._dropped,
                given_back=self._given_back,
                compacted=self._compacted,
            ),
        )
        self._indexes = [_Index() for _ in self.keeper.shards]
        self._deferred = DeferredWork(
            context=context, keeper=self.keeper, post=self.post
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            IntentRequest: self._answer_intent,
            OutcomeReport: self._take_report,
            MemberChanged: self._hear_member,
            StoreResult: lambda m: m.finish(),
            DeferRequest: self._deferred.accept,
            DeferQuery: self._deferred.answer,
            DeferredEnded: self._deferred.end,
        }

    def _handle_message(self, message: Any) -> None:
        self._handlers[type(message)](message)

    def _hear_member(self, _: MemberChanged) -> None:
        self.keeper.advance()

    def _advance(self) -> float:
        self.keeper.advance()
        self._deferred.advance()
        return TICK_S

    # Shards come and go.

    def _opened(self, shard: Shard, entries: list[Entry]) -> None:
        index = _Index()
        self._indexes[shard.number] = index
        for entry in entries:
            if is_deferred_entry(entry):
                continue
            record = apply_entry(index.records.get(entry.key), entry)
            if record is not None:
                index.records[entry.key] = record
        self._deferred.open(shard, entries)

    def _dropped(self, shard: Shard, unwritten: list[Entry]) -> None:
        """Tells whoever waits to ask the next owner."""
        index = self._indexes[shard.number]
        self._indexes[shard.number] = _Index()
        for entry in unwritten:
            if entry.kind is EntryKind.INTENT:
                # Not granted. If the write took effect after all, the holder's
                # report that it sent nothing frees the key again.
                self._answer(entry.holder, entry.request, verdict="moved")
        for asked in index.waiters.values():
            for sender, request in asked:
                self._answer(sender, request, verdict="moved")
        self._deferred.drop(shard)

    def _given_back(self, shard: Shard) -> list[Entry]:
        return self._deferred.give_back(shard)

    def _compacted(self, shard: Shard, keep_from: float) -> None:
        index = self._indexes[shard.number]
        index.records = {k: r for k, r in index.records.items() if r.time >= keep_from}
        self._deferred.compact(shard, keep_from)

    # Deciding.

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
        shard = self.keeper.find(intent.shard)
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
                    kind=_ANSWERS[verdict],
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
            record = index.records.get(intent.key)
            check_invariant(
                "grant_is_newest",
                record is not None and record.request == intent.request,
                key=intent.key,
            )
            self._answer(intent.sender, intent.request, verdict="granted")

        self._write(shard, entry, tell)

    def _take_report(self, report: OutcomeReport) -> None:
        shard = self.keeper.find(report.shard)
        index = self._indexes[shard.number]
        if not shard.is_open():
            return  # the entry daemon asks again until an owner has it
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
            # After `unsent` the waiters ask anew and one of them gets the grant.
            verdict = "moved" if report.unsent else "known"
            self._answer(sender, request, verdict=verdict, record=record)

    def _acknowledge(self, report: OutcomeReport) -> None:
        answer = OutcomeAnswer(sender=self._self_id, request=report.request)
        self._send(report.sender, answer)

    def _write(self, shard: Shard, entry: Entry, then: Callable[[], None]) -> None:
        index = self._indexes[shard.number]
        record = apply_entry(index.records.get(entry.key), entry)
        if record is not None:
            # Ahead of the write, so that the same key asked for meanwhile waits.
            index.records[entry.key] = record
        self.keeper.write(shard, entry, then)


def _build(context: Context) -> LedgerTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    task = LedgerTask(context=context, objects=objects, holder=context.process_id)
    peers = context.tasks["peers"]
    if isinstance(peers, PeersTask):
        peers.watch_members("ledger")
    return task


register_plugin(Plugin(name="ledger", requires=("peers", "relay"), build=_build))
