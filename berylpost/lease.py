"""Leases with fencing numbers, kept as objects in the platform's object API.

A lease saves work; it does not give safety. A holder that was paused may wake at
any line still believing that it holds, so whatever it does must carry the epoch
to something that refuses older ones: a conditional write or an engine's fence.
No wall clock is compared: a holder counts from before its request was sent, and
an observer from when it first saw the present version.

Example:
    >>> lease = Lease(objects=objects, key="leases/planner", holder="dd-1", ...)
    >>> if lease.try_hold() and lease.is_held():
    ...     send_order(fence=lease.epoch)
"""

import time
from collections.abc import Callable
from typing import Final

import msgspec

from .errors import PlatformError
from .platform.objects import Objects
from .writer import ABSENT, ConditionalWriter, ObjectSnapshot, Verdict, read_object

MARGIN_SHARE: Final = 0.2  # of the lease, given up early for clock drift and pauses


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The stored lease; an empty holder means that it was released."""

    holder: str
    epoch: int
    duration_s: float


class Lease:
    """One holder's view of one lease.

    Args:
        objects: the object API.
        key: of the lease object.
        holder: unique over all processes and restarts.
        duration_s: how long a holder may be silent, in seconds.
        clock: monotonic seconds.
        pause: waits a number of seconds; used while a lost answer is resolved.
    """

    def __init__(
        self,
        *,
        objects: Objects,
        key: str,
        holder: str,
        duration_s: float,
        clock: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self.epoch = 0
        self._objects = objects
        self._key = key
        self._holder = holder
        self._duration_s = duration_s
        self._clock = clock
        self._held_until = 0.0
        self._seen: ObjectSnapshot = ABSENT
        self._seen_since = clock()
        self._writer = ConditionalWriter(
            objects=objects,
            writer=holder,
            patience_s=duration_s / 4,
            clock=clock,
            pause=pause,
        )

    def is_held(self) -> bool:
        """Tells whether this holder may still act, margin included."""
        return self._clock() < self._held_until

    def read_holder(self) -> str:
        """Returns the holder as last seen; empty when released or never taken."""
        record = self._decode()
        return record.holder if record else ""

    def try_hold(self, *, holder_is_gone: bool = False) -> bool:
        """Takes or renews the lease if it may be had.

        Args:
            holder_is_gone: membership says that the present holder is dead or has
                left, so its term need not run out. Wrong news costs the old holder
                its lease, never safety.

        Returns:
            Whether it is held now.
        """
        asked_at = self._clock()
        if not self.is_held():
            try:
                self._observe()
            except PlatformError:
                return False
        record = self._decode()
        mine = record is not None and record.holder == self._holder
        if record and record.holder and not mine:
            lapsed = self._clock() - self._seen_since > record.duration_s
            if not lapsed and not holder_is_gone:
                return False
        epoch = record.epoch if record else 0
        if not mine or not self.is_held():
            # Whoever comes back after a lapse is a new holder to every fence.
            epoch += 1
        return self._write(self._holder, epoch, asked_at)

    def release(self) -> None:
        """Gives the lease back, so that a successor need not wait."""
        if not self.is_held():
            return
        self._held_until = 0.0
        self._write("", self.epoch, self._clock())
        self._held_until = 0.0

    def _observe(self) -> None:
        snapshot = read_object(self._objects, self._key)
        if snapshot.version != self._seen.version:
            self._seen = snapshot
            self._seen_since = self._clock()

    def _decode(self) -> LeaseRecord | None:
        value = self._seen.open()
        if value is None:
            return None
        return msgspec.json.decode(value, type=LeaseRecord)

    def _write(self, holder: str, epoch: int, asked_at: float) -> bool:
        record = LeaseRecord(holder=holder, epoch=epoch, duration_s=self._duration_s)
        value = msgspec.json.encode(record)
        outcome = self._writer.write(self._key, value, over=self._seen)
        if (
            outcome.snapshot is not None
            and outcome.snapshot.version != self._seen.version
        ):
            self._seen = outcome.snapshot
            self._seen_since = self._clock()
        if outcome.verdict is not Verdict.WRITTEN:
            # A refused renewal ends the hold; an unanswered one lets it run out.
            if outcome.snapshot is not None:
                self._held_until = 0.0
            return self.is_held()
        self.epoch = epoch
        self._held_until = asked_at + self._duration_s * (1 - MARGIN_SHARE)
        return True
