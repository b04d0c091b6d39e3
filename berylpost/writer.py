"""Conditional writes that determine their outcome when an answer is lost.

Each value is wrapped in an `Envelope` with the stamp (writer and sequence number)
of its write and of the last few writes before it. After a lost answer the writer
repeats the same conditional write, which is safe because both name the same
version, and reads the object. If the stamp of the write is the newest one, the
write took effect. If it is in the history, the write took effect and later writes
were based on it. If it is missing from a complete history, the write did not take
effect. The outcome is never guessed.

Example:
    >>> writer = ConditionalWriter(objects=objects, writer="dd-1.8f2c")
    >>> outcome = writer.write("leases/planner", b"{}", over=ABSENT)
    >>> outcome.verdict
    <Verdict.WRITTEN: 'written'>
"""

import base64
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec

from .errors import LostAnswerError, PlatformError
from .platform.objects import Objects

HISTORY_LENGTH: Final = 8
RETRY_PAUSE_S: Final = 0.05


class Verdict(StrEnum):
    """The outcome of a conditional write."""

    WRITTEN = "written"
    SUPERSEDED = "superseded"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


class Stamp(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identifies a write by its writer and that writer's sequence number."""

    writer: str
    sequence: int


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A stored value with the stamps of its write and of the last writes before it."""

    stamp: Stamp
    history: tuple[Stamp, ...]
    value: str

    def open(self) -> bytes:
        """Returns the decoded value."""
        return base64.b64decode(self.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectSnapshot:
    """An object as it was read: its version and its envelope, if it exists."""

    version: int
    envelope: Envelope | None

    def open(self) -> bytes | None:
        """Returns the value, or None if the object does not exist."""
        return self.envelope.open() if self.envelope else None


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOutcome:
    """The verdict, and the object as last read or written if that is known."""

    verdict: Verdict
    snapshot: ObjectSnapshot | None


ABSENT: Final = ObjectSnapshot(version=0, envelope=None)


def read_object(objects: Objects, key: str) -> ObjectSnapshot:
    """Reads an object and decodes its envelope.

    Raises:
        PlatformError: the object API did not answer, or the value is not an envelope.
    """
    stored = objects.read(key)
    if not stored.version:
        return ABSENT
    return ObjectSnapshot(
        version=stored.version, envelope=open_envelope(key, stored.value)
    )


def open_envelope(key: str, value: bytes) -> Envelope:
    """Decodes an envelope.

    Raises:
        PlatformError: the value is not an envelope.
    """
    try:
        return msgspec.json.decode(value, type=Envelope)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"{key}: not an envelope: {error}") from error


class ConditionalWriter:
    """Replaces objects that are unchanged since they were read.

    Create one for each process and use.

    Args:
        objects: the object API.
        writer: id of the writer, unique across all processes and restarts.
        patience_s: how long to resolve a lost answer before the verdict is `UNKNOWN`,
            in seconds.
        clock: returns monotonic seconds.
        pause: waits a number of seconds.
    """

    def __init__(
        self,
        *,
        objects: Objects,
        writer: str,
        patience_s: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._objects = objects
        self._writer = writer
        self._patience_s = patience_s
        self._clock = clock
        self._pause = pause
        self._sequence = 0

    def write(self, key: str, value: bytes, *, over: ObjectSnapshot) -> WriteOutcome:
        """Writes `value` if the object is still at the version of `over`.

        Args:
            key: key of the object.
            value: the new value, without envelope.
            over: the snapshot that the new value is based on; `ABSENT` to create the
                object.

        Returns:
            The outcome; its verdict is `UNKNOWN` if the object API did not answer in
            time.
        """
        self._sequence += 1
        stamp = Stamp(writer=self._writer, sequence=self._sequence)
        envelope = Envelope(
            stamp=stamp,
            history=_extend_history(over.envelope),
            value=base64.b64encode(value).decode(),
        )
        data = msgspec.json.encode(envelope)
        deadline = self._clock() + self._patience_s
        in_doubt = False
        while True:
            try:
                result = self._objects.write(key, data, version=over.version)
            except LostAnswerError:
                in_doubt = True
            except PlatformError:
                # This attempt certainly had no effect, but an earlier one may still
                # take effect.
                if not in_doubt:
                    return WriteOutcome(verdict=Verdict.NOT_WRITTEN, snapshot=None)
            else:
                if isinstance(result, int):
                    snapshot = ObjectSnapshot(version=result, envelope=envelope)
                    return WriteOutcome(verdict=Verdict.WRITTEN, snapshot=snapshot)
                return self._resolve_conflict(key, stamp, over, in_doubt, deadline)
            if self._clock() >= deadline:
                return WriteOutcome(verdict=Verdict.UNKNOWN, snapshot=None)
            self._pause(RETRY_PAUSE_S)

    def _resolve_conflict(
        self,
        key: str,
        stamp: Stamp,
        over: ObjectSnapshot,
        in_doubt: bool,
        deadline: float,
    ) -> WriteOutcome:
        """Tells a conflict with an earlier attempt of this write from a true one."""
        while True:
            try:
                snapshot = read_object(self._objects, key)
                break
            except PlatformError:
                if self._clock() >= deadline:
                    verdict = Verdict.UNKNOWN if in_doubt else Verdict.NOT_WRITTEN
                    return WriteOutcome(verdict=verdict, snapshot=None)
                self._pause(RETRY_PAUSE_S)
        verdict = (
            classify_write(stamp, over, snapshot) if in_doubt else Verdict.NOT_WRITTEN
        )
        return WriteOutcome(verdict=verdict, snapshot=snapshot)


def _extend_history(envelope: Envelope | None) -> tuple[Stamp, ...]:
    if envelope is None:
        return ()
    return (*envelope.history, envelope.stamp)[-HISTORY_LENGTH:]


def classify_write(
    stamp: Stamp, over: ObjectSnapshot, snapshot: ObjectSnapshot
) -> Verdict:
    """Determines from the stored object whether an earlier write took effect.

    Args:
        stamp: stamp of the write whose outcome is unknown.
        over: the snapshot that the write was based on.
        snapshot: the object as read after a conflict.
    """
    if snapshot.envelope is None:
        # The object was deleted; whether before or after the write is unknown.
        return Verdict.UNKNOWN
    if snapshot.envelope.stamp == stamp:
        return Verdict.WRITTEN
    if stamp in snapshot.envelope.history:
        return Verdict.SUPERSEDED
    if over.envelope is None:
        complete = len(snapshot.envelope.history) < HISTORY_LENGTH
    else:
        complete = over.envelope.stamp in snapshot.envelope.history
    return Verdict.NOT_WRITTEN if complete else Verdict.UNKNOWN
