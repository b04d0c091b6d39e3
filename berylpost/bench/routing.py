"""Routing against its baselines on both users' traffic, by load and report lag."""

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
    Model,
    Profile,
    capacity_per_s,
    make_arrivals,
    mean_service_s,
)

LOADS: Final = (0.6, 0.85, 1.1)
LAGS_S: Final = (0.2, 1.0, 5.0)
SECONDS: Final = 120.0
N_DAEMONS: Final = 3
CACHE_SHARE_BOUND: Final = 0.9  # of what prefix hash alone gets

Chooser = Callable[["Sight", Job], int]


class Sight:
    """What one daemon sees of the engines: own work now, load reports late."""

    def __init__(self, *, model: Model, profile: Profile, seed: int) -> None:
        self.model = model
        self.ring = build_ring([e.name for e in model.engines])
        self.numbers = {e.name: i for i, e in enumerate(model.engines)}
        self.own = {e.name: 0 for e in model.engines}
        self.random = random.Random(seed)
        self.turn = 0
        self.holders: dict[int, dict[str, int]] = {}
        self.replicas = {
            e.name: Replica(
                id=e.name,
                address="-",
                name="m",
                slots=SLOTS,
                service_s=mean_service_s(profile),
            )
            for e in model.engines
        }

    def report(self, name: str, load: int, own: int, at: float) -> None:
        """Takes a report that was made at `at`."""
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


def choose_by_policy(sight: Sight, job: Job) -> int:
    """The program's own decision."""
    key = hash_prefix(f"prefix {job.arrival.prefix}")
    n_prompt = job.arrival.prefix_tokens + job.arrival.own_tokens
    choice = choose_replica(
        sight.ring,
        sight.replicas,
        prefix_key=key,
        prompt_chars=n_prompt * CHARS_PER_TOKEN,
        own=sight.own,
        limits={},
        cached_chars=sight.holders.get(job.arrival.prefix, {}),
        n_daemons=N_DAEMONS,
        excluded=frozenset(),
        now=sight.model.now,
    )
    if choice is None:
        # Every slot that it knows of is taken: the engines queue, as in the others.
        return choose_by_load(sight, job)
    held = sight.holders.setdefault(job.arrival.prefix, {})
    held[choice.replica.id] = max(
        PREFIX_CHARS, job.arrival.prefix_tokens * CHARS_PER_TOKEN
    )
    return sight.numbers[choice.replica.id]


def choose_at_random(sight: Sight, _job: Job) -> int:
    """Baseline: any engine."""
    return sight.random.randrange(len(sight.model.engines))


def choose_in_turn(sight: Sight, _job: Job) -> int:
    """Baseline: round robin."""
    sight.turn += 1
    return sight.turn % len(sight.model.engines)


def choose_by_load(sight: Sight, _job: Job) -> int:
    """Baseline: the least load last reported."""
    names = sorted(sight.numbers)
    sight.random.shuffle(names)
    return sight.numbers[min(names, key=lambda n: sight.replicas[n].reported)]


def choose_by_prefix(sight: Sight, job: Job) -> int:
    """Baseline: the first on the ring by prefix, whatever its load."""
    key = hash_prefix(f"prefix {job.arrival.prefix}")
    return sight.numbers[list_candidates(sight.ring, key, 1)[0]]


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
    """Runs one user's traffic through one way of choosing."""
    done: list[Job] = []

    def ended(job: Job) -> None:
        done.append(job)
        sight = sights[job.daemon]
        name = model.engines[job.engine].name
        sight.own[name] -= 1
        n_load = model.engines[job.engine].load()
        seen_at, own = model.now, sight.own[name]
        model.call_at(
            model.now + lag_s, lambda: sight.report(name, n_load, own, seen_at)
        )

    model = Model(n_engines=profile.n_engines, on_end=ended)
    sights = [
        Sight(model=model, profile=profile, seed=seed + i) for i in range(N_DAEMONS)
    ]
    arrivals = make_arrivals(
        profile,
        rate=load * capacity_per_s(profile),
        seconds=SECONDS,
        customers={"one": 1.0},
        seed=seed,
    )

    def arrive(job: Job) -> None:
        sight = sights[job.daemon]
        engine = chooser(sight, job)
        sight.own[model.engines[engine].name] += 1
        model.send(job, engine)

    for number, arrival in enumerate(arrivals):
        job = Job(arrival=arrival, number=number, daemon=number % N_DAEMONS)
        model.call_at(arrival.at, lambda job=job: arrive(job))  # type: ignore[misc]
    model.run()
    firsts = [job.first_at - job.arrival.at for job in done]
    prompt = sum(j.arrival.prefix_tokens + j.arrival.own_tokens for j in done)
    return {
        "first_p50_s": percentile(firsts, 0.5),
        "first_p95_s": percentile(firsts, 0.95),
        "cache_share": sum(job.cached_tokens for job in done) / prompt,
        "prefilled_tokens": prompt - sum(job.cached_tokens for job in done),
    }


def run_routing(seed: int, _minutes: float) -> Result:
    """Runs all cases and counts where the policy is not the best on first token."""
    figures: dict[str, Any] = {}
    lost: list[str] = []
    for profile in PROFILES:
        for load in LOADS:
            for lag_s in LAGS_S:
                case = f"{profile.name} at {load:.0%}, reports {lag_s} s late"
                found = {
                    name: run_case(profile, chooser, load, lag_s, seed)
                    for name, chooser in CHOOSERS.items()
                }
                figures[case] = found
                mine = found["policy"]
                lost += [
                    f"{case}: {name} {other['first_p95_s']:.3f} s"
                    f" against {mine['first_p95_s']:.3f} s"
                    for name, other in found.items()
                    if other["first_p95_s"] < mine["first_p95_s"]
                ]
                share = found["prefix_hash"]["cache_share"] * CACHE_SHARE_BOUND
                if mine["cache_share"] < share:
                    lost.append(f"{case}: cache share {mine['cache_share']:.3f}")
    figures["not_best"] = lost
    return Result(figures=figures, passed=not lost)
