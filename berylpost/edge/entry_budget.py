"""The memory that the entries of backend servers may take.

Any writer may store entries, of any number and size. Those of servers that the
configuration names are given up last, and of these the largest first.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

# Share of the process's memory; on a machine of 160 MB it holds 10,000 entries.
ENTRY_SHARE: Final = 0.25
# Bytes of memory for an entry beside its texts: its fields as read and as used, its
# place in each table, and the record of its server with its connection pool.
ENTRY_BYTES: Final = 4_096
MAX_TEXT_COPIES: Final = 2  # as read, and as passed on to another daemon


def measure_entry(name: str, spec: Mapping[str, Any]) -> int:
    """Returns the memory that a reduced entry takes, in bytes."""
    texts = [name, *(value for value in spec.values() if isinstance(value, str))]
    return ENTRY_BYTES + MAX_TEXT_COPIES * sum(map(len, texts))


class EntryBudget:
    """Bytes that the entries of backend servers take.

    Args:
        memory_bytes: memory that the process may use.

    Attributes:
        limit: bytes that all entries may take.
        n_held: bytes that they take.
    """

    def __init__(self, *, memory_bytes: float) -> None:
        self.limit = memory_bytes * ENTRY_SHARE
        self.n_held = 0
        self._sizes: dict[str, int] = {}

    def hold(self, name: str, spec: Mapping[str, Any]) -> None:
        """Counts an entry in place of an earlier one of the same name."""
        self.release(name)
        self._sizes[name] = measure_entry(name, spec)
        self.n_held += self._sizes[name]

    def release(self, name: str) -> None:
        """Releases an entry, if it is counted."""
        self.n_held -= self._sizes.pop(name, 0)

    def choose_losers(self, is_wanted: Callable[[str], bool]) -> list[str]:
        """Chooses the entries to give up so that the others keep the limit.

        Args:
            is_wanted: tells whether the configuration names an entry's service.
        """
        excess = self.n_held - self.limit
        if excess <= 0:
            return []
        losers = []
        for name in sorted(
            self._sizes, key=lambda n: (is_wanted(n), -self._sizes[n], n)
        ):
            losers.append(name)
            excess -= self._sizes[name]
            if excess <= 0:
                break
        return losers
