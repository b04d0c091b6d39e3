"""Checks what callers and backend servers observed against the guarantees."""

import re
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime
from typing import Final

from berylpost.fakes.duty_api import DutyCallChecker
from berylpost.fakes.replica import N_EVENTS, SIGNATURE

from .callers import REQUEST_KINDS, RequestRecord
from .lapse_check import list_unserved
from .periods import CutPeriod
from .world import DRAIN_S, GRACE_S, Backend, LimitPeriod, World

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
DENIED_STATUSES: Final = frozenset({401, 403, 404})
AT_MOST_ONCE_KINDS: Final = frozenset({"book", "stream/once"})
REVOKE_S: Final = 5.0  # after this time no request runs with a revoked key
# Within this time a new configuration is in force everywhere, without disturbances.
APPLY_S: Final = 2.0
STEADY_S: Final = 3.0  # time without disturbances after which time limits apply
KEEP_ALIVE_CLOSE_MARGIN_S: Final = 0.3  # around the planned close of an idle connection
# Calls that were under way when their sender resumed arrive within this time.
RESUME_MARGIN_S: Final = 0.3
# A stream's events name a version other than the first in their data.
EVENT_VERSION: Final = re.compile(rb"(?<=w\d)(@?\w*)\n\n")
MIN_TAKEN_UP: Final = 12  # streams from which on the share of those that go on counts
MIN_TAKEN_UP_SHARE: Final = 0.5  # of the share of new streams that begin
N_CRASHES: Final = 5  # after which a part that crashes servers must be known
N_REQUEST_CRASHES: Final = 3  # after which a request that crashes servers must be known
LIMIT_WINDOW_S: Final = 4.0  # in which the requests of a limited server are counted
MAX_FALLS: Final = 2  # of a brittle server, as the platform's rule allows
MAX_LATE_RUNS: Final = 3  # of such a part, later than `STEADY_S` after that
MIN_SOUND: Final = 20  # sound streams from which on the share of those begun counts
MIN_SOUND_SHARE: Final = 0.5  # of the share that begins outside disturbances
LEASE_S: Final = 3.0  # default lease duration of the daemons
STREAM_BODY: Final = b"".join(
    b"id: %d\ndata: w%d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)
)


class DutyHolderChecker(DutyCallChecker):
    """Checks calls of duty holders, except those made when a disturbance ends.

    A call that was under way while its sender was paused, or while its link to the
    cloud API was disturbed, may arrive when the sender resumes or the link recovers.

    Args:
        world: World whose recorded disturbances are taken into account.
    """

    def __init__(self, *, world: World) -> None:
        super().__init__(lease_s=LEASE_S)
        self._world = world

    def record_call(self, subject: str, holder: str, fence: int, now: float) -> None:
        """Checks one call."""
        kinds = ("pause", "cloud_link")
        for disturbance in self._world.disturbances:
            at_end = abs(now - disturbance.ended_at) <= RESUME_MARGIN_S
            if disturbance.kind in kinds and disturbance.target == holder and at_end:
                return
        super().record_call(subject, holder, fence, now)


@dataclass(slots=True, kw_only=True)
class GuaranteeChecker:
    """Observations of a run, and the guarantees that they violate.

    Attributes:
        world: World that is observed.
        counts: Number of requests by kind and outcome.
        violations: One line for each violated guarantee.
        records: Requests of all callers.
        runs: Time and backend server of each run, by attempt id.
    """

    world: World
    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    records: list[RequestRecord] = field(default_factory=list)
    runs: dict[str, list[tuple[float, Backend]]] = field(default_factory=dict)

    def record_run(self, attempt: str, customer: str, backend: Backend) -> None:
        """Records a run that a backend server reported."""
        now = time.monotonic()
        self.runs.setdefault(attempt, []).append((now, backend))
        if customer not in ("one", "-"):
            self._add_violation("customer", attempt, f"ran for {customer}")
        late_s = now - backend.draining_since
        steady_since = backend.draining_since - STEADY_S
        if late_s > DRAIN_S and not self.world.was_disturbed(steady_since, now):
            self._add_violation(
                "leaving", attempt, f"ran {late_s:.2f} s after draining began"
            )

    def record_answer(self, record: RequestRecord) -> None:
        """Records the outcome of a request."""
        self.records.append(record)
        kind = record.kind if not record.kind.startswith("v") else "probe"
        if record.resumed_id:
            kind += " taken up"
        outcome = str(record.status) if record.complete else "unfinished"
        self.counts[f"{kind} {'left' if record.abandoned else outcome}"] += 1
        if record.complete and 200 <= record.status < 300:
            self._check_success(record)
        if record.kind.startswith("stream") and record.status == 200:
            versions = set(EVENT_VERSION.findall(record.events))
            if len(versions) > 1:
                self._add_violation("versions", record.id, f"events of {versions}")
        allowed = kind != "probe" and record.key not in self.world.revoked
        if allowed and record.complete and record.status in DENIED_STATUSES:
            recently_configured = (
                record.sent_at - self.world.configured_at < APPLY_S + STEADY_S
            )
            if not recently_configured and not self._overlaps_disturbance(
                record, STEADY_S
            ):
                self._add_violation(
                    "denied", record.id, f"{record.status} for a valid key"
                )

    def check_all(self) -> None:
        """Runs the checks that need all observations; called once, at the end."""
        for record in self.records:
            n_runs = len(self.runs.get(record.id, ()))
            # Each stopped run goes on as the same run, once.
            n_same = min(self.world.n_stopped[record.id], self.world.n_moved[record.id])
            if record.kind in AT_MOST_ONCE_KINDS and n_runs - n_same > 1:
                self._add_violation(
                    "twice", record.id, f"{record.kind} ran {n_runs} times"
                )
            if record.complete and record.status in NOT_RUN_STATUSES and n_runs:
                self._add_violation(
                    "not run", record.id, f"{record.status}, but the request ran"
                )
            self._check_revoked_key(record, n_runs)
            self._check_unanswered(record, n_runs)
        self._check_configuration_order()
        self._check_taken_up()
        for part, crashes in self.world.crashes.items():
            self._check_bad_part(part, crashes)
        for period in self.world.limit_periods:
            self._check_limit(period)
        for cut in self.world.cut_periods:
            self._check_cut(cut)
        for lapse in self.world.lapse_periods:
            lines, n_checked = list_unserved(
                lapse, world=self.world, records=self.records
            )
            self.counts["lapse checked daemons"] += n_checked
            for line in lines:
                self._add_violation("lapse", "-", line)
        for brittle in self.world.brittle_periods:
            if brittle.n_falls > MAX_FALLS:
                self._add_violation(
                    "brittle", brittle.backend.id, f"fell over {brittle.n_falls} times"
                )
        self._check_named_leaving()
        for violation in self.world.cloud.checker.violations:
            self._add_violation("holders", "-", violation)
        for exit_text in self.world.unexpected_exits:
            self._add_violation("exit", "-", exit_text)

    def _check_taken_up(self) -> None:
        """Checks that streams which callers take up go on like new ones begin."""
        n_served: Counter[bool] = Counter()
        n_sent: Counter[bool] = Counter()
        for record in self.records:
            if record.kind == "stream" and record.key not in self.world.revoked:
                n_sent[bool(record.resumed_id)] += 1
                n_served[bool(record.resumed_id)] += record.status == 200
        if n_sent[True] < MIN_TAKEN_UP or not n_sent[False]:
            return
        taken_up, new = (n_served[kind] / n_sent[kind] for kind in (True, False))
        if taken_up < MIN_TAKEN_UP_SHARE * new:
            self._add_violation("taken up", "-", f"{taken_up:.2f} against {new:.2f}")

    def _check_bad_part(self, part: str, crashes: list[float]) -> None:
        """Checks that what crashes servers is held back, and nothing else."""
        n_crashes = N_CRASHES
        if part in self.world.bad_requests:
            n_crashes = N_REQUEST_CRASHES
        if len(crashes) >= n_crashes:
            held_at = crashes[n_crashes - 1] + STEADY_S
            n_late = sum(
                at > held_at
                and not self.world.was_daemon_disturbed(
                    record.daemon, at - STEADY_S, at
                )
                for record in self.records
                if part in (record.part, record.bad_request)
                for at, _ in self.runs.get(record.id, ())
            )
            if n_late > MAX_LATE_RUNS:
                self._add_violation("crashing", part, f"ran {n_late} times more")
        if not crashes:
            return
        # The answers of sound streams while the part is held, against the rest.
        since = crashes[:n_crashes][-1] + 2 * STEADY_S
        until = self.world.bad_part_ended_at[part]
        during: Counter[bool] = Counter()
        outside: Counter[bool] = Counter()
        for record in self.records:
            sound = record.kind.startswith("stream") and record.part.startswith("good")
            if not sound or record.resumed_id or record.key in self.world.revoked:
                continue
            if since < record.sent_at < until:
                during[record.status == 200] += 1
            elif not self._overlaps_disturbance(record, STEADY_S):
                outside[record.status == 200] += 1
        if min(during.total(), outside.total()) < MIN_SOUND:
            return
        shares = [counts[True] / counts.total() for counts in (during, outside)]
        if shares[0] < MIN_SOUND_SHARE * shares[1]:
            self._add_violation(
                "held back", part, f"{shares[0]:.2f} of sound, {shares[1]:.2f} else"
            )

    def _check_limit(self, period: LimitPeriod) -> None:
        """Checks that a server which named a request rate got no more."""
        daemons = {record.id: record.daemon for record in self.records}
        since = period.started_at + STEADY_S
        times = sorted(
            at
            for attempt, runs in self.runs.items()
            for at, backend in runs
            if backend is period.backend
            and since <= at <= period.ended_at
            and attempt in daemons
            and not self.world.was_daemon_disturbed(
                daemons[attempt], period.started_at, at
            )
        )
        allowed = 1.5 * LIMIT_WINDOW_S * period.rate + 5
        for index, at in enumerate(times):
            n_runs = sum(at - other <= LIMIT_WINDOW_S for other in times[: index + 1])
            if n_runs > allowed:
                self._add_violation(
                    "limit", period.backend.id, f"{n_runs} runs at {period.rate}/s"
                )
                return

    def _check_cut(self, period: CutPeriod) -> None:
        """Checks that daemons which reach no server serve callers as the others do."""
        others = {daemon.name for daemon in self.world.daemons} - period.daemons
        served: Counter[bool] = Counter()
        sent: Counter[bool] = Counter()
        for record in self.records:
            since = record.sent_at - STEADY_S
            if (
                not period.started_at + STEADY_S <= record.sent_at <= period.ended_at
                or record.abandoned
                or record.kind not in REQUEST_KINDS
                or record.key in self.world.revoked
                or self.world.was_disturbed(since, record.ended_at, target="all")
                or self._was_otherwise_disturbed(record.daemon, since, record.ended_at)
            ):
                continue
            is_cut = record.daemon in period.daemons
            # Nobody can pass connections on while all others are being stopped.
            if is_cut and all(
                self._was_otherwise_disturbed(other, since, record.ended_at)
                for other in others
            ):
                continue
            sent[is_cut] += 1
            served[is_cut] += record.complete and record.status == 200
        n_failed = sent[True] - served[True]
        if not sent[False] or n_failed <= 10 + sent.total() / 50:
            return
        if served[True] * sent[False] < 2 / 3 * served[False] * sent[True]:
            self._add_violation(
                "cut off",
                ",".join(sorted(period.daemons)),
                f"served {served[True]} of {sent[True]}, "
                f"others {served[False]} of {sent[False]}",
            )

    def _was_otherwise_disturbed(self, daemon: str, since: float, until: float) -> bool:
        # The rule leaves out daemons that are being stopped.
        lasts_s = {"stop": GRACE_S}
        return any(
            d.target == daemon
            and d.kind != "backend_cut"
            and d.started_at <= until
            and d.ended_at + lasts_s.get(d.kind, 0.0) >= since
            for d in self.world.disturbances
        )

    def _check_named_leaving(self) -> None:
        """Checks that servers whose answers say that they leave get no new requests.

        A request of which the caller saw such an answer counts from the answer's end,
        at the same start of the same daemon.
        """
        named: dict[tuple[str, int, str], float] = {}
        for record in sorted(self.records, key=lambda r: r.ended_at):
            if record.complete and record.headers.get("server-leaving") == "1":
                for _, backend in self.runs.get(record.id, ()):
                    if not backend.entry_says_leaving:
                        key = (record.daemon, record.n_starts, backend.id)
                        named.setdefault(key, record.ended_at)
        for record in self.records:
            for at, backend in self.runs.get(record.id, ()):
                key = (record.daemon, record.n_starts, backend.id)
                named_at = named.get(key, float("inf"))
                if record.sent_at <= named_at + DRAIN_S:
                    continue
                # Only a pause of the daemon excuses it.
                if not self.world.was_paused(record.daemon, named_at, at):
                    self._add_violation(
                        "leaving", record.id, f"ran {at - named_at:.1f} s after"
                    )

    def _check_success(self, record: RequestRecord) -> None:
        echoed = record.headers.get("x-berylpost-attempt-id")
        signed = record.headers.get("x-berylpost-replica-signature") == SIGNATURE
        # Some faults of the fake backend server answer a stream request with one
        # complete body.
        expected_bodies = {b"echo:" + record.body}
        if record.kind.startswith("stream"):
            expected_bodies.add(STREAM_BODY)
        if echoed != record.id or not signed:
            self._add_violation("mixed", record.id, f"echo {echoed}, signed {signed}")
        answer = EVENT_VERSION.sub(b"\n\n", record.received + record.answer)
        if answer not in expected_bodies:
            self._add_violation(
                "mixed", record.id, f"{record.kind}: {record.answer[:200]!r}"
            )

    def _check_revoked_key(self, record: RequestRecord, n_runs: int) -> None:
        revoked_at = self.world.revoked.get(record.key)
        if revoked_at is None or not n_runs or record.kind == "open":
            return
        if record.sent_at > revoked_at + REVOKE_S:
            self._add_violation(
                "key", record.id, f"ran with key {record.key} after it was revoked"
            )

    def _check_unanswered(self, record: RequestRecord, n_runs: int) -> None:
        """Checks that planned work alone leaves no request unanswered."""
        if (
            record.complete
            or record.abandoned
            or self._overlaps_disturbance(record, STEADY_S)
        ):
            return
        if record.reused and not n_runs:
            return  # sent while the daemon closed the idle connection
        sent_at = time.time() - (time.monotonic() - record.sent_at)
        self._add_violation(
            "cut",
            record.id,
            f"{record.kind} at {record.daemon} had no complete answer, sent at "
            f"{datetime.fromtimestamp(sent_at).time()}, ended "
            f"{record.ended_at - record.sent_at:.3f} s later; sent on a "
            f"{'kept' if record.reused else 'new'} connection; ran {n_runs} times; "
            f"{record.passage}",
        )

    def _check_configuration_order(self) -> None:
        """Checks that one start of a daemon never goes back to an older configuration.

        Each configuration has a route named after its number, so that a run shows which
        configurations were in force.
        """
        newest: dict[tuple[str, int], tuple[int, float]] = {}
        for record in sorted(self.records, key=lambda a: a.sent_at):
            if not record.kind.startswith("v") or not self.runs.get(record.id):
                continue
            version = int(record.kind[1:])
            key = (record.daemon, record.n_starts)
            newest_version, newest_at = newest.get(key, (0, 0.0))
            if version < newest_version and record.sent_at > newest_at:
                self._add_violation(
                    "reverted", record.id, f"v{version} served after v{newest_version}"
                )
            if version > newest_version:
                newest[key] = (version, record.ended_at)

    def _overlaps_disturbance(self, record: RequestRecord, before_s: float) -> bool:
        return self.world.was_disturbed(record.sent_at - before_s, record.ended_at)

    def _add_violation(self, guarantee: str, attempt: str, text: str) -> None:
        self.violations.append(f"{guarantee}: {attempt}: {text}")
