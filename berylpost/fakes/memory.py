"""The object API in memory, with a fault that a test chooses for each call.

Unlike `objects` it needs no socket. A call may be lost before or after its effect or
may take effect later, and other users of the store may make calls before and after it;
this is how a test simulates a pause at any line.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum

from ..errors import LostAnswerError, PlatformError
from ..platform.objects import Conflict, StoredObject


class CallFault(StrEnum):
    """What happens to one call.

    Attributes:
        NONE: the call is answered.
        REFUSED: the call fails without effect.
        LOST_BEFORE: the call is lost before it takes effect.
        LOST_AFTER: the call takes effect, and its response is lost.
        LATE: the call is unanswered, and a write takes effect later.
    """

    NONE = "none"
    REFUSED = "refused"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


class MemoryObjects:
    """Objects in a dictionary.

    Args:
        choose_fault: returns the fault of a call, given `read`, `write` or `list`.
        interleave: called before a read or write takes effect, and again after a
            write; may make calls of other users of the same store and advance their
            clocks.

    Attributes:
        values: version and value of each object by key.
        n_calls: calls so far.
        n_writes: calls of `write` so far.
    """

    def __init__(
        self,
        *,
        choose_fault: Callable[[str], CallFault] = lambda _kind: CallFault.NONE,
        interleave: Callable[[], None] = lambda: None,
    ) -> None:
        self.values: dict[str, tuple[int, bytes]] = {}
        self.n_calls = 0
        self.n_writes = 0
        self.choose_fault = choose_fault
        self.interleave = interleave
        self._version = 0
        self._delayed_writes: list[tuple[str, bytes, int]] = []

    def read(self, key: str) -> StoredObject:
        """Reads one object; see `Objects.read`."""
        self.n_calls += 1
        fault = self.choose_fault("read")
        self.interleave()
        if fault is CallFault.REFUSED:
            raise PlatformError("refused")
        if fault is not CallFault.NONE:
            raise LostAnswerError("read lost")
        version, value = self.values.get(key, (0, b""))
        return StoredObject(version=version, value=value)

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes if the object is at `version`; see `Objects.write`."""
        self.n_calls += 1
        self.n_writes += 1
        fault = self.choose_fault("write")
        self.interleave()
        if fault is CallFault.REFUSED:
            raise PlatformError("refused")
        if fault is CallFault.LOST_BEFORE:
            raise LostAnswerError("write lost before it took effect")
        if fault is CallFault.LATE:
            self._delayed_writes.append((key, value, version))
            raise LostAnswerError("write delayed")
        result = self._apply(key, value, version)
        self.interleave()
        if fault is CallFault.LOST_AFTER:
            raise LostAnswerError("response lost after the write took effect")
        return result

    def _apply(self, key: str, value: bytes, version: int) -> int | Conflict:
        current = self.values.get(key, (0, b""))[0]
        if current != version:
            return Conflict(version=current)
        self._version += 1
        self.values[key] = (self._version, value)
        return self._version

    def apply_delayed_writes(self) -> None:
        """Applies the delayed writes in the order in which they were made."""
        delayed_writes, self._delayed_writes = self._delayed_writes, []
        for key, value, version in delayed_writes:
            self._apply(key, value, version)

    def delete(self, key: str, *, version: int) -> None:
        """Deletes if the object is at `version`; see `Objects.delete`."""
        self.n_calls += 1
        if self.values.get(key, (0, b""))[0] == version:
            self.values.pop(key, None)

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order; see `Objects.list_keys`."""
        self.n_calls += 1
        if self.choose_fault("list") is not CallFault.NONE:
            raise PlatformError("refused")
        return sorted(key for key in self.values if key.startswith(prefix))

    def watch(
        self, prefix: str, should_continue: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields the current objects and ends, without waiting for changes."""
        for key, (version, value) in sorted(self.values.items()):
            if key.startswith(prefix) and should_continue():
                yield key, StoredObject(version=version, value=value)
