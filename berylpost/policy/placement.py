"""Which backend server takes a request, and whether any can in time.

The load answered here: long prompts that share parts, in waves, with some servers
slow, failing or leaving, seen by several daemons that learn of each other's choices
only a gossip round later. All state comes as arguments.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from ..hashing import hash_text

# Prefill speed of one engine under decoding load, tokens a second: the sheets' 56.1
# tokens/ms for a 1,024-token chunk, in steps that also decode a middling batch.
PREFILL_TOKENS_PER_S: Final = 36_000.0
BASE_FIRST_TOKEN_S: Final = 0.1  # the sheets' first token of an empty engine
RUN_S: Final = 1.5  # usual time of a run on the sheets, for engines without a free slot
FAILURE_COST_S: Final = 2.0  # a failed attempt costs about an objective twice
FAR_ZONE_S: Final = 0.002  # two one-way trips between availability zones
HOME_SHARE_FEW: Final = 0.4  # of unread shared parts, where all hear of each other
HOME_SHARE_MANY: Final = 0.85  # where a daemon hears of a fifth of what others send
FEW_DAEMONS: Final = 12  # up to which gossip reaches everyone in each round
SUSPECT_COST_S: Final = 30.0  # used only when every server is suspect


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendLoad:
    """A backend server as the chooser sees it.

    Attributes:
        n_outstanding: requests sent and not answered, by all daemons.
        pending_tokens: prompt tokens sent whose first token has not come.
        failure_rate: share of recent attempts that failed, 0 to 1.
        slow_factor: its recent answer time against its peers', 1 for alike.
        suspect: it has failed in a way that says it may be gone.
        near: it is in this daemon's availability zone.
    """

    id: str
    slots: int
    n_outstanding: int
    pending_tokens: float
    failure_rate: float
    slow_factor: float
    suspect: bool
    near: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """A server with predicted times, seconds.

    Attributes:
        queue_s: until it begins with this request.
        prefill_s: from then to the first token; 0 for a plain server.
    """

    id: str
    queue_s: float
    prefill_s: float

    @property
    def wait_s(self) -> float:
        """Time until the first token, or until a plain server begins."""
        return self.queue_s + self.prefill_s


def find_home_share(n_daemons: int) -> float:
    """Returns how far an unread part is taken as read at its home.

    Few daemons tell each other what they have sent; among many most of that is not
    heard, and the home is the best guess.
    """
    return HOME_SHARE_FEW if n_daemons <= FEW_DAEMONS else HOME_SHARE_MANY


def rank_homes(key: str, ids: Iterable[str]) -> list[str]:
    """Orders servers by rendezvous hashing: every daemon finds the same order."""
    return sorted(ids, key=lambda name: hash_text(f"{key}/{name}"), reverse=True)


def predict_reading(load: BackendLoad, n_tokens: float) -> float:
    """Predicts seconds that an engine takes to read prompt tokens."""
    return n_tokens / PREFILL_TOKENS_PER_S * load.slow_factor


def choose_engine(
    loads: Sequence[BackendLoad], uncached: Sequence[float]
) -> Choice | None:
    """Chooses the engine with the least predicted first token.

    Args:
        loads: the engines that may be used.
        uncached: for each, the prompt tokens that it would have to read.

    Returns:
        None when there is no engine.
    """
    best: Choice | None = None
    best_cost = 0.0
    for load, n_uncached in zip(loads, uncached, strict=True):
        n_over = max(0, load.n_outstanding + 1 - load.slots)
        queue_s = max(
            predict_reading(load, load.pending_tokens), n_over / load.slots * RUN_S
        )
        prefill_s = predict_reading(load, n_uncached)
        cost = queue_s + prefill_s + _penalty(load)
        if best is None or cost < best_cost:
            best = Choice(id=load.id, queue_s=queue_s, prefill_s=prefill_s)
            best_cost = cost
    return best


def choose_server(
    loads: Sequence[BackendLoad], *, work_s: float, tie_breaker: int
) -> Choice | None:
    """Chooses the plain server with the least predicted wait for a slot.

    Args:
        loads: the servers that may be used.
        work_s: usual time of one request.
        tie_breaker: a random number that spreads equal choices over servers.
    """
    best: Choice | None = None
    best_cost = 0.0
    for index in range(len(loads)):
        load = loads[(index + tie_breaker) % len(loads)]
        ahead = max(0, load.n_outstanding + 1 - load.slots)
        wait_s = ahead / load.slots * work_s
        busy_s = load.n_outstanding / load.slots * work_s
        cost = wait_s + busy_s * load.slow_factor + _penalty(load)
        if best is None or cost < best_cost:
            best, best_cost = Choice(id=load.id, queue_s=wait_s, prefill_s=0.0), cost
    return best


def _penalty(load: BackendLoad) -> float:
    cost = load.failure_rate * FAILURE_COST_S
    cost += 0.0 if load.near else FAR_ZONE_S
    return cost + (SUSPECT_COST_S if load.suspect else 0.0)
