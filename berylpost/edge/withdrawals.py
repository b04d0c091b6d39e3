"""Servers that had left or been removed when the store came back from an older copy.

The copy may show their entries as they were before. They are withheld until their
writers have written them again, or had time to let them expire.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..logs import log_event
from ..policy.store_era import may_be_copy
from .model import Backend, BackendState

LOGGER: Final = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class _Withdrawal:
    """An entry that was removed, or said that its server leaves, in an earlier era.

    Attributes:
        revision: revision of that change.
        first_seen: revision at which the entry was first seen in the present era.
    """

    revision: int
    first_seen: int | None = None


class Withdrawals:
    """The entries that are withheld in the present era of the store."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Withdrawal] = {}

    def __len__(self) -> int:
        """Returns the number of servers that are withheld if the copy has them."""
        return len(self._by_name)

    def begin_era(self, withdrawn: Mapping[str, int]) -> None:
        """Adds what was withdrawn in the era that has ended.

        Args:
            withdrawn: revision of each removal or notice, by name of the entry.
        """
        for withdrawal in self._by_name.values():
            withdrawal.first_seen = None
        for name, revision in withdrawn.items():
            self._by_name[name] = _Withdrawal(revision=revision)

    def withholds(self, backend: Backend, revision: int) -> bool:
        """Tells whether an entry may show what its server was before it left.

        Args:
            backend: the server as its entry has it.
            revision: revision of the entry in the present era.
        """
        withdrawal = self._by_name.get(backend.id)
        if withdrawal is None:
            return False
        if backend.state is BackendState.READY and may_be_copy(
            revision,
            withdrawn_at=withdrawal.revision,
            first_seen=withdrawal.first_seen,
        ):
            if withdrawal.first_seen is None:
                withdrawal.first_seen = revision
                log_event(
                    LOGGER, "entry_withheld", backend=backend.id, revision=revision
                )
            return True
        del self._by_name[backend.id]
        return False

    def release_all(self) -> list[str]:
        """Withholds nothing any more; returns the names of the entries concerned."""
        names = list(self._by_name)
        self._by_name.clear()
        return names
