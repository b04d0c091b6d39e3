"""Placement: chooses the backend server for a request by predicted waiting time.

The policy is designed for waves of long prompts that share parts, with some servers
slow, failing or leaving. Several daemons choose concurrently and learn of each other's
choices only one gossip round later. All state is passed as arguments.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ..hashing import hash_text
from .server_speed import ServerSpeed

# Prefill speed of one engine under decoding load, in tokens per second: the
# deployments' specification gives 56.1 tokens/ms for a chunk of 1,024 tokens, in steps
# that also decode a batch of medium size.
PREFILL_TOKENS_PER_S: Final = 36_000.0
# Time to first token of an idle engine in the deployments' specification.
BASE_FIRST_TOKEN_S: Final = 0.1
# Usual duration of a run in the deployments' specification; predicts the wait for a
# slot of an engine that has none free.
USUAL_RUN_S: Final = 1.5
FAILURE_COST_S: Final = 2.0  # a failed attempt costs about twice the objective
CROSS_ZONE_COST_S: Final = 0.002  # two one-way transits between availability zones
# Share of uncached shared parts assumed to be cached at their home server, in a
# deployment where every daemon receives reports of all others' choices.
HOME_SHARE_FEW: Final = 0.4
# Share of uncached shared parts assumed to be cached at their home server, in a
# deployment where a daemon receives reports of a fifth of what the others send.
HOME_SHARE_MANY: Final = 0.85
FEW_DAEMONS: Final = 12  # up to this number, gossip reaches every daemon in each round
# Engines whose costs differ by less count as equally good: the work that the other
# daemons send to an engine within a gossip round of 0.25 s at a load of 0.6.
ENGINE_MARGIN_S: Final = 0.15
# Plain servers whose costs differ by less than this share of the lowest count as
# equally good: a busy service replaces all of its requests within a gossip round, so
# that only one that works 2.5 times as long is known to be worse.
SERVER_MARGIN_SHARE: Final = 1.5
# Candidates that are compared: one would ignore what is known, and with three the
# 95th percentile on plain servers is 20% higher because more daemons agree.
N_COMPARED: Final = 2
# Large, so that a suspect server is chosen only if every server is suspect.
SUSPECT_COST_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendLoad:
    """The load of a backend server, as used for placement.

    Attributes:
        slots: requests that the server runs at the same time.
        n_outstanding: requests of all daemons that were sent and not yet answered.
        pending_tokens: prompt tokens that were sent and whose first output token has
            not arrived.
        failure_rate: share of recent attempts that failed, 0 to 1.
        slow_factor: recent answer time relative to its peers; 1 means equal.
        suspect: whether it failed in a way that indicates it may be gone.
        near: whether it is in this daemon's availability zone.
        speed: its learned speed, which replaces the constants and `slow_factor`; None
            for services whose servers do not state how long work takes.
    """

    id: str
    slots: int
    n_outstanding: int
    pending_tokens: float
    failure_rate: float
    slow_factor: float
    suspect: bool
    near: bool
    speed: ServerSpeed | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The chosen server with its predicted times, in seconds.

    Attributes:
        queue_s: time until it starts this request.
        prefill_s: time from the start to the first token; 0 for a plain server.
        n_ahead: prompt tokens that the engine reads before, as far as known.
    """

    id: str
    queue_s: float
    prefill_s: float
    n_ahead: float = 0.0

    @property
    def wait_s(self) -> float:
        """Time until the first token, or until a plain server starts the request."""
        return self.queue_s + self.prefill_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may be chosen, with the cost by which it is compared."""

    cost: float
    near: bool
    choice: Choice


Pick = Callable[[Sequence[Candidate]], Choice | None]


def pick_lowest(candidates: Sequence[Candidate]) -> Choice | None:
    """Picks the first candidate with the lowest cost; None if there are none."""
    best = min(candidates, key=lambda candidate: candidate.cost, default=None)
    return None if best is None else best.choice


def make_spread_pick(
    random_state: random.Random, *, margin_s: float = 0.0, margin_share: float = 0.0
) -> Pick:
    """Makes a pick that keeps many daemons from choosing the same server at once.

    It compares a few random ones of the candidates whose costs are nearly the lowest.
    Servers of other zones are among them only if the best one is in another zone, too.

    Args:
        random_state: source of the random choices.
        margin_s: difference of costs that counts as none.
        margin_share: the same as a share of the lowest cost; both are added.
    """

    def pick(candidates: Sequence[Candidate]) -> Choice | None:
        best = min(candidates, key=lambda candidate: candidate.cost, default=None)
        if best is None:
            return None
        limit = best.cost * (1 + margin_share) + margin_s
        equals = [
            candidate
            for candidate in candidates
            if candidate.cost <= limit and candidate.near >= best.near
        ]
        return pick_lowest(random_state.sample(equals, min(N_COMPARED, len(equals))))

    return pick


def find_home_share(n_daemons: int) -> float:
    """Returns to what degree an uncached part is assumed cached at its home server.

    A few daemons receive reports of what each of them has sent. Among many daemons,
    most of these reports do not arrive, and the home server is the best guess.
    """
    return HOME_SHARE_FEW if n_daemons <= FEW_DAEMONS else HOME_SHARE_MANY


def rank_homes(key: str, ids: Iterable[str]) -> list[str]:
    """Ranks servers by rendezvous hashing; the first one is the key's home server.

    Every daemon computes the same order.
    """
    return sorted(ids, key=lambda name: hash_text(f"{key}/{name}"), reverse=True)


def predict_prefill(load: BackendLoad, n_tokens: float) -> float:
    """Predicts the time that an engine takes to prefill prompt tokens, in seconds."""
    if load.speed is not None:
        return n_tokens / load.speed.tokens_per_s
    return n_tokens / PREFILL_TOKENS_PER_S * load.slow_factor


def choose_engine(
    loads: Sequence[BackendLoad],
    uncached: Sequence[float],
    *,
    pick: Pick = pick_lowest,
) -> Choice | None:
    """Chooses the engine with the lowest predicted time to first token.

    Args:
        loads: the engines that may be used.
        uncached: for each engine, the prompt tokens that it would have to prefill.
        pick: picks one of the engines by their costs.

    Returns:
        The choice, or None if there are no engines.
    """
    candidates = []
    for load, n_uncached in zip(loads, uncached, strict=True):
        n_over = max(0, load.n_outstanding + 1 - load.slots)
        queue_s = max(
            predict_prefill(load, load.pending_tokens),
            n_over / load.slots * USUAL_RUN_S,
        )
        prefill_s = predict_prefill(load, n_uncached)
        choice = Choice(
            id=load.id,
            queue_s=queue_s,
            prefill_s=prefill_s,
            n_ahead=load.pending_tokens,
        )
        cost = queue_s + prefill_s + _find_penalty(load)
        candidates.append(Candidate(cost=cost, near=load.near, choice=choice))
    return pick(candidates)


def choose_server(
    loads: Sequence[BackendLoad],
    *,
    work_s: float,
    tie_breaker: int,
    pick: Pick = pick_lowest,
) -> Choice | None:
    """Chooses the plain server with the lowest predicted cost.

    The cost counts the wait for a slot and the work in progress, and the request's own
    time where the server's speed is known.

    Args:
        loads: the servers that may be used.
        work_s: usual duration of one request, in seconds.
        tie_breaker: random number that spreads equally good choices over servers.
        pick: picks one of the servers by their costs.

    Returns:
        The choice, or None if there are no servers.
    """
    candidates = []
    for index in range(len(loads)):
        load = loads[(index + tie_breaker) % len(loads)]
        n_over = max(0, load.n_outstanding + 1 - load.slots)
        one_s = work_s if load.speed is None else load.speed.work_s
        wait_s = n_over / load.slots * one_s
        busy_s = load.n_outstanding / load.slots * one_s
        if load.speed is None:
            cost = wait_s + busy_s * load.slow_factor + _find_penalty(load)
        else:
            cost = wait_s + busy_s + one_s + _find_penalty(load)
        choice = Choice(id=load.id, queue_s=wait_s, prefill_s=0.0)
        candidates.append(Candidate(cost=cost, near=load.near, choice=choice))
    return pick(candidates)


def _find_penalty(load: BackendLoad) -> float:
    cost = load.failure_rate * FAILURE_COST_S
    cost += 0.0 if load.near else CROSS_ZONE_COST_S
    return cost + (SUSPECT_COST_S if load.suspect else 0.0)
