"""The object API in memory, with faults chosen step by step by a test.

Unlike `objects` it needs no socket: one call may be lost before or after its
effect, may land late, or may let others act in between, which is how a test
brings about a pause at any line.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum

from ..errors import LostAnswerError, PlatformError
from ..platform.objects import Conflict, StoredObject


class CallFault(StrEnum):
    """What happens to one call."""

    NONE = "none"
    REFUSED = "refused"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


class MemoryObjects:
    """Objects in a dictionary.

    Args:
        choose_fault: asked before each call.
        interleave: called before and after each call takes effect; may call into
            other users of the same store and advance their clocks.
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
        self._late: list[tuple[str, bytes, int]] = []

    def read(self, key: str) -> StoredObject:
        """Reads one object."""
        self.n_calls += 1
        fault = self.choose_fault("read")
        self.interleave()
        if fault is CallFault.REFUSED:
            raise PlatformError("refused")
        if fault is not CallFault.NONE:
            raise LostAnswerError("lost")
        version, value = self.values.get(key, (0, b""))
        return StoredObject(version=version, value=value)

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes if the object is at `version`."""
        self.n_calls += 1
        self.n_writes += 1
        fault = self.choose_fault("write")
        self.interleave()
        if fault is CallFault.REFUSED:
            raise PlatformError("refused")
        if fault is CallFault.LOST_BEFORE:
            raise LostAnswerError("lost before it arrived")
        if fault is CallFault.LATE:
            self._late.append((key, value, version))
            raise LostAnswerError("on its way")
        result = self._apply(key, value, version)
        self.interleave()
        if fault is CallFault.LOST_AFTER:
            raise LostAnswerError("lost after the effect")
        return result

    def _apply(self, key: str, value: bytes, version: int) -> int | Conflict:
        current = self.values.get(key, (0, b""))[0]
        if current != version:
            return Conflict(version=current)
        self._version += 1
        self.values[key] = (self._version, value)
        return self._version

    def apply_delayed_writes(self) -> None:
        """Lets writes that were on their way arrive, in order."""
        late, self._late = self._late, []
        for key, value, version in late:
            self._apply(key, value, version)

    def delete(self, key: str, *, version: int) -> None:
        """Deletes if the object is at `version`."""
        self.n_calls += 1
        if self.values.get(key, (0, b""))[0] == version:
            self.values.pop(key, None)

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order."""
        self.n_calls += 1
        if self.choose_fault("list") is not CallFault.NONE:
            raise PlatformError("refused")
        return sorted(key for key in self.values if key.startswith(prefix))

    def watch(
        self, prefix: str, is_wanted: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields what is there now; there is nothing to wait for."""
        for key, (version, value) in sorted(self.values.items()):
            if key.startswith(prefix) and is_wanted():
                yield key, StoredObject(version=version, value=value)
