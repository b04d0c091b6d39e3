"""Simulates queues at engines on a simulated clock, to compare policies.

Engines have slots, a prefix cache and batches that slow down as they fill. Daemons
see the engines' load with a delay. The policies under test are the functions that the
daemons run.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

PREFILL_TOKEN_S: Final = 0.0002
TOKEN_S: Final = 0.02
BATCH_SLOWDOWN: Final = 0.5  # extra time per token in a full batch, as a share
CACHE_TOKENS: Final = 40_000
SLOTS: Final = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request; all requests with the same `prefix` share their prompt prefix."""

    at: float
    customer: str
    prefix: int
    prefix_tokens: int
    own_tokens: int
    out_tokens: int


@dataclass(slots=True, kw_only=True)
class Job:
    """A request in the simulation; times are on the simulated clock."""

    arrival: Arrival
    number: int
    daemon: int = 0
    engine: int = -1
    started_at: float = 0.0
    first_token_at: float = 0.0
    cached_tokens: int = 0
    refused: str = ""


@dataclass(slots=True, kw_only=True)
class SimulatedEngine:
    """One simulated engine."""

    name: str
    running: int = 0
    queue: deque[Job] = field(default_factory=deque)
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    alive: bool = True

    def load(self) -> int:
        """Returns the number of running and waiting requests."""
        return self.running + len(self.queue)

    def use_cache(self, arrival: Arrival) -> int:
        """Looks up and caches a prompt prefix; returns the tokens that were cached."""
        n_cached = self.cache.pop(arrival.prefix, 0)
        self.cache[arrival.prefix] = arrival.prefix_tokens
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        return n_cached


class QueueSimulation:
    """The simulated clock, the engines and their events.

    Args:
        n_engines: number of engines.
        on_first_token: called at a job's first token.
        on_end: called when a job ends.
    """

    def __init__(
        self,
        *,
        n_engines: int,
        on_first_token: Callable[[Job], None] = lambda _job: None,
        on_end: Callable[[Job], None] = lambda _job: None,
    ) -> None:
        self.now = 0.0
        self.engines = [SimulatedEngine(name=f"e{i}") for i in range(n_engines)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._on_first_token = on_first_token
        self._on_end = on_end

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time on the simulated clock."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self) -> None:
        """Runs until no action is left."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def send(self, job: Job, engine: int) -> None:
        """Sends a job to an engine, where it may wait for a slot."""
        job.engine = engine
        self.engines[engine].queue.append(job)
        self._fill(engine)

    def _fill(self, number: int) -> None:
        engine = self.engines[number]
        while engine.queue and engine.running < SLOTS and engine.alive:
            job = engine.queue.popleft()
            engine.running += 1
            job.started_at = self.now
            slowdown = 1 + BATCH_SLOWDOWN * engine.running / SLOTS
            job.cached_tokens = engine.use_cache(job.arrival)
            n_prompt = job.arrival.prefix_tokens + job.arrival.own_tokens
            prefill = (n_prompt - job.cached_tokens) * PREFILL_TOKEN_S * slowdown
            first_token_at = self.now + prefill + TOKEN_S * slowdown
            end_at = first_token_at + (job.arrival.out_tokens - 1) * TOKEN_S * slowdown
            self.schedule(first_token_at, lambda job=job: self._handle_first_token(job))  # type: ignore[misc]
            self.schedule(end_at, lambda job=job: self._handle_end(job))  # type: ignore[misc]

    def _handle_first_token(self, job: Job) -> None:
        job.first_token_at = self.now
        self._on_first_token(job)

    def _handle_end(self, job: Job) -> None:
        self.engines[job.engine].running -= 1
        self._on_end(job)
        self._fill(job.engine)


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """The distribution of a user's requests.

    Attributes:
        zipf: exponent of the Zipf distribution of the prefixes; 0 is uniform.
    """

    name: str
    n_engines: int
    n_prefixes: int
    zipf: float
    prefix_tokens: tuple[int, int]
    own_tokens: tuple[int, int]
    out_tokens: tuple[int, int]


PROFILES: Final = (
    Profile(
        name="darling-downs",
        n_engines=6,
        n_prefixes=60,
        zipf=1.1,
        prefix_tokens=(400, 3_000),
        own_tokens=(50, 400),
        out_tokens=(60, 400),
    ),
    Profile(
        name="serenamar",
        n_engines=5,
        n_prefixes=150,
        zipf=0.9,
        prefix_tokens=(300, 1_200),
        own_tokens=(20, 100),
        out_tokens=(120, 320),
    ),
)


def mean_service_s(profile: Profile) -> float:
    """Returns the mean time in a slot of a full engine with half of a prefix cached."""
    slowdown = 1 + BATCH_SLOWDOWN
    prompt = sum(profile.prefix_tokens) / 4 + sum(profile.own_tokens) / 2
    out = sum(profile.out_tokens) / 2
    return (prompt * PREFILL_TOKEN_S + out * TOKEN_S) * slowdown


def capacity_per_s(profile: Profile) -> float:
    """Returns the requests per second that all engines together can serve."""
    return profile.n_engines * SLOTS / mean_service_s(profile)


def make_arrivals(
    profile: Profile,
    *,
    rate: float,
    seconds: float,
    customers: dict[str, float],
    seed: int,
) -> list[Arrival]:
    """Makes Poisson arrivals, distributed over customers by their weights."""
    random_state = random.Random(seed)
    weights = [1 / (rank + 1) ** profile.zipf for rank in range(profile.n_prefixes)]
    sizes = [random_state.randint(*profile.prefix_tokens) for _ in weights]
    names, shares = list(customers), list(customers.values())
    arrivals = []
    at = 0.0
    while at < seconds:
        at += random_state.expovariate(rate)
        prefix = random_state.choices(range(profile.n_prefixes), weights)[0]
        arrivals.append(
            Arrival(
                at=at,
                customer=random_state.choices(names, shares)[0],
                prefix=prefix,
                prefix_tokens=sizes[prefix],
                own_tokens=random_state.randint(*profile.own_tokens),
                out_tokens=random_state.randint(*profile.out_tokens),
            )
        )
    return arrivals
