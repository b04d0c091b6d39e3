"""Which backend server gets a request.

Model requests: a few candidates on a hash ring by prefix key, among them the least
predicted time to first token; the set widens while even the best is slow. Plain
calls: the lesser of two by outstanding work. A report of load fades with its age,
so that late reports do not send a herd to one server.
"""

import bisect
import math
import random
from array import array
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..hashing import hash_text

RING_POINTS: Final = 64
PREFIX_CHARS: Final = 512  # a shared system prompt; longer keys split hot prefixes
FIRST_CANDIDATES: Final = 2
MAX_CANDIDATES: Final = 16
LOAD_HALF_LIFE_S: Final = 2.0
WIDEN_ABOVE_S: Final = 0.05  # a wait that more candidates may shorten
PREFILL_WEIGHT: Final = 4.0  # above 1: what is computed again also delays others
HOME_CHARS: Final = 4_000  # a shared prompt, taken for cached at its first on the ring
GUESS_ERROR: Final = 1.5  # requests by which the count of outstanding ones may err
BATCH_SLOWDOWN: Final = 0.5  # a full batch computes this much slower
CHARS_PER_TOKEN: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """One backend server as this daemon sees it.

    Attributes:
        id: of its VM.
        address: IP-NUMBER:PORT.
        name: the model or service it runs.
        version: of the model, empty for services.
        slots: requests it runs at once.
        reported: its running and waiting requests in the last report.
        reported_at: when that was, monotonic seconds.
        reported_own: of these, how many were this daemon's.
    """

    id: str
    address: str
    name: str
    zone: str = ""
    version: str = ""
    slots: int = 16
    reported: int = 0
    reported_at: float = 0.0
    reported_own: int = 0
    service_s: float = 2.0
    prefill_token_s: float = 0.0002


@dataclass(frozen=True, slots=True, kw_only=True)
class Ring:
    """A hash ring in packed arrays: points and, for each, the place of its id."""

    ids: tuple[str, ...]
    points: "array[int]"
    places: "array[int]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The decision and its reason, in plain words."""

    replica: Replica
    predicted_s: float
    n_candidates: int
    reason: str


def build_ring(ids: Sequence[str]) -> Ring:
    """Builds the ring of the live replicas of one model, given by id."""
    pairs = sorted(
        (hash_text(f"{replica_id}#{i}"), place)
        for place, replica_id in enumerate(ids)
        for i in range(RING_POINTS)
    )
    return Ring(
        ids=tuple(ids),
        points=array("Q", (point for point, _ in pairs)),
        places=array("H", (place for _, place in pairs)),
    )


def hash_prefix(text: str) -> int:
    """Makes the prefix key of a prompt."""
    return hash_text(text[:PREFIX_CHARS])


def list_candidates(ring: Ring, key: int, n_wanted: int) -> list[str]:
    """Lists the first distinct replicas clockwise from a key."""
    n_wanted = min(n_wanted, len(ring.ids))
    start = bisect.bisect_left(ring.points, key)
    found: dict[int, None] = {}
    n_points = len(ring.points)
    for step in range(n_points):
        found[ring.places[(start + step) % n_points]] = None
        if len(found) >= n_wanted:
            break
    return [ring.ids[place] for place in found]


def predict_first_token(
    replica: Replica, *, own: int, n_daemons: int, uncached_tokens: float, now: float
) -> float:
    """Predicts the time to first token at a replica, in seconds.

    The other daemons' work is what the last report said, fading with its age into
    what this daemon does there itself: callers spread evenly over daemons. Fading
    into nothing instead made every daemon see room where all of them sent.

    Args:
        replica: with its last report.
        own: this daemon's requests in progress there now.
        n_daemons: that send requests to the same replicas.
        uncached_tokens: prompt tokens that it must still compute.
        now: monotonic seconds.
    """
    age = max(0.0, now - replica.reported_at)
    others = max(0, replica.reported - replica.reported_own)
    trust = math.pow(0.5, age / LOAD_HALF_LIFE_S)
    outstanding = own + others * trust + own * (n_daemons - 1) * (1 - trust)
    prefill = uncached_tokens * replica.prefill_token_s
    # A slot frees each service_s / slots. The count is a guess, so the wait sets in
    # softly before the slots are full, which also keeps the fullest from filling up.
    excess = (outstanding + 1 - replica.slots) / GUESS_ERROR
    soft = GUESS_ERROR * (excess if excess > 30 else math.log1p(math.exp(excess)))
    wait = soft * replica.service_s / replica.slots
    slow = 1 + BATCH_SLOWDOWN * outstanding / replica.slots
    return wait + PREFILL_WEIGHT * prefill * slow


def choose_replica(
    ring: Ring,
    replicas: Mapping[str, Replica],
    *,
    prefix_key: int,
    prompt_chars: int,
    own: Mapping[str, int],
    limits: Mapping[str, float],
    cached_chars: Mapping[str, int],
    excluded: frozenset[str],
    n_daemons: int,
    now: float,
) -> Choice | None:
    """Chooses a replica for a model request.

    Args:
        ring: live replicas of the model.
        replicas: by id, with their last reports.
        prefix_key: from `hash_prefix`.
        prompt_chars: length of the prompt.
        own: this daemon's requests in progress by replica.
        limits: concurrency limits by replica.
        cached_chars: by replica, how much of the prompt it likely holds.
        excluded: replicas that leave or that failed this request.
        n_daemons: that send requests to the same replicas.
        now: monotonic seconds.

    Returns:
        The choice, or None when no replica is below its limit.
    """
    n_wanted = FIRST_CANDIDATES
    home = list_candidates(ring, prefix_key, 1)
    # All daemons send a prefix there first, so it likely holds what others sent.
    held = {home[0]: min(HOME_CHARS, prompt_chars), **cached_chars} if home else {}
    while True:
        candidates = list_candidates(ring, prefix_key, n_wanted)
        open_ones = [
            replicas[found]
            for found in candidates
            if found not in excluded
            and own.get(found, 0) < limits.get(found, replicas[found].slots)
        ]
        scored = [
            (
                predict_first_token(
                    replica,
                    own=own.get(replica.id, 0),
                    n_daemons=n_daemons,
                    uncached_tokens=(prompt_chars - held.get(replica.id, 0))
                    / CHARS_PER_TOKEN,
                    now=now,
                ),
                place,
                replica,
            )
            for place, replica in enumerate(open_ones)
        ]
        best = min(scored, default=None, key=lambda item: item[:2])
        widened = len(candidates) >= min(MAX_CANDIDATES, len(ring.ids))
        if best is not None and (best[0] <= WIDEN_ABOVE_S or widened):
            reason = f"least predicted first token of {len(open_ones)} by prefix"
            return Choice(
                replica=best[2],
                predicted_s=best[0],
                n_candidates=len(candidates),
                reason=reason,
            )
        if len(candidates) >= len(ring.ids):
            return None
        # Past the widest affine set only an open slot matters.
        n_wanted = n_wanted * 2 if not widened else len(ring.ids)


def choose_plain(
    replicas: Sequence[Replica],
    *,
    own: Mapping[str, int],
    excluded: frozenset[str],
    random_state: random.Random,
) -> Replica | None:
    """Chooses a plain service's replica: the lesser of two picked at random."""
    usable = [replica for replica in replicas if replica.id not in excluded]
    if not usable:
        return None
    pair = random_state.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda replica: own.get(replica.id, 0))
