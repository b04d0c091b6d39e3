"""Measures membership and gossip between many peers tasks in one process.

Each member is a real `PeersTask` with its own sockets, over loopback, and its own
thread. The members share a process and a ZeroMQ context, so the CPU time of a member
is that of the process divided by the number of members.
"""

import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any, Final

import msgspec
import zmq

from ..kernel import Context
from ..metrics import REGISTRY
from ..peers import (
    AnnounceConfigurationNumbers,
    ConfigurationNumbersReceived,
    PeersTask,
)
from ..settings import parse_settings
from .catalogue import Result
from .fleet import HOST, find_free_ports, wait_until

SIZES: Final = (8, 32, 64, 128)  # members; a region has 122 at the planned capacity
SETTLE_TIMEOUT_S: Final = 90.0
STEADY_S: Final = 10.0
DETECT_TIMEOUT_S: Final = 40.0
N_STOPPED: Final = 3
N_CHANGES: Final = 5
IN_FORCE_BOUND_S: Final = 15.0  # from the users' requirements
CONTROL_BYTES_BOUND: Final = 8_192.0
CONTROL_CORE_BOUND: Final = 0.039


class _NumberListener:
    """Fakes the configurations task: records new numbers and announces them again."""

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self.arrivals: dict[int, float] = {}

    def post(self, message: Any) -> None:
        """Handles configuration numbers that a neighbour announced."""
        if isinstance(message, ConfigurationNumbersReceived):
            number = dict(message.numbers)["d"]
            if number not in self.arrivals:
                self.arrivals[number] = time.monotonic()
                numbers = (("d", number),)
                self._context.post(
                    "peers", AnnounceConfigurationNumbers(numbers=numbers)
                )

    def start(self) -> None:
        """Does nothing: the listener has no thread."""

    def stop(self) -> None:
        """Does nothing: the listener has no thread."""


class PeerGroup:
    """A group of members in one process.

    Args:
        n_members: number of members.
        loss: share of the messages that their senders drop.
        random_state: source of the drops and of the members' own random states.
    """

    def __init__(
        self, *, n_members: int, loss: float, random_state: random.Random
    ) -> None:
        self._zmq = zmq.Context(io_threads=2)
        self._zmq.set(zmq.MAX_SOCKETS, 65_000)
        endpoints = [f"{HOST}:{port}" for port in find_free_ports(n_members)]
        self.members: list[PeersTask] = []
        self.listeners: list[_NumberListener] = []
        self._running: list[bool] = []
        self._random = random_state
        for n, endpoint in enumerate(endpoints):
            context = self._make_context(n, endpoint, endpoints[:3])
            listener = _NumberListener(context=context)
            context.tasks["configurations"] = listener
            task = PeersTask(
                context=context,
                random_state=random.Random(random_state.random()),
                should_drop=self._make_drop_rule(loss),
                zmq_context=self._zmq,
            )
            context.tasks["peers"] = task
            self.members.append(task)
            self.listeners.append(listener)
            self._running.append(False)

    def _make_context(self, n: int, endpoint: str, seeds: list[str]) -> Context:
        unreachable_url = f"http://{HOST}:9"
        document = {
            "daemon": {
                "id": f"m{n}",
                "region": "r",
                "zone": f"z{n % 3}",
                "deployments": ["d"],
            },
            "listen": {"http": f"{HOST}:9", "peers": endpoint},
            "platform": {p: unreachable_url for p in ("objects", "cloud", "weights")},
            "peers": {"seeds": seeds},
        }
        text = msgspec.json.encode(document).decode()
        settings = parse_settings(text, source="herd")
        return Context(settings=settings, process_id=f"m{n}.herd")

    def _make_drop_rule(self, loss: float) -> Callable[[str], bool]:
        return lambda _address: self._random.random() < loss

    def start(self) -> None:
        """Starts all members."""
        for n, member in enumerate(self.members):
            member.start()
            self._running[n] = True

    def stop_member(self, n: int) -> None:
        """Stops a member without telling the others, as a killed process would."""
        if self._running[n]:
            self._running[n] = False
            self.members[n].stop()

    def stop(self) -> None:
        """Stops all members."""
        for n in range(len(self.members)):
            self.stop_member(n)
        self._zmq.destroy(linger=0)

    def read_state(self, observer: int, subject: int) -> str:
        """Returns a member's state as another member sees it, empty if unknown."""
        entry = self.members[observer].members.read().entries.get(f"m{subject}")
        return entry.member.state if entry else ""

    def list_running(self) -> list[int]:
        """Lists the numbers of the running members."""
        return [n for n, running in enumerate(self._running) if running]

    def is_settled(self) -> bool:
        """Tells whether every running member sees all running members as alive."""
        running = self.list_running()
        return all(
            sum(
                e.member.state == "alive"
                for e in self.members[n].members.read().entries.values()
            )
            >= len(running)
            for n in running
        )

    def count_suspects(self) -> int:
        """Counts pairs in which a running member sees another as suspect or dead."""
        running = self.list_running()
        return sum(
            self.read_state(n, subject) in ("suspect", "dead")
            for n in running
            for subject in running
        )


def _read_bytes_out() -> float:
    labels = {"direction": "out"}
    return REGISTRY.get_sample_value("berylpost_peer_bytes_total", labels) or 0.0


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which a share of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_group(n_members: int, loss: float, seed: int) -> dict[str, Any]:
    """Measures steady cost, spread of configuration numbers and failure detection."""
    group = PeerGroup(n_members=n_members, loss=loss, random_state=random.Random(seed))
    try:
        group.start()
        settled_s = wait_until(
            group.is_settled,
            timeout_s=SETTLE_TIMEOUT_S,
            description="all members know all others",
        )
        steady = _measure_steady(group)
        spread = _measure_spread(group)
        detect = _measure_detection(group)
    finally:
        group.stop()
    # `settled_s` is the time until all members knew all others; the members of one
    # process share one core here.
    return {"settled_s": settled_s, **steady, **spread, **detect}


def _measure_steady(group: PeerGroup) -> dict[str, float]:
    n = len(group.members)
    bytes_before, cpu_before = _read_bytes_out(), time.process_time()
    started = time.monotonic()
    n_suspects = 0
    while time.monotonic() - started < STEADY_S:
        time.sleep(1.0)
        n_suspects += group.count_suspects()
    took_s = time.monotonic() - started
    return {
        "bytes_out_a_member_s": (_read_bytes_out() - bytes_before) / n / took_s,
        "core_a_member": (time.process_time() - cpu_before) / n / took_s,
        "wrong_suspicions_seen": n_suspects,
    }


def _measure_spread(group: PeerGroup) -> dict[str, float]:
    delays: list[float] = []
    for number in range(1, N_CHANGES + 1):
        started = time.monotonic()
        group.listeners[0].arrivals[number] = started
        group.members[0].post(AnnounceConfigurationNumbers(numbers=(("d", number),)))

        def is_everywhere(number: int = number) -> bool:
            return all(number in x.arrivals for x in group.listeners)

        wait_until(
            is_everywhere,
            timeout_s=IN_FORCE_BOUND_S,
            description="the number reached all members",
        )
        delays += [x.arrivals[number] - started for x in group.listeners]
    return {"spread_p50_s": percentile(delays, 0.5), "spread_p99_s": max(delays)}


def _measure_detection(group: PeerGroup) -> dict[str, float]:
    n = len(group.members)
    times: list[float] = []
    for stopped in range(n - N_STOPPED, n):
        started = time.monotonic()
        group.stop_member(stopped)
        waiting = set(group.list_running())
        while waiting and time.monotonic() - started < DETECT_TIMEOUT_S:
            time.sleep(0.05)
            detected = {o for o in waiting if group.read_state(o, stopped) == "dead"}
            times += [time.monotonic() - started] * len(detected)
            waiting -= detected
        times += [DETECT_TIMEOUT_S] * len(waiting)
    return {
        "detect_p50_s": statistics.median(times),
        "detect_p99_s": percentile(times, 0.99),
    }


def run_gossip(seed: int, _minutes: float) -> Result:
    """Measures all `SIZES`, and the largest again with a tenth of the messages lost."""
    by_members = {}
    for n in SIZES:
        by_members[n] = measure_group(n, 0.0, seed)
        print(n, by_members[n], file=sys.stderr, flush=True)
    lossy = measure_group(SIZES[-1], 0.1, seed)
    passed = all(
        results["bytes_out_a_member_s"] <= CONTROL_BYTES_BOUND
        and results["core_a_member"] <= CONTROL_CORE_BOUND
        and results["spread_p99_s"] <= IN_FORCE_BOUND_S
        for results in [*by_members.values(), lossy]
    )
    figures = {
        "what": "peers tasks, many in one process",
        "by_members": by_members,
        f"{SIZES[-1]}_members_10_percent_loss": lossy,
    }
    return Result(figures=figures, passed=passed)
