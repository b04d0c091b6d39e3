"""Conditional writes whose lost answers are resolved, never guessed.

Each value is wrapped in an `Envelope` that names its writer and sequence and the
last few writes before it. After a lost answer the writer repeats the same
conditional write, which is harmless because both name the same version, and reads
back: found as the newest, it took effect; found in the history, it took effect
and was built upon; absent from a complete history, it did not.

Example:
    >>> writer = ConditionalWriter(objects=objects, writer="dd-1.8f2c")
    >>> outcome = writer.write("leases/planner", b"{}", version=0, seen=None)
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

HISTORY: Final = 8
RETRY_PAUSE_S: Final = 0.05


class Verdict(StrEnum):
    """What became of a conditional write."""

    WRITTEN = "written"
    SUPERSEDED = "superseded"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


class Stamp(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Names one write: its writer and that writer's sequence number."""

    writer: str
    sequence: int


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A stored value with the stamp of its write and of the last ones before."""

    stamp: Stamp
    history: tuple[Stamp, ...]
    value: str

    def open(self) -> bytes:
        """Returns the value inside."""
        return base64.b64decode(self.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectSnapshot:
    """An object as it was read: its version and, if there is one, its envelope."""

    version: int
    envelope: Envelope | None

    def open(self) -> bytes | None:
        """Returns the value, or None when there is no object."""
        return self.envelope.open() if self.envelope else None


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOutcome:
    """The verdict, and the object as last seen where it is known."""

    verdict: Verdict
    snapshot: ObjectSnapshot | None


ABSENT: Final = ObjectSnapshot(version=0, envelope=None)


def read_object(objects: Objects, key: str) -> ObjectSnapshot:
    """Reads an enveloped object.

    Raises:
        PlatformError: the object API did not answer, or the value is not ours.
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
        PlatformError: the value is not one.
    """
    try:
        return msgspec.json.decode(value, type=Envelope)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"{key}: not an envelope: {error}") from error


class ConditionalWriter:
    """Writes over what was seen; one per process and use.

    Args:
        objects: the object API.
        writer: unique over all processes and restarts.
        patience_s: how long to resolve a lost answer before `UNKNOWN`.
        clock: monotonic seconds.
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
        """Writes `value` if the object is still as it was seen in `over`.

        Args:
            key: of the object.
            value: the new value, without envelope.
            over: what the new value was made from; `ABSENT` to create.

        Returns:
            The verdict; `UNKNOWN` when the object API stayed silent too long.
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
                # Certainly without effect, but an earlier try may still land.
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
        """Tells a conflict with oneself, after a lost answer, from a true one."""
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
            judge_write(stamp, over, snapshot) if in_doubt else Verdict.NOT_WRITTEN
        )
        return WriteOutcome(verdict=verdict, snapshot=snapshot)


def _extend_history(envelope: Envelope | None) -> tuple[Stamp, ...]:
    if envelope is None:
        return ()
    return (*envelope.history, envelope.stamp)[-HISTORY:]


def judge_write(
    stamp: Stamp, over: ObjectSnapshot, snapshot: ObjectSnapshot
) -> Verdict:
    """Judges from what is stored now whether an earlier write took effect.

    Args:
        stamp: of the write in doubt.
        over: what it was written over.
        snapshot: what the object API holds after a conflict.
    """
    if snapshot.envelope is None:
        # Deleted since; whether before or after the write cannot be told.
        return Verdict.UNKNOWN
    if snapshot.envelope.stamp == stamp:
        return Verdict.WRITTEN
    if stamp in snapshot.envelope.history:
        return Verdict.SUPERSEDED
    if over.envelope is None:
        complete = len(snapshot.envelope.history) < HISTORY
    else:
        complete = over.envelope.stamp in snapshot.envelope.history
    return Verdict.NOT_WRITTEN if complete else Verdict.UNKNOWN
