"""What a planner has seen of a deployment's engines.

Only what was observed is evidence that an engine is gone: the time in which the planner
read no engine, as in an outage of the object API, is not counted as silence, and an
engine that still answers is not gone because the list of VMs leaves it out.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final

from .platform.cloud import Vm

# Longest time between two rounds in which silence goes on; three periods of the
# planner, and half of the silence after which an engine is replaced.
MAX_UNOBSERVED_S: Final = 4.0


class EngineSightings:
    """Which engines answered in a planner's rounds, and since when others are silent.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._answering: dict[str, Vm] = {}
        self._silent_since: dict[str, float] = {}
        self._round_ended_at = 0.0

    def begin_round(
        self,
        listed: Iterable[Vm],
        *,
        taken_addresses: Collection[str],
        is_answering: Callable[[Vm], bool],
        now: float,
    ) -> list[Vm]:
        """Begins a round; silence begins anew if no engine was read for some time.

        Args:
            listed: engines of the deployment in the list of VMs.
            taken_addresses: addresses of all VMs in the list, also those of other
                deployments.
            is_answering: asks an engine; called for those that the list leaves out.
            now: monotonic seconds.

        Returns:
            The listed engines, and those that the list leaves out but that answer.
        """
        if now - self._round_ended_at > MAX_UNOBSERVED_S:
            self._silent_since.clear()
        engines = list(listed)
        ids = {vm.id for vm in engines}
        engines += [
            vm
            for vm in self._answering.values()
            if vm.id not in ids
            # The address of a VM that has ended may be another one's now.
            and vm.address not in taken_addresses
            and is_answering(vm)
        ]
        present = {vm.id for vm in engines}
        self._answering = {i: v for i, v in self._answering.items() if i in present}
        return engines

    def end_round(self, now: float) -> None:
        """Records that all engines have been read."""
        self._round_ended_at = now

    def excuse(self, duration_s: float) -> None:
        """Excludes a time from that in which no engine was read.

        Rounds of several deployments take turns, and one with silent engines waits for
        each of them. Since such a round succeeds, it is no outage of the object API.
        """
        self._round_ended_at += duration_s

    def record(self, vm: Vm, *, answered: bool, now: float) -> None:
        """Records whether an engine has answered."""
        if answered:
            self._answering[vm.id] = vm
            self._silent_since.pop(vm.id, None)
        elif vm.id in self._answering:
            self._silent_since.setdefault(vm.id, now)

    def forget(self, vm_id: str) -> None:
        """Forgets an engine that the planner has terminated."""
        self._answering.pop(vm_id, None)
        self._silent_since.pop(vm_id, None)

    def read_silence_s(self, vm_id: str, now: float) -> float:
        """Returns for how long an engine that answered before has been silent."""
        return now - self._silent_since.get(vm_id, now)
