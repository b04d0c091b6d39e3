"""Leases with fencing epochs, stored as objects in the platform's object API.

A lease avoids duplicate work; it does not ensure safety. A holder that was paused
may resume at any line while it still assumes that it holds the lease. Its actions
must therefore carry the epoch to a component that rejects older epochs: a
conditional write or the fence of an engine. Wall clocks are never compared: a
holder measures the term from before it sent its request, and an observer from when
it first read the current version.

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

# Share of the lease term by which a holder stops early, for clock drift and pauses.
SAFETY_MARGIN_SHARE: Final = 0.2


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A lease as it is stored; an empty holder means that it was released."""

    holder: str
    epoch: int
    duration_s: float


class Lease:
    """One holder's view of one lease.

    Args:
        objects: the object API.
        key: key of the lease object.
        holder: id of the holder, unique across all processes and restarts.
        duration_s: time after which a lease that is not renewed expires, in seconds.
        clock: returns monotonic seconds.
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
        self._snapshot: ObjectSnapshot = ABSENT
        self._first_seen_at = clock()
        self._writer = ConditionalWriter(
            objects=objects,
            writer=holder,
            patience_s=duration_s / 4,
            clock=clock,
            pause=pause,
        )

    def is_held(self) -> bool:
        """Tells whether this holder may still act; allows for the safety margin."""
        return self._clock() < self._held_until

    def read_holder(self) -> str:
        """Returns the holder as last read; empty if released or never acquired."""
        record = self._decode()
        return record.holder if record else ""

    def try_hold(self, *, holder_is_gone: bool = False) -> bool:
        """Acquires or renews the lease if it is available.

        Args:
            holder_is_gone: whether the current holder is dead or has left according to
                the membership, so that its term need not expire first. If this is
                wrong, the holder loses its lease, but safety is not affected.

        Returns:
            Whether this holder holds the lease now.
        """
        requested_at = self._clock()
        if not self.is_held():
            try:
                self._refresh()
            except PlatformError:
                return False
        record = self._decode()
        is_own = record is not None and record.holder == self._holder
        if record and record.holder and not is_own:
            expired = self._clock() - self._first_seen_at > record.duration_s
            if not expired and not holder_is_gone:
                return False
        epoch = record.epoch if record else 0
        if not is_own or not self.is_held():
            # For every fence, a holder that returns after a lapse is a new holder.
            epoch += 1
        return self._write(self._holder, epoch, requested_at)

    def release(self) -> None:
        """Releases the lease, so that a successor need not wait for it to expire."""
        if not self.is_held():
            return
        self._held_until = 0.0
        self._write("", self.epoch, self._clock())
        self._held_until = 0.0

    def _refresh(self) -> None:
        snapshot = read_object(self._objects, self._key)
        if snapshot.version != self._snapshot.version:
            self._snapshot = snapshot
            self._first_seen_at = self._clock()

    def _decode(self) -> LeaseRecord | None:
        value = self._snapshot.open()
        if value is None:
            return None
        return msgspec.json.decode(value, type=LeaseRecord)

    def _write(self, holder: str, epoch: int, requested_at: float) -> bool:
        record = LeaseRecord(holder=holder, epoch=epoch, duration_s=self._duration_s)
        value = msgspec.json.encode(record)
        outcome = self._writer.write(self._key, value, over=self._snapshot)
        if (
            outcome.snapshot is not None
            and outcome.snapshot.version != self._snapshot.version
        ):
            self._snapshot = outcome.snapshot
            self._first_seen_at = self._clock()
        if outcome.verdict is not Verdict.WRITTEN:
            # A refused renewal ends the lease at once; an unanswered one leaves it to
            # expire at the end of its term.
            if outcome.snapshot is not None:
                self._held_until = 0.0
            return self.is_held()
        self.epoch = epoch
        self._held_until = requested_at + self._duration_s * (1 - SAFETY_MARGIN_SHARE)
        return True
