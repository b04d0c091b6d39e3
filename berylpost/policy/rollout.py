"""Decides how much of a service's traffic a new version gets, and whether it is good.

The load it is designed for: 70 daemons and 4 to 70 servers a version, 5 to 400 requests
a second, orders of 12 s and more. Some versions fail or are several times slower in a
part of their answers: at once, late, under load, or on one route.

The verdict compares the answers of the new version with those of the old one since the
order, and in the last seconds, for each route and for all of them: whether the new
version would give that many failures, or failures and slow answers, if its share of
them were little more than the old one's. A few bad answers suffice where the old
version gives none; a service whose old version is slow as well needs more.

Until the verdict "good" the new version gets no more than the exposure limit allows of
the requests so far. A version may turn bad late, so the verdict is given as late as the
order allows: when just the time is left in which running requests of the old version
end and the status is written. Then all requests go to the new version, which is still
judged, and reverted if it turns bad under the whole load. It is complete when the old
version runs nothing more, or at the last moment before the deadline. A version that
turns bad in these last seconds exceeds the exposure limit; nothing is known by which an
earlier verdict could catch it.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

MAX_BAD: Final = 50  # answers; the limit that deployments set for a rollback
# Chance at which a good version is reverted by one comparison. Some thousand dependent
# comparisons of an order together stay below one in a hundred.
REVERT_CHANCE: Final = 1e-5
# The same for the two last comparisons, before all traffic moves and before the old
# version ends. Each is made once, and a bad version that passes both is complete.
DOUBT_CHANCE: Final = 3e-3
# A new version may give this many times the old one's bad answers, and this share more:
# its servers have cold caches. Bad versions exceed it several times.
TOLERATED_FACTOR: Final = 1.5
TOLERATED_SHARE: Final = 0.01
# Answers that an unknown old version is taken to have given, half of one of them bad.
PRIOR_ANSWERS: Final = 10.0
PRIOR_BAD: Final = 0.5
RECENT_S: Final = 4.0  # span that shows a late change; half of the shortest canary
MIN_RECENT: Final = 20  # answers of the old version that can be compared
# Part of the extra exposure that is used; the rest is for requests not yet reported.
USED_EXTRA: Final = 0.7
# Part of the exposure share that is given without regard to what was used so far.
USED_SHARE: Final = 0.9
# Time until the holder learns what a share caused and until its next word has reached
# all daemons: a report, a decision and its lifetime.
REACTION_S: Final = 3.0
MAX_CANARY_SHARE: Final = 0.5  # leaves the old version answers to compare with
# Requests that may be unanswered before the first answers; well below `MAX_BAD`.
FIRST_PROBES: Final = 20.0
PROBES_PER_ANSWER: Final = 0.5  # unanswered requests allowed for each answer
PROBE_REACTION_S: Final = 1.5  # a report and a decision
MIN_CANARY_S: Final = 1.5  # even where servers register late
# Time for the last word to all daemons and the status before the deadline: share of the
# order, and at least the word's way and two calls that are repeated once.
FINISH_SHARE: Final = 0.06
MIN_FINISH_S: Final = 2.0
# Time for running requests to end after all traffic has moved.
MAX_DRAIN_SHARE: Final = 0.25
MIN_DRAIN_S: Final = 2.5
DRAIN_EXTRA_S: Final = 1.0  # until all daemons have moved
SETTLE_S: Final = 1.2  # from the move until a report without running requests counts
# All traffic is watched for this long even if the old version is idle before, which
# shows a version that turned bad with the move or just before it.
WATCHED_S: Final = 2.5


class Phase(StrEnum):
    """State of an order.

    Attributes:
        WAITING: no server of the new version is registered.
        CANARY: the new version gets a share of the requests.
        HOLDING: the exposure limit leaves it none for now.
        MOVING: it was found good and gets all; requests of the old version end.
        COMPLETE: it serves alone.
        REVERTED: it gets nothing any more.
    """

    WAITING = "waiting"
    CANARY = "canary"
    HOLDING = "holding"
    MOVING = "moving"
    COMPLETE = "complete"
    REVERTED = "reverted"


FINAL: Final = frozenset({Phase.COMPLETE, Phase.REVERTED})


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCounts:
    """Answers of one version."""

    n_good: int = 0
    n_failed: int = 0
    n_slow: int = 0

    @property
    def n_bad(self) -> int:
        """Failures and slow answers."""
        return self.n_failed + self.n_slow

    @property
    def n_answers(self) -> int:
        """All answers."""
        return self.n_good + self.n_bad

    def __add__(self, other: "AnswerCounts") -> "AnswerCounts":
        """Adds up two counts."""
        return AnswerCounts(
            n_good=self.n_good + other.n_good,
            n_failed=self.n_failed + other.n_failed,
            n_slow=self.n_slow + other.n_slow,
        )

    def __sub__(self, other: "AnswerCounts") -> "AnswerCounts":
        """Returns what came after an earlier count; a daemon's loss lowers none."""
        return AnswerCounts(
            n_good=max(0, self.n_good - other.n_good),
            n_failed=max(0, self.n_failed - other.n_failed),
            n_slow=max(0, self.n_slow - other.n_slow),
        )


NO_ANSWERS: Final = AnswerCounts()
# Stands for a route: answers that count for the version, but not for a route.
NO_ROUTE: Final = ""
RouteCounts = Mapping[str, AnswerCounts]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExposureLimits:
    """How many requests a version may get before it is found good."""

    share: float = 0.1
    extra: float = 50.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutView:
    """What the daemon that decides knows of an order.

    Attributes:
        elapsed_s: time since the order.
        duration_s: time from the order to its deadline.
        is_stable: whether the ordered version is the one that served before.
        n_new_servers: registered servers of the new version.
        n_old_servers: registered servers of the old version.
        n_reached: requests that reached the service since the order.
        rate: requests a second that reach the service now.
        n_sent: requests that were sent to the new version.
        n_running_old: requests that run at the old version.
        drain_s: the longest time that requests of the old version took lately.
        new: answers of the new version by route.
        old: answers of the old version by route.
    """

    elapsed_s: float
    duration_s: float
    is_stable: bool
    n_new_servers: int
    n_old_servers: int
    n_reached: int
    rate: float
    n_sent: int
    n_running_old: int
    drain_s: float
    new: RouteCounts
    old: RouteCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The state of an order from now on, the share of requests, and why."""

    phase: Phase
    share: float
    reason: str


@dataclass(slots=True, kw_only=True)
class Progress:
    """What the deciding daemon keeps between two decisions on an order.

    Attributes:
        since_s: time from the order to the begin of the phase; a holder or canary
            counts from the first request.
        marks: earlier counts, of which the oldest is `RECENT_S` old.
    """

    phase: Phase = Phase.WAITING
    since_s: float = 0.0
    marks: deque[tuple[float, RouteCounts, RouteCounts]] = field(default_factory=deque)


def find_tail(n_bad: int, n: int, share: float) -> float:
    """Returns the chance of at least `n_bad` bad among `n` answers.

    Args:
        n_bad: bad answers.
        n: answers.
        share: chance that one answer is bad.
    """
    if n_bad <= n * share:
        return 1.0
    log_term = (
        math.lgamma(n + 1)
        - math.lgamma(n_bad + 1)
        - math.lgamma(n - n_bad + 1)
        + n_bad * math.log(share)
        + (n - n_bad) * math.log1p(-share)
    )
    term = total = math.exp(log_term)
    for k in range(n_bad, n):
        term *= (n - k) / (k + 1) * share / (1 - share)
        total += term
        if term < total * 1e-6:
            break
    return total


def find_chance(new: AnswerCounts, old: AnswerCounts) -> float:
    """Returns the chance that a good version gives such answers beside the old one."""
    return min(
        _find_part_chance(new.n_bad, new.n_answers, old.n_bad, old.n_answers),
        _find_part_chance(new.n_failed, new.n_answers, old.n_failed, old.n_answers),
    )


def _find_part_chance(n_bad: int, n: int, n_old_bad: int, n_old: int) -> float:
    share = (n_old_bad + PRIOR_BAD) / (n_old + PRIOR_ANSWERS)
    return find_tail(n_bad, n, min(0.9, TOLERATED_FACTOR * share + TOLERATED_SHARE))


def exceeds_bad_limit(new: AnswerCounts, old: AnswerCounts) -> bool:
    """Tells whether a version has given its last tolerated bad answer.

    Bad answers that the old version gives as often are not the new version's.
    """
    if new.n_bad < MAX_BAD:
        return False
    share = old.n_bad / old.n_answers if old.n_answers else 0.0
    return new.n_bad > TOLERATED_FACTOR * share * new.n_answers


def sum_counts(counts: RouteCounts) -> AnswerCounts:
    """Adds up the counts of all routes."""
    return sum(counts.values(), NO_ANSWERS)


def find_least_chance(progress: Progress, view: RolloutView) -> float:
    """Returns the least chance of the comparisons by route and by span of time."""
    _, new_before, old_before = (
        progress.marks[0] if progress.marks else (0.0, view.new, view.old)
    )
    pairs = [(sum_counts(view.new), sum_counts(view.old))]
    recent_pairs = [(sum_counts(new_before), sum_counts(old_before))]
    for route, new in view.new.items():
        if route == NO_ROUTE:
            continue
        pairs.append((new, view.old.get(route, NO_ANSWERS)))
        recent_pairs.append(
            (new_before.get(route, NO_ANSWERS), old_before.get(route, NO_ANSWERS))
        )
    least = 1.0
    for (new, old), (new_then, old_then) in zip(pairs, recent_pairs, strict=True):
        old_lately = old - old_then
        enough = old_lately.n_answers >= MIN_RECENT
        least = min(
            least,
            find_chance(new, old),
            find_chance(new - new_then, old_lately if enough else old),
        )
    return least


def find_verdict_time(view: RolloutView) -> float:
    """Returns when the verdict "good" is given, seconds after the order."""
    longest_s = MAX_DRAIN_SHARE * view.duration_s
    drain_s = min(longest_s, max(MIN_DRAIN_S, view.drain_s + DRAIN_EXTRA_S))
    return find_last_time(view) - drain_s


def find_last_time(view: RolloutView) -> float:
    """Returns when the version becomes complete at the latest."""
    finish_s = max(MIN_FINISH_S, FINISH_SHARE * view.duration_s)
    return view.duration_s - finish_s


def find_share(view: RolloutView, limits: ExposureLimits) -> float:
    """Returns the share of requests that the new version may get until it is judged."""
    n_left = limits.share * view.n_reached + USED_EXTRA * limits.extra - view.n_sent
    # Half of what is left, so that shares that are still in force fit in as well.
    n_ahead = max(1.0, view.rate * REACTION_S)
    allowed = USED_SHARE * limits.share + n_left / (2 * n_ahead)
    n_answers = sum_counts(view.new).n_answers
    n_unanswered = max(0, view.n_sent - n_answers)
    n_probes = FIRST_PROBES + PROBES_PER_ANSWER * n_answers - n_unanswered
    probing = n_probes / max(1.0, view.rate * PROBE_REACTION_S)
    return max(0.0, min(MAX_CANARY_SHARE, allowed, probing))


def plan_rollout(
    progress: Progress, view: RolloutView, limits: ExposureLimits
) -> Decision:
    """Decides on an order and notes the result in `progress`."""
    decision = _STEPS[progress.phase](progress, view, limits)
    if decision.phase is not progress.phase:
        if {decision.phase, progress.phase} != {Phase.CANARY, Phase.HOLDING}:
            progress.since_s = view.elapsed_s
        progress.phase = decision.phase
    progress.marks.append((view.elapsed_s, view.new, view.old))
    while len(progress.marks) > 1 and (
        progress.marks[1][0] <= view.elapsed_s - RECENT_S
    ):
        progress.marks.popleft()
    return decision


def _wait(progress: Progress, view: RolloutView, limits: ExposureLimits) -> Decision:
    if view.is_stable or (view.n_new_servers and not view.n_old_servers):
        return Decision(phase=Phase.MOVING, share=1.0, reason="serves_already")
    if view.n_new_servers:
        share = find_share(view, limits)
        return Decision(phase=Phase.CANARY, share=share, reason="servers_registered")
    if view.elapsed_s >= find_last_time(view):
        return Decision(phase=Phase.REVERTED, share=0.0, reason="no_servers")
    return Decision(phase=Phase.WAITING, share=0.0, reason="no_servers")


def _find_fault(progress: Progress, view: RolloutView, chance: float) -> str:
    """Returns why the new version is to be reverted; empty if it is not."""
    if exceeds_bad_limit(sum_counts(view.new), sum_counts(view.old)):
        return "bad_answers"
    return "worse_answers" if find_least_chance(progress, view) < chance else ""


def _probe(progress: Progress, view: RolloutView, limits: ExposureLimits) -> Decision:
    # Without servers of the old version nothing is gained by waiting.
    is_time = view.elapsed_s >= find_verdict_time(view) or not view.n_old_servers
    is_due = is_time and view.elapsed_s - progress.since_s >= MIN_CANARY_S
    fault = _find_fault(progress, view, DOUBT_CHANCE if is_due else REVERT_CHANCE)
    if fault:
        return Decision(phase=Phase.REVERTED, share=0.0, reason=fault)
    if is_due and view.n_new_servers:
        return Decision(phase=Phase.MOVING, share=1.0, reason="good")
    if view.elapsed_s >= view.duration_s:
        return Decision(phase=Phase.REVERTED, share=0.0, reason="deadline")
    share = find_share(view, limits)
    if share > 0:
        return Decision(phase=Phase.CANARY, share=share, reason="unsure")
    return Decision(phase=Phase.HOLDING, share=0.0, reason="exposure")


def _move(progress: Progress, view: RolloutView, limits: ExposureLimits) -> Decision:
    moved_s = view.elapsed_s - progress.since_s
    watched_s = SETTLE_S if view.is_stable else WATCHED_S
    is_idle = moved_s >= watched_s and not view.n_running_old
    is_last = moved_s >= SETTLE_S and view.elapsed_s >= find_last_time(view)
    chance = DOUBT_CHANCE if is_idle or is_last else REVERT_CHANCE
    fault = "" if view.is_stable else _find_fault(progress, view, chance)
    if fault:
        return Decision(phase=Phase.REVERTED, share=0.0, reason=fault)
    if is_idle or is_last:
        reason = "old_version_idle" if is_idle else "deadline"
        return Decision(phase=Phase.COMPLETE, share=1.0, reason=reason)
    return Decision(phase=Phase.MOVING, share=1.0, reason="old_version_runs")


def _stay(progress: Progress, view: RolloutView, limits: ExposureLimits) -> Decision:
    share = 1.0 if progress.phase is Phase.COMPLETE else 0.0
    return Decision(phase=progress.phase, share=share, reason="final")


_STEPS: Final[
    Mapping[Phase, Callable[[Progress, RolloutView, ExposureLimits], Decision]]
] = {
    Phase.WAITING: _wait,
    Phase.CANARY: _probe,
    Phase.HOLDING: _probe,
    Phase.MOVING: _move,
    Phase.COMPLETE: _stay,
    Phase.REVERTED: _stay,
}
