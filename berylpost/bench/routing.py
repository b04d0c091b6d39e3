"""Compares routing with baselines on both users' traffic, by load and report lag."""

import random
from collections.abc import Callable
from typing import Any, Final

from ..policy.routing import (
    CHARS_PER_TOKEN,
    PREFIX_CHARS,
    Replica,
    build_ring,
    choose_replica,
    hash_prefix,
    list_candidates,
)
from .catalogue import Result
from .gossip import percentile
from .queueing import (
    PROFILES,
    SLOTS,
    Job,
    Profile,
    QueueSimulation,
    capacity_per_s,
    make_arrivals,
    mean_service_s,
)

LOADS: Final = (0.6, 0.85, 1.1)
LAGS_S: Final = (0.2, 1.0, 5.0)
DURATION_S: Final = 120.0
N_DAEMONS: Final = 3
CACHE_SHARE_BOUND: Final = 0.9  # lower bound, relative to routing by prefix hash alone

Chooser = Callable[["DaemonView", Job], int]


class DaemonView:
    """What one daemon knows of the engines: its own requests and late load reports."""

    def __init__(
        self, *, simulation: QueueSimulation, profile: Profile, seed: int
    ) -> None:
        self.simulation = simulation
        self.ring = build_ring([e.name for e in simulation.engines])
        self.numbers = {e.name: i for i, e in enumerate(simulation.engines)}
        self.own = {e.name: 0 for e in simulation.engines}
        self.random = random.Random(seed)
        self.n_chosen = 0
        self.cached_chars: dict[int, dict[str, int]] = {}
        self.replicas = {
            e.name: Replica(
                id=e.name,
                address="-",
                name="m",
                slots=SLOTS,
                service_s=mean_service_s(profile),
            )
            for e in simulation.engines
        }

    def report(self, name: str, load: int, own: int, at: float) -> None:
        """Records a load report that was made at `at`."""
        old = self.replicas[name]
        self.replicas[name] = Replica(
            id=old.id,
            address=old.address,
            name=old.name,
            slots=old.slots,
            service_s=old.service_s,
            reported=load,
            reported_at=at,
            reported_own=own,
        )


def choose_by_policy(view: DaemonView, job: Job) -> int:
    """Chooses an engine by the routing policy of the daemons."""
    key = hash_prefix(f"prefix {job.arrival.prefix}")
    n_prompt = job.arrival.prefix_tokens + job.arrival.own_tokens
    choice = choose_replica(
        view.ring,
        view.replicas,
        prefix_key=key,
        prompt_chars=n_prompt * CHARS_PER_TOKEN,
        own=view.own,
        limits={},
        cached_chars=view.cached_chars.get(job.arrival.prefix, {}),
        n_daemons=N_DAEMONS,
        excluded=frozenset(),
        now=view.simulation.now,
    )
    if choice is None:
        # Every slot that the daemon knows of is taken, so the request queues at an
        # engine, as it does with the baselines.
        return choose_by_load(view, job)
    prefix_cache = view.cached_chars.setdefault(job.arrival.prefix, {})
    prefix_cache[choice.replica.id] = max(
        PREFIX_CHARS, job.arrival.prefix_tokens * CHARS_PER_TOKEN
    )
    return view.numbers[choice.replica.id]


def choose_at_random(view: DaemonView, _job: Job) -> int:
    """Chooses a random engine, as a baseline."""
    return view.random.randrange(len(view.simulation.engines))


def choose_in_turn(view: DaemonView, _job: Job) -> int:
    """Chooses the engines in turn (round robin), as a baseline."""
    view.n_chosen += 1
    return view.n_chosen % len(view.simulation.engines)


def choose_by_load(view: DaemonView, _job: Job) -> int:
    """Chooses the engine with the least load last reported, as a baseline."""
    names = sorted(view.numbers)
    view.random.shuffle(names)
    return view.numbers[min(names, key=lambda n: view.replicas[n].reported)]


def choose_by_prefix(view: DaemonView, job: Job) -> int:
    """Chooses the first engine on the ring by prefix, at any load, as a baseline."""
    key = hash_prefix(f"prefix {job.arrival.prefix}")
    return view.numbers[list_candidates(view.ring, key, 1)[0]]


CHOOSERS: Final[dict[str, Chooser]] = {
    "policy": choose_by_policy,
    "random": choose_at_random,
    "round_robin": choose_in_turn,
    "least_reported": choose_by_load,
    "prefix_hash": choose_by_prefix,
}


def run_case(
    profile: Profile, chooser: Chooser, load: float, lag_s: float, seed: int
) -> dict[str, float]:
    """Simulates one user's traffic with one of the `CHOOSERS`."""
    done: list[Job] = []

    def on_end(job: Job) -> None:
        done.append(job)
        view = views[job.daemon]
        name = simulation.engines[job.engine].name
        view.own[name] -= 1
        n_load = simulation.engines[job.engine].load()
        seen_at, own = simulation.now, view.own[name]
        simulation.schedule(
            simulation.now + lag_s, lambda: view.report(name, n_load, own, seen_at)
        )

    simulation = QueueSimulation(n_engines=profile.n_engines, on_end=on_end)
    views = [
        DaemonView(simulation=simulation, profile=profile, seed=seed + i)
        for i in range(N_DAEMONS)
    ]
    arrivals = make_arrivals(
        profile,
        rate=load * capacity_per_s(profile),
        seconds=DURATION_S,
        customers={"one": 1.0},
        seed=seed,
    )

    def arrive(job: Job) -> None:
        view = views[job.daemon]
        engine = chooser(view, job)
        view.own[simulation.engines[engine].name] += 1
        simulation.send(job, engine)

    for number, arrival in enumerate(arrivals):
        job = Job(arrival=arrival, number=number, daemon=number % N_DAEMONS)
        simulation.schedule(arrival.at, lambda job=job: arrive(job))  # type: ignore[misc]
    simulation.run()
    first_token_times = [job.first_token_at - job.arrival.at for job in done]
    prompt = sum(j.arrival.prefix_tokens + j.arrival.own_tokens for j in done)
    return {
        "first_p50_s": percentile(first_token_times, 0.5),
        "first_p95_s": percentile(first_token_times, 0.95),
        "cache_share": sum(job.cached_tokens for job in done) / prompt,
        "prefilled_tokens": prompt - sum(job.cached_tokens for job in done),
    }


def run_routing(seed: int, _minutes: float) -> Result:
    """Simulates all cases and lists those where the policy is not the best.

    The measures are the time to the first token and, against routing by prefix hash,
    the share of cached tokens.
    """
    figures: dict[str, Any] = {}
    shortfalls: list[str] = []
    for profile in PROFILES:
        for load in LOADS:
            for lag_s in LAGS_S:
                case = f"{profile.name} at {load:.0%}, reports {lag_s} s late"
                results = {
                    name: run_case(profile, chooser, load, lag_s, seed)
                    for name, chooser in CHOOSERS.items()
                }
                figures[case] = results
                policy = results["policy"]
                shortfalls += [
                    f"{case}: first token p95 with {name} {other['first_p95_s']:.3f} s"
                    f" against {policy['first_p95_s']:.3f} s with policy"
                    for name, other in results.items()
                    if other["first_p95_s"] < policy["first_p95_s"]
                ]
                min_share = results["prefix_hash"]["cache_share"] * CACHE_SHARE_BOUND
                if policy["cache_share"] < min_share:
                    shortfalls.append(
                        f"{case}: cache share {policy['cache_share']:.3f} with policy"
                        " is below the bound"
                    )
    figures["not_best"] = shortfalls
    return Result(figures=figures, passed=not shortfalls)
