"""Holds what callers and backend servers saw against the promises."""

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from berylpost.fakes.duty_api import DutyCallChecker
from berylpost.fakes.replica import N_EVENTS, SIGNATURE

from .callers import Asked
from .world import DRAIN_S, Backend, World

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
REFUSED_STATUSES: Final = frozenset({401, 403, 404})
ONCE: Final = frozenset({"book", "stream/once"})
REVOKE_S: Final = 5.0  # after it, a key that was taken away runs nowhere
APPLY_S: Final = 2.0  # a configuration is in force everywhere, without disturbance
STEADY_S: Final = 3.0  # without disturbance, after which the bounds in time hold
CLOSE_RACE_S: Final = 0.3  # around the planned end of a kept connection
THAW_S: Final = 0.3  # a call that was on its way when its sender woke
LEASE_S: Final = 3.0  # the daemons' default
EVENTS: Final = b"".join(
    b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)
)


class HolderJudge(DutyCallChecker):
    """Judges holders, but for calls right after their sender woke or was healed.

    Args:
        world: whose disturbances excuse.
    """

    def __init__(self, *, world: World) -> None:
        super().__init__(lease_s=LEASE_S)
        self._world = world

    def record_call(self, subject: str, holder: str, fence: int, now: float) -> None:
        """Judges one call."""
        kinds = ("pause", "cloud_link")
        for span in self._world.spans:
            at_end = abs(now - span.ended_at) <= THAW_S
            if span.kind in kinds and span.who == holder and at_end:
                return
        super().record_call(subject, holder, fence, now)


@dataclass(slots=True, kw_only=True)
class Judge:
    """What was seen, and the promises that it breaks."""

    world: World
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    runs: dict[str, list[tuple[float, Backend]]] = field(default_factory=dict)

    def take_run(self, attempt: str, customer: str, backend: Backend) -> None:
        """Takes a run that a backend server tells of."""
        now = time.monotonic()
        self.runs.setdefault(attempt, []).append((now, backend))
        if customer not in ("one", "-"):
            self._blame("customer", attempt, f"ran for {customer}")
        late_s = now - backend.leaves_at
        steady_since = backend.leaves_at - STEADY_S
        if late_s > DRAIN_S and not self.world.is_disturbed(steady_since, now):
            self._blame("leaving", attempt, f"ran {late_s:.2f} s after the notice")

    def take_answer(self, asked: Asked) -> None:
        """Takes what came of a request."""
        self.asked.append(asked)
        kind = asked.kind if not asked.kind.startswith("v") else "probe"
        outcome = str(asked.status) if asked.complete else "unfinished"
        self.counts[f"{kind} {'left' if asked.gave_up else outcome}"] += 1
        if asked.complete and 200 <= asked.status < 300:
            self._judge_success(asked)
        proper = kind != "probe" and asked.key not in self.world.revoked
        if proper and asked.complete and asked.status in REFUSED_STATUSES:
            fresh = asked.sent_at - self.world.changed_at < APPLY_S + STEADY_S
            if not fresh and not self._was_disturbed(asked, STEADY_S):
                self._blame("denied", asked.id, f"{asked.status} for a known key")

    def judge_all(self) -> None:
        """Judges what needs the whole picture; once, at the end."""
        for asked in self.asked:
            n_runs = len(self.runs.get(asked.id, ()))
            if asked.kind in ONCE and n_runs > 1:
                self._blame("twice", asked.id, f"{asked.kind} ran {n_runs} times")
            if asked.complete and asked.status in NOT_RUN_STATUSES and n_runs:
                self._blame("not run", asked.id, f"{asked.status} and ran")
            self._judge_key(asked, n_runs)
            self._judge_planned_stop(asked, n_runs)
        self._judge_versions()
        for breach in self.world.cloud.checker.violations:
            self._blame("holders", "-", breach)
        for exit_text in self.world.own_exits:
            self._blame("exit", "-", exit_text)

    def _judge_success(self, asked: Asked) -> None:
        echoed = asked.headers.get("x-berylpost-attempt-id")
        signed = asked.headers.get("x-berylpost-replica-signature") == SIGNATURE
        # Some of the stand-in's faults answer a stream with one whole body.
        wanted = {b"echo:" + asked.body}
        if asked.kind.startswith("stream"):
            wanted.add(EVENTS)
        if echoed != asked.id or not signed:
            self._blame("mixed", asked.id, f"echo {echoed}, signed {signed}")
        if asked.answer not in wanted:
            self._blame("mixed", asked.id, f"{asked.kind}: {asked.answer[:200]!r}")

    def _judge_key(self, asked: Asked, n_runs: int) -> None:
        revoked_at = self.world.revoked.get(asked.key)
        if revoked_at is None or not n_runs or asked.kind == "open":
            return
        if asked.sent_at > revoked_at + REVOKE_S:
            self._blame("key", asked.id, f"{asked.key} ran after it was revoked")

    def _judge_planned_stop(self, asked: Asked, n_runs: int) -> None:
        """Planned work cuts no request of a daemon that nothing else disturbs."""
        if asked.complete or asked.gave_up or self._was_disturbed(asked, STEADY_S):
            return
        if asked.reused and not n_runs:
            return  # it crossed the end of its kept connection
        self._blame("cut", asked.id, f"{asked.kind} at {asked.daemon} had no answer")

    def _judge_versions(self) -> None:
        """No start of a daemon serves a route after one of a later version."""
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for asked in sorted(self.asked, key=lambda a: a.sent_at):
            if not asked.kind.startswith("v") or not self.runs.get(asked.id):
                continue
            version = int(asked.kind[1:])
            key = (asked.daemon, asked.n_starts)
            seen, seen_at = newest.get(key, (0, 0.0))
            if version < seen and asked.sent_at > seen_at:
                self._blame("reverted", asked.id, f"v{version} after v{seen}")
            if version > seen:
                newest[key] = (version, asked.ended_at)

    def _was_disturbed(self, asked: Asked, before_s: float) -> bool:
        return self.world.is_disturbed(asked.sent_at - before_s, asked.ended_at)

    def _blame(self, promise: str, attempt: str, text: str) -> None:
        self.broken.append(f"{promise}: {attempt}: {text}")
