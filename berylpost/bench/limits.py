"""Admission against its baselines: a greedy customer, overload, lost engines."""

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
    Model,
    Profile,
    capacity_per_s,
    make_arrivals,
    mean_service_s,
)

TARGET_S: Final = 1.3
GOODPUT_BOUND: Final = 0.9
SECONDS: Final = 90.0
CUSTOMERS: Final = ("greedy", "b", "c", "d", "e")
SWEEP_S: Final = 0.1


class _Gate:
    """A daemon before the engines; subclasses are not meant, `mode` varies it."""

    def __init__(self, *, model: Model, profile: Profile, mode: str) -> None:
        self.model = model
        self.mode = mode
        self.service_s = mean_service_s(profile)
        prompt = profile.prefix_tokens[1] + profile.own_tokens[1]
        slow = 1 + BATCH_SLOWDOWN
        first_token_s = (prompt * PREFILL_TOKEN_S + TOKEN_S) * slow
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
        """Returns the slots of the engines that live."""
        return SLOTS * sum(engine.alive for engine in self.model.engines)

    def count_running(self) -> int:
        """Returns the requests at the engines that live."""
        return sum(e.load() for e in self.model.engines if e.alive)

    def arrive(self, job: Job) -> None:
        """Takes a request by the gate's mode."""
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
            now=self.model.now,
        )
        if not isinstance(decision, Admitted):
            job.refused = decision.kind
            self.refused.append(job)
            return
        self._change(name, queued=1)
        self.waiting[job.number] = job
        self.release()

    def _change(self, name: str, running: int = 0, queued: int = 0) -> None:
        used = self.usage.get(name, Usage())
        self.usage[name] = Usage(
            running=used.running + running, queued=used.queued + queued
        )

    def _send(self, job: Job) -> None:
        living = [i for i, e in enumerate(self.model.engines) if e.alive]
        best = min(living, key=lambda i: self.model.engines[i].load())
        self.model.send(job, best)

    def release(self) -> None:
        """Sends what there is room for, in the mode's order."""
        while self.fifo and self.count_running() < self.capacity():
            self._send(self.fifo.popleft())
        if not self.waiting:
            return
        listed = [
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
        for number in list_overdue(listed, self.model.now):
            job = self.waiting.pop(int(number))
            job.refused = "overdue"
            self._change(job.arrival.customer, queued=-1)
            self.refused.append(job)
        while self.waiting and self.count_running() < self.capacity():
            running = {n: u.running for n, u in self.usage.items()}
            left = [w for w in listed if int(w.id) in self.waiting]
            job = self.waiting.pop(int(order_queue(left, running)[0].id))
            self._change(job.arrival.customer, running=1, queued=-1)
            self._send(job)

    def end(self, job: Job) -> None:
        """Notes the end of a request."""
        if self.mode == "policy":
            self._change(job.arrival.customer, running=-1)
        self.release()


def run_case(
    mode: str,
    *,
    load: float,
    greedy: float,
    lost_engines: int,
    seed: int,
) -> dict[str, Any]:
    """Runs the second user's traffic through one gate.

    Args:
        mode: `none`, `fifo` or `policy`.
        load: of the capacity of all engines.
        greedy: how many shares the first customer sends.
        lost_engines: engines that are away from the start.
        seed: of the arrivals.
    """
    profile = PROFILES[1]
    done: list[Job] = []

    def ended(job: Job) -> None:
        done.append(job)
        gate.end(job)

    model = Model(n_engines=profile.n_engines, on_end=ended)
    for engine in model.engines[:lost_engines]:
        engine.alive = False
    gate = _Gate(model=model, profile=profile, mode=mode)
    shares = {name: greedy if name == "greedy" else 1.0 for name in CUSTOMERS}
    arrivals = make_arrivals(
        profile,
        rate=load * capacity_per_s(profile),
        seconds=SECONDS,
        customers=shares,
        seed=seed,
    )
    for number, arrival in enumerate(arrivals):
        job = Job(arrival=arrival, number=number)
        model.call_at(arrival.at, _bind(gate.arrive, job))
    for n_sweep in range(int(SECONDS / SWEEP_S) + 100):
        model.call_at(n_sweep * SWEEP_S, gate.release)
    model.run()
    others = [
        job.first_at - job.arrival.at
        for job in done
        if job.arrival.customer != "greedy"
    ]
    n_others = sum(a.customer != "greedy" for a in arrivals)
    timely = sum(job.first_at - job.arrival.at <= TARGET_S for job in done)
    alive = (profile.n_engines - lost_engines) / profile.n_engines
    possible = min(len(arrivals), capacity_per_s(profile) * alive * SECONDS)
    return {
        "others_first_p95_s": percentile(others, 0.95) if others else 0.0,
        "others_answered_share": len(others) / n_others,
        "goodput_of_capacity": timely / possible,
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
    """Runs all cases through all gates."""
    figures: dict[str, Any] = {}
    passed = True
    for case, values in CASES.items():
        figures[case] = {
            mode: run_case(mode, seed=seed, **values)
            for mode in ("policy", "fifo", "none")
        }
        mine = figures[case]["policy"]
        passed &= mine["others_first_p95_s"] <= TARGET_S
        passed &= mine["goodput_of_capacity"] >= GOODPUT_BOUND
    return Result(figures=figures, passed=passed)
