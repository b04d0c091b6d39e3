"""An append-only journal stored as a sequence of segment objects of bounded size.

Only one writer is active at a time; earlier ones are fenced by epoch. Opening the
journal writes the new epoch into the last open segment, so every later append of
the previous writer fails. An append rewrites only the open segment. The write that
fills a segment also seals it, and only then is the next segment created.

Example:
    >>> journal = Journal(objects=objects, prefix="ledger/r/0003", writer="dd-1.8f")
    >>> entries = journal.open(epoch=7)
    >>> journal.append([b"..."])
"""

from typing import Final

import msgspec

from .errors import BerylpostError, ErrorKind
from .invariants import check_invariant
from .platform.objects import Objects
from .writer import ABSENT, ConditionalWriter, ObjectSnapshot, Verdict, read_object

DEFAULT_SEGMENT_BYTES: Final = 65_536


class Segment(msgspec.Struct, frozen=True, kw_only=True):
    """A segment as it is stored."""

    epoch: int
    sealed: bool
    entries: tuple[bytes, ...]


class FencedError(BerylpostError):
    """Another writer with a higher epoch has taken over the journal."""

    def __init__(self, prefix: str) -> None:
        super().__init__(
            ErrorKind.STORE_UNAVAILABLE, f"{prefix}: fenced by another writer"
        )


class AppendOutcomeUnknownError(BerylpostError):
    """It is unknown whether a write took effect; the journal must be reopened."""

    def __init__(self, prefix: str) -> None:
        super().__init__(
            ErrorKind.STORE_UNAVAILABLE, f"{prefix}: write outcome unknown"
        )


class Journal:
    """One writer's view of one journal; used by one thread at a time.

    Args:
        objects: the object API.
        prefix: prefix of the segment keys, without a trailing slash.
        writer: id of the writer, unique across all processes and restarts.
        segment_bytes: size at which a segment is sealed, in bytes.
        patience_s: how long to resolve a lost answer, in seconds.
    """

    def __init__(
        self,
        *,
        objects: Objects,
        prefix: str,
        writer: str,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        patience_s: float = 2.0,
    ) -> None:
        self._objects = objects
        self._prefix = prefix
        self._segment_bytes = segment_bytes
        self._writer = ConditionalWriter(
            objects=objects, writer=writer, patience_s=patience_s
        )
        self._epoch = 0
        self._index = 0
        self._snapshot: ObjectSnapshot = ABSENT
        self._entries: list[bytes] = []
        self._closed = True

    def open(self, *, epoch: int) -> list[bytes]:
        """Takes over the journal and returns all entries, oldest first.

        Raises:
            FencedError: a writer with a higher epoch has the journal.
            AppendOutcomeUnknownError: it is unknown whether the takeover took effect;
                open the journal again.
            PlatformError: the object API does not answer.
        """
        self._closed = True
        entries: list[bytes] = []
        last = Segment(epoch=0, sealed=True, entries=())
        self._index, self._snapshot = 0, ABSENT
        keys = self._objects.list_keys(self._prefix + "/")
        for key in keys:
            snapshot = read_object(self._objects, key)
            value = snapshot.open()
            if value is None:
                continue
            last = msgspec.json.decode(value, type=Segment)
            entries += last.entries
            self._index, self._snapshot = int(key.rpartition("/")[2]), snapshot
        if last.epoch > epoch:
            raise FencedError(self._prefix)
        self._epoch = epoch
        if last.sealed:
            self._start_segment()
        else:
            self._entries = list(last.entries)
        # Written even without entries, so that appends of the previous writer fail.
        self._store(sealed=False)
        self._closed = False
        return entries

    def append(self, entries: list[bytes]) -> None:
        """Appends entries durably and atomically.

        Raises:
            FencedError: another writer took over; nothing was appended.
            AppendOutcomeUnknownError: it is unknown whether the entries were appended;
                the journal is closed until `open` is called.
        """
        check_invariant("journal_open", not self._closed, prefix=self._prefix)
        size = sum(map(len, self._entries)) + sum(map(len, entries))
        self._entries += entries
        sealed = size >= self._segment_bytes
        self._store(sealed=sealed)
        if sealed:
            self._start_segment()

    def drop_segments(self, *, keep_from: float) -> int:
        """Deletes sealed segments whose entries are all older than `keep_from`.

        The time of an entry is its second element, as in `policy.ledger.Entry`.

        Returns:
            The number of deleted segments.
        """
        n_dropped = 0
        for key in self._objects.list_keys(self._prefix + "/")[:-1]:
            snapshot = read_object(self._objects, key)
            value = snapshot.open()
            if value is None:
                continue
            segment = msgspec.json.decode(value, type=Segment)
            times = [msgspec.msgpack.decode(e)[1] for e in segment.entries]
            if not segment.sealed or (times and max(times) >= keep_from):
                break
            self._objects.delete(key, version=snapshot.version)
            n_dropped += 1
        return n_dropped

    def _start_segment(self) -> None:
        self._index += 1
        self._snapshot = ABSENT
        self._entries = []

    def _store(self, *, sealed: bool) -> None:
        segment = Segment(
            epoch=self._epoch, sealed=sealed, entries=tuple(self._entries)
        )
        key = f"{self._prefix}/{self._index:08d}"
        outcome = self._writer.write(
            key, msgspec.json.encode(segment), over=self._snapshot
        )
        if outcome.verdict is Verdict.WRITTEN and outcome.snapshot is not None:
            self._snapshot = outcome.snapshot
            return
        self._closed = True
        if outcome.verdict is Verdict.NOT_WRITTEN and outcome.snapshot is not None:
            raise FencedError(self._prefix)
        # A refused write certainly had no effect, but the entries in memory differ from
        # those stored, so the journal must be reopened in this case as well.
        raise AppendOutcomeUnknownError(self._prefix)
