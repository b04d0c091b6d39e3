"""At-most-once policy: the state of an idempotency key and the verdict on a request.

A key is the customer's Idempotency-Key within one service. Applying its journal entries
in order yields its record. The record alone decides whether a request is granted, is
answered with the recorded outcome, has to wait, or has an unknown outcome.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

import msgspec

from ..hashing import hash_text
from ..messages import Outcome


class EntryKind(StrEnum):
    """The kind of a journal entry."""

    INTENT = "i"
    UNSENT = "u"
    DONE = "d"
    WORK = "w"
    PROGRESS = "p"
    RESULT = "r"


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One journal entry.

    Attributes:
        time: wall-clock seconds; used only for retention.
        request: unique id of the attempt, assigned by the daemon that may send it.
        holder: id of the daemon that may send the attempt.
        digest: digest of method, path and body, used to refuse reuse of a key for a
            different request.
        payload: for deferred work, the request, its progress or its result.
    """

    kind: EntryKind
    time: float
    key: str
    request: str
    holder: str = ""
    digest: str = ""
    outcome: Outcome | None = None
    payload: bytes = b""


class KeyState(StrEnum):
    """The state of one key."""

    FREE = "free"
    GRANTED = "granted"
    DONE = "done"


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """The known state of one key; its fields have the meaning they have in `Entry`."""

    state: KeyState
    time: float
    request: str
    holder: str
    digest: str
    outcome: Outcome | None = None


class Verdict(StrEnum):
    """The answer to a request for permission to send."""

    GRANT = "granted"
    KNOWN = "known"
    PENDING = "pending"
    UNKNOWN = "unknown"
    REUSED = "reused"
    EXPIRED = "expired"


_NEXT_STATE: Final = {
    EntryKind.UNSENT: KeyState.FREE,
    EntryKind.DONE: KeyState.DONE,
}


def apply_entry(record: Record | None, entry: Entry) -> Record | None:
    """Applies one journal entry to a key's record.

    An `UNSENT` or `DONE` entry is applied only if it belongs to the attempt that holds
    the grant. A report of any other attempt is late and changes nothing.
    """
    if entry.kind is EntryKind.INTENT:
        return Record(
            state=KeyState.GRANTED,
            time=entry.time,
            request=entry.request,
            holder=entry.holder,
            digest=entry.digest,
        )
    if record is None or record.request != entry.request:
        return record
    return replace(
        record,
        state=_NEXT_STATE[entry.kind],
        time=entry.time,
        outcome=entry.outcome,
    )


def accepts_report(record: Record | None, request: str) -> bool:
    """Returns whether a report of this attempt still changes the record."""
    return (
        record is not None
        and record.state is KeyState.GRANTED
        and record.request == request
    )


def decide_intent(
    record: Record | None,
    *,
    request: str,
    digest: str,
    issued_at: float | None,
    now: float,
    retention_s: float,
    holder_alive: bool,
) -> Verdict:
    """Decides on one request for permission to send.

    Args:
        record: record of the key, or None if the journal has none.
        request: id of this attempt; a request with the same id repeats the question
            and is not a new attempt.
        digest: digest of the request that the caller wants to send.
        issued_at: creation time of the key, if it is contained in the key (UUID
            version 7).
        now: wall-clock seconds.
        retention_s: how long the journal keeps entries, in seconds.
        holder_alive: whether the daemon that holds the grant, if any, may still
            report.

    Returns:
        The verdict. It is `GRANT` only if no attempt can have been sent.
    """
    if issued_at is not None and now - issued_at > retention_s:
        return Verdict.EXPIRED
    if record is None:
        return Verdict.GRANT
    if record.digest != digest:
        return Verdict.REUSED
    if record.state is KeyState.DONE:
        return Verdict.KNOWN
    if record.state is KeyState.FREE or record.request == request:
        return Verdict.GRANT
    return Verdict.PENDING if holder_alive else Verdict.UNKNOWN


def choose_shard(key: str, n_shards: int) -> int:
    """Maps a key to its shard by hash."""
    return hash_text(key) % n_shards


def choose_owner(shard: int, members: list[str]) -> str:
    """Chooses the preferred owner of a shard by rendezvous hashing.

    Args:
        shard: number of the shard.
        members: ids of the daemons that may own shards.

    Returns:
        The owner's id, or an empty string if there are no members.
    """
    return max(
        members,
        key=lambda member: (hash_text(f"{shard}/{member}"), member),
        default="",
    )
