"""Routing: chooses the backend server for a request.

A model request has a few candidates, found on a hash ring by prefix key, and goes to
the one with the lowest predicted time to first token. More candidates are added while
even the best one is slow. A plain call goes to the less loaded of two random replicas.
The weight of a load report decays with its age, so that stale reports do not make all
daemons send to the same server.
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
# Length of a shared system prompt; longer keys would split frequently used prefixes.
PREFIX_CHARS: Final = 512
FIRST_CANDIDATES: Final = 2
MAX_CANDIDATES: Final = 16
LOAD_HALF_LIFE_S: Final = 2.0
WIDEN_ABOVE_S: Final = 0.05  # predicted wait above which more candidates are considered
# Above 1, because tokens that are recomputed also delay other requests.
PREFILL_WEIGHT: Final = 4.0
# Length of a shared prompt that is assumed cached at the first replica on the ring.
ASSUMED_CACHED_CHARS: Final = 4_000
OUTSTANDING_ERROR: Final = 1.5  # error of the estimated number of outstanding requests
BATCH_SLOWDOWN: Final = 0.5  # relative slowdown of prefill with a full batch
CHARS_PER_TOKEN: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Replica:
    """One backend server as known to this daemon.

    Attributes:
        id: id of its VM.
        address: IP-NUMBER:PORT.
        name: name of the model or service that it runs.
        zone: its availability zone.
        version: version of the model; empty for services.
        slots: requests that it runs at the same time.
        reported: its running and waiting requests according to the last report.
        reported_at: time of that report, monotonic seconds.
        reported_own: this daemon's requests there at the time of that report.
        service_s: mean time for which a request occupies a slot, in seconds.
        prefill_token_s: prefill time per prompt token, in seconds.
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
    """A hash ring in packed arrays.

    Attributes:
        ids: replica ids.
        points: hash values in ascending order.
        places: for each point, the index of its replica in `ids`.
    """

    ids: tuple[str, ...]
    points: "array[int]"
    places: "array[int]"


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The chosen replica, with a human-readable reason.

    Attributes:
        replica: the chosen replica.
        predicted_s: predicted time to first token, weighted; see
            `predict_first_token`.
        n_candidates: number of candidates on the ring that were considered.
        reason: why the replica was chosen.
    """

    replica: Replica
    predicted_s: float
    n_candidates: int
    reason: str


def build_ring(ids: Sequence[str]) -> Ring:
    """Builds the hash ring of a model's live replicas from their ids."""
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
    """Computes the prefix key of a prompt."""
    return hash_text(text[:PREFIX_CHARS])


def list_candidates(ring: Ring, key: int, n_wanted: int) -> list[str]:
    """Lists the ids of the first distinct replicas clockwise from a key."""
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

    The other daemons' load is taken from the last report. As the report ages, it is
    gradually replaced by an estimate from this daemon's own load there, because callers
    are spread evenly over the daemons. When the report decayed to zero instead, every
    daemon saw free capacity at replicas to which all of them were sending.

    Args:
        replica: the replica with its last report.
        own: this daemon's requests in progress at the replica.
        n_daemons: number of daemons that send requests to the same replicas.
        uncached_tokens: prompt tokens that the replica would have to compute.
        now: monotonic seconds.
    """
    age = max(0.0, now - replica.reported_at)
    others = max(0, replica.reported - replica.reported_own)
    report_weight = math.pow(0.5, age / LOAD_HALF_LIFE_S)
    outstanding = (
        own + others * report_weight + own * (n_daemons - 1) * (1 - report_weight)
    )
    prefill = uncached_tokens * replica.prefill_token_s
    # One slot becomes free every service_s / slots. The count is an estimate, so the
    # predicted wait increases smoothly before all slots are in use, which also keeps
    # the fullest replica from filling up.
    excess = (outstanding + 1 - replica.slots) / OUTSTANDING_ERROR
    soft_excess = OUTSTANDING_ERROR * (
        excess if excess > 30 else math.log1p(math.exp(excess))
    )
    wait = soft_excess * replica.service_s / replica.slots
    slowdown = 1 + BATCH_SLOWDOWN * outstanding / replica.slots
    return wait + PREFILL_WEIGHT * prefill * slowdown


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
        ring: hash ring of the model's live replicas.
        replicas: replicas by id, with their last reports.
        prefix_key: prefix key of the prompt, from `hash_prefix`.
        prompt_chars: length of the prompt in characters.
        own: this daemon's requests in progress, by replica id.
        limits: concurrency limits by replica id.
        cached_chars: characters of the prompt that are probably cached, by replica id.
        excluded: ids of replicas that are leaving or that failed this request.
        n_daemons: number of daemons that send requests to the same replicas.
        now: monotonic seconds.

    Returns:
        The choice, or None if no replica is below its limit.
    """
    n_wanted = FIRST_CANDIDATES
    home = list_candidates(ring, prefix_key, 1)
    # All daemons send a prefix to this replica first, so it has probably cached what
    # other daemons sent.
    likely_cached = (
        {home[0]: min(ASSUMED_CACHED_CHARS, prompt_chars), **cached_chars}
        if home
        else {}
    )
    while True:
        candidates = list_candidates(ring, prefix_key, n_wanted)
        below_limit = [
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
                    uncached_tokens=(prompt_chars - likely_cached.get(replica.id, 0))
                    / CHARS_PER_TOKEN,
                    now=now,
                ),
                place,
                replica,
            )
            for place, replica in enumerate(below_limit)
        ]
        best = min(scored, default=None, key=lambda item: item[:2])
        at_maximum = len(candidates) >= min(MAX_CANDIDATES, len(ring.ids))
        if best is not None and (best[0] <= WIDEN_ABOVE_S or at_maximum):
            reason = f"least predicted first token of {len(below_limit)} by prefix"
            return Choice(
                replica=best[2],
                predicted_s=best[0],
                n_candidates=len(candidates),
                reason=reason,
            )
        if len(candidates) >= len(ring.ids):
            return None
        # Beyond the maximum number of candidates by prefix, only free capacity matters.
        n_wanted = n_wanted * 2 if not at_maximum else len(ring.ids)


def choose_plain(
    replicas: Sequence[Replica],
    *,
    own: Mapping[str, int],
    excluded: frozenset[str],
    random_state: random.Random,
) -> Replica | None:
    """Chooses a plain service's replica: the less loaded of two random ones.

    Args:
        replicas: the replicas of the service.
        own: this daemon's requests in progress, by replica id.
        excluded: ids of replicas that must not be chosen.
        random_state: random stream for the two samples.

    Returns:
        The replica, or None if all are excluded.
    """
    usable = [replica for replica in replicas if replica.id not in excluded]
    if not usable:
        return None
    sampled = random_state.sample(usable, min(2, len(usable)))
    return min(sampled, key=lambda replica: own.get(replica.id, 0))
