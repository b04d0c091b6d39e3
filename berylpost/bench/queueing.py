"""A queue model of engines with a clock of its own, to compare policies.

Engines have slots, a prefix cache and batches that slow down as they fill; daemons
see their load late. The policies under test are the program's own functions.
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
BATCH_SLOWDOWN: Final = 0.5  # a full batch takes this much longer for each token
CACHE_TOKENS: Final = 40_000
SLOTS: Final = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request; the prefix is shared by all with the same `prefix`."""

    at: float
    customer: str
    prefix: int
    prefix_tokens: int
    own_tokens: int
    out_tokens: int


@dataclass(slots=True, kw_only=True)
class Job:
    """A request on its way; times are of the model's clock."""

    arrival: Arrival
    number: int
    daemon: int = 0
    engine: int = -1
    started_at: float = 0.0
    first_at: float = 0.0
    cached_tokens: int = 0
    refused: str = ""


@dataclass(slots=True, kw_only=True)
class EngineModel:
    """One engine."""

    name: str
    running: int = 0
    queue: deque[Job] = field(default_factory=deque)
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    alive: bool = True

    def load(self) -> int:
        """Returns running and waiting requests."""
        return self.running + len(self.queue)

    def touch(self, arrival: Arrival) -> int:
        """Uses the cache for a prompt and returns the tokens found in it."""
        found = self.cache.pop(arrival.prefix, 0)
        self.cache[arrival.prefix] = arrival.prefix_tokens
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        return found


class Model:
    """The clock, the engines and their events.

    Args:
        n_engines: how many.
        on_first: called when a job's first token comes.
        on_end: called when a job ends.
    """

    def __init__(
        self,
        *,
        n_engines: int,
        on_first: Callable[[Job], None] = lambda _job: None,
        on_end: Callable[[Job], None] = lambda _job: None,
    ) -> None:
        self.now = 0.0
        self.engines = [EngineModel(name=f"e{i}") for i in range(n_engines)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._on_first = on_first
        self._on_end = on_end

    def call_at(self, when: float, step: Callable[[], None]) -> None:
        """Has a step run at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), step))

    def run(self) -> None:
        """Runs until no step is left."""
        while self._events:
            self.now, _, step = heapq.heappop(self._events)
            step()

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
            slow = 1 + BATCH_SLOWDOWN * engine.running / SLOTS
            job.cached_tokens = engine.touch(job.arrival)
            n_prompt = job.arrival.prefix_tokens + job.arrival.own_tokens
            prefill = (n_prompt - job.cached_tokens) * PREFILL_TOKEN_S * slow
            first_at = self.now + prefill + TOKEN_S * slow
            end_at = first_at + (job.arrival.out_tokens - 1) * TOKEN_S * slow
            self.call_at(first_at, lambda job=job: self._first(job))  # type: ignore[misc]
            self.call_at(end_at, lambda job=job: self._end(job))  # type: ignore[misc]

    def _first(self, job: Job) -> None:
        job.first_at = self.now
        self._on_first(job)

    def _end(self, job: Job) -> None:
        self.engines[job.engine].running -= 1
        self._on_end(job)
        self._fill(job.engine)


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """The shape of a user's requests.

    Attributes:
        zipf: how hot the hottest prefixes are; 0 is even.
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
    """Returns the mean time in a slot of a full engine, half its prefix cached."""
    slow = 1 + BATCH_SLOWDOWN
    prompt = sum(profile.prefix_tokens) / 4 + sum(profile.own_tokens) / 2
    out = sum(profile.out_tokens) / 2
    return (prompt * PREFILL_TOKEN_S + out * TOKEN_S) * slow


def capacity_per_s(profile: Profile) -> float:
    """Returns the requests a second that all engines together can serve."""
    return profile.n_engines * SLOTS / mean_service_s(profile)


def make_arrivals(
    profile: Profile,
    *,
    rate: float,
    seconds: float,
    customers: dict[str, float],
    seed: int,
) -> list[Arrival]:
    """Makes Poisson arrivals; customers share them by the given weights."""
    stream = random.Random(seed)
    weights = [1 / (rank + 1) ** profile.zipf for rank in range(profile.n_prefixes)]
    sizes = [stream.randint(*profile.prefix_tokens) for _ in weights]
    names, shares = list(customers), list(customers.values())
    arrivals = []
    at = 0.0
    while at < seconds:
        at += stream.expovariate(rate)
        prefix = stream.choices(range(profile.n_prefixes), weights)[0]
        arrivals.append(
            Arrival(
                at=at,
                customer=stream.choices(names, shares)[0],
                prefix=prefix,
                prefix_tokens=sizes[prefix],
                own_tokens=stream.randint(*profile.own_tokens),
                out_tokens=stream.randint(*profile.out_tokens),
            )
        )
    return arrivals
