"""Compares admission with baselines on a greedy customer, overload and lost engines."""

from collections import deque
from collections.abc import Callable
from typing import Any, Final

from ..configuration import Customer
from ..policy.admission import (
    Admitted,
    Load,
    QueuedRequest,
    Usage,
    decide_admission,
    find_max_queue_wait,
    list_overdue,
    order_queue,
)
from .catalogue import Result
from .gossip import percentile
from .queueing import (
    BATCH_SLOWDOWN,
    PREFILL_TOKEN_S,
    PROFILES,
    SLOTS,
    TOKEN_S,
    Job,
    Profile,
    QueueSimulation,
    capacity_per_s,
    make_arrivals,
    mean_service_s,
)

TARGET_S: Final = 1.3
GOODPUT_BOUND: Final = 0.9
DURATION_S: Final = 90.0
CUSTOMERS: Final = ("greedy", "b", "c", "d", "e")
SWEEP_INTERVAL_S: Final = 0.1


class _AdmissionGate:
    """A daemon in front of the engines; `mode` selects how it admits requests."""

    def __init__(
        self, *, simulation: QueueSimulation, profile: Profile, mode: str
    ) -> None:
        self.simulation = simulation
        self.mode = mode
        self.service_s = mean_service_s(profile)
        prompt = profile.prefix_tokens[1] + profile.own_tokens[1]
        slowdown = 1 + BATCH_SLOWDOWN
        first_token_s = (prompt * PREFILL_TOKEN_S + TOKEN_S) * slowdown
        self.patience_s = find_max_queue_wait(TARGET_S, first_token_s)
        self.waiting: dict[int, Job] = {}
        self.fifo: deque[Job] = deque()
        self.usage: dict[str, Usage] = {}
        self.refused: list[Job] = []
        self.customers = {
            name: Customer(name=name, tokens=(), rate=1e5, concurrency=100_000)
            for name in CUSTOMERS
        }

    def capacity(self) -> int:
        """Returns the number of slots of the engines that are alive."""
        return SLOTS * sum(engine.alive for engine in self.simulation.engines)

    def count_running(self) -> int:
        """Returns the number of requests at the engines that are alive."""
        return sum(e.load() for e in self.simulation.engines if e.alive)

    def arrive(self, job: Job) -> None:
        """Sends, queues or admits a request, depending on the mode."""
        if self.mode == "none":
            self._send(job)
        elif self.mode == "fifo":
            self.fifo.append(job)
            self.release()
        else:
            self._admit(job)

    def _admit(self, job: Job) -> None:
        name = job.arrival.customer
        used = self.usage.get(name, Usage())
        active = {
            n: self.customers[n].weight
            for n, u in self.usage.items()
            if u.running + u.queued
        }
        decision = decide_admission(
            customer=self.customers[name],
            usage=used,
            weights={**active, name: self.customers[name].weight},
            load=Load(
                running=self.count_running(),
                queued=len(self.waiting),
                capacity=self.capacity(),
                service_s=self.service_s,
                max_streams=100_000,
                max_queue=500,
            ),
            patience_s=self.patience_s,
            now=self.simulation.now,
        )
        if not isinstance(decision, Admitted):
            job.refused = decision.kind
            self.refused.append(job)
            return
        self._change_usage(name, queued=1)
        self.waiting[job.number] = job
        self.release()

    def _change_usage(self, name: str, running: int = 0, queued: int = 0) -> None:
        used = self.usage.get(name, Usage())
        self.usage[name] = Usage(
            running=used.running + running, queued=used.queued + queued
        )

    def _send(self, job: Job) -> None:
        alive_engines = [i for i, e in enumerate(self.simulation.engines) if e.alive]
        best = min(alive_engines, key=lambda i: self.simulation.engines[i].load())
        self.simulation.send(job, best)

    def release(self) -> None:
        """Sends the requests for which there is a slot, in the order of the mode."""
        while self.fifo and self.count_running() < self.capacity():
            self._send(self.fifo.popleft())
        if not self.waiting:
            return
        queued_requests = [
            QueuedRequest(
                id=str(n),
                customer=job.arrival.customer,
                weight=1.0,
                priority=5,
                start_by=job.arrival.at + self.patience_s,
                queued_at=job.arrival.at,
            )
            for n, job in self.waiting.items()
        ]
        for number in list_overdue(queued_requests, self.simulation.now):
            job = self.waiting.pop(int(number))
            job.refused = "overdue"
            self._change_usage(job.arrival.customer, queued=-1)
            self.refused.append(job)
        while self.waiting and self.count_running() < self.capacity():
            running = {n: u.running for n, u in self.usage.items()}
            remaining = [w for w in queued_requests if int(w.id) in self.waiting]
            job = self.waiting.pop(int(order_queue(remaining, running)[0].id))
            self._change_usage(job.arrival.customer, running=1, queued=-1)
            self._send(job)

    def end(self, job: Job) -> None:
        """Updates the usage at the end of a request and sends queued requests."""
        if self.mode == "policy":
            self._change_usage(job.arrival.customer, running=-1)
        self.release()


def run_case(
    mode: str,
    *,
    load: float,
    greedy: float,
    lost_engines: int,
    seed: int,
) -> dict[str, Any]:
    """Simulates the second user's traffic through one admission gate.

    Args:
        mode: `none`, `fifo` or `policy`.
        load: rate of arrivals, as a share of the capacity of all engines.
        greedy: weight of the first customer in the arrivals; the others have 1.
        lost_engines: number of engines that are lost from the start.
        seed: seed of the arrivals.
    """
    profile = PROFILES[1]
    done: list[Job] = []

    def on_end(job: Job) -> None:
        done.append(job)
        gate.end(job)

    simulation = QueueSimulation(n_engines=profile.n_engines, on_end=on_end)
    for engine in simulation.engines[:lost_engines]:
        engine.alive = False
    gate = _AdmissionGate(simulation=simulation, profile=profile, mode=mode)
    shares = {name: greedy if name == "greedy" else 1.0 for name in CUSTOMERS}
    arrivals = make_arrivals(
        profile,
        rate=load * capacity_per_s(profile),
        seconds=DURATION_S,
        customers=shares,
        seed=seed,
    )
    for number, arrival in enumerate(arrivals):
        job = Job(arrival=arrival, number=number)
        simulation.schedule(arrival.at, _bind(gate.arrive, job))
    for n_sweep in range(int(DURATION_S / SWEEP_INTERVAL_S) + 100):
        simulation.schedule(n_sweep * SWEEP_INTERVAL_S, gate.release)
    simulation.run()
    others = [
        job.first_token_at - job.arrival.at
        for job in done
        if job.arrival.customer != "greedy"
    ]
    n_others = sum(a.customer != "greedy" for a in arrivals)
    n_within_target = sum(
        job.first_token_at - job.arrival.at <= TARGET_S for job in done
    )
    alive_share = (profile.n_engines - lost_engines) / profile.n_engines
    n_possible = min(len(arrivals), capacity_per_s(profile) * alive_share * DURATION_S)
    return {
        "others_first_p95_s": percentile(others, 0.95) if others else 0.0,
        "others_answered_share": len(others) / n_others,
        "goodput_of_capacity": n_within_target / n_possible,
        "refused_share": len(gate.refused) / len(arrivals),
    }


def _bind(step: Callable[[Job], None], job: Job) -> Callable[[], None]:
    return lambda: step(job)


CASES: Final[dict[str, dict[str, Any]]] = {
    "one customer at ten times its share": {
        "load": 1.8,
        "greedy": 10.0,
        "lost_engines": 0,
    },
    "two of five engines gone": {"load": 0.9, "greedy": 1.0, "lost_engines": 2},
    "three times the load": {"load": 3.0, "greedy": 1.0, "lost_engines": 0},
}


def run_limits(seed: int, _minutes: float) -> Result:
    """Simulates all cases in all modes."""
    figures: dict[str, Any] = {}
    passed = True
    for case, values in CASES.items():
        figures[case] = {
            mode: run_case(mode, seed=seed, **values)
            for mode in ("policy", "fifo", "none")
        }
        policy = figures[case]["policy"]
        passed &= policy["others_first_p95_s"] <= TARGET_S
        passed &= policy["goodput_of_capacity"] >= GOODPUT_BOUND
    return Result(figures=figures, passed=passed)
