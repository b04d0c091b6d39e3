"""Which call may be sent: the states of one key and the verdicts on a request.

A key is the customer's Idempotency-Key within one service. Its entries in the
journal, applied in order, give its record; the record alone decides whether a
request is granted, answered from memory, made to wait or left unknown.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

import msgspec

from ..hashing import hash_text
from ..messages import Outcome


class EntryKind(StrEnum):
    """What an entry of the journal says."""

    INTENT = "i"
    UNSENT = "u"
    DONE = "d"
    WORK = "w"
    PROGRESS = "p"
    RESULT = "r"


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One journal entry.

    Attributes:
        time: wall clock in seconds; only retention depends on it.
        request: the attempt's unique id, named by the daemon that may send.
        holder: that daemon.
        digest: of method, path and body, to refuse a key used twice differently.
        payload: of deferred work: the request, its progress or its result.
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
    """State of one key."""

    FREE = "free"
    GRANTED = "granted"
    DONE = "done"


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What is known of one key."""

    state: KeyState
    time: float
    request: str
    holder: str
    digest: str
    outcome: Outcome | None = None


class Verdict(StrEnum):
    """The answer to a request for the right to send."""

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

    An `UNSENT` or `DONE` entry counts only for the attempt that holds the grant; a
    report of any other attempt is a late one and changes nothing.
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
    """Tells whether a report of this attempt still changes the record."""
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
    """Decides on one request for the right to send.

    Args:
        record: of the key, or None when the journal knows nothing of it.
        request: id of this attempt; asking again with the same id is a repeat of
            the question, not a new attempt.
        digest: of what the caller asks to be sent.
        issued_at: when the key was made, if the key itself tells (UUID version 7).
        now: wall clock in seconds.
        retention_s: how long the journal keeps entries.
        holder_alive: whether the daemon that holds the grant, if any, may still
            report.

    Returns:
        The verdict; `GRANT` only if no attempt can have been sent.
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
    """Maps a key to its shard."""
    return hash_text(key) % n_shards


def choose_owner(shard: int, members: list[str]) -> str:
    """Chooses the preferred owner of a shard by rendezvous hashing.

    Args:
        shard: number of the shard.
        members: ids of the daemons that may own shards.

    Returns:
        The owner's id, or empty when there is no member.
    """
    return max(
        members,
        key=lambda member: (hash_text(f"{shard}/{member}"), member),
        default="",
    )
