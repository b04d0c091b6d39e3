"""Steps for rollouts in virtual time, without a network.

The simulation has daemons that apply the share of the holder's last word, answer times,
reports that reach the holder with a delay, and a holder that decides every quarter of a
second.
"""

import heapq
import json
import random
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from berylpost.edge.rollout_counts import OrderCounts, RolloutCounts
from berylpost.edge.rollout_records import KnownRollout, RolloutRecord, RolloutTable
from berylpost.edge.rollout_tally import RolloutTally
from berylpost.platform.boot import decode_boot_settings
from berylpost.platform.object_wire import decode_object
from berylpost.platform.rollouts import decode_order
from berylpost.policy.rollout import (
    FINAL,
    AnswerCounts,
    ExposureLimits,
    Phase,
    Progress,
    RolloutView,
    plan_rollout,
)
from berylpost.policy.rollout_share import (
    WORD_LIFETIME_S,
    ShareCounter,
    choose_canaries,
    find_share_in_force,
)

N_DAEMONS = 70
STEP_S = 0.25
# Delays of a report: its interval and the way; for answers of the new version, for
# other counts, and for all counts while all traffic goes to the new version.
NEW_REPORT_S = (0.02, 0.4)
REPORT_S = (0.1, 2.1)
MOVING_REPORT_S = (0.1, 0.9)
WORD_S = (0.05, 0.4)  # delay of a word, spread by several daemons
ANSWER_S = 0.25
ROUTES = ("summary", "question", "pull")
LATE_S = 0.6  # part of the order after which a late version turns bad
BOOT_S = 1.0
ROLLBACK_S = 5.0


def is_bad(kind, daemon_random, elapsed, duration, route, share):
    """Tells whether the new version answers badly because it is bad."""
    parts = {
        "good": 0.0,
        "failing at once": 1.0,
        "failing in a fifth": 0.2,
        "slow in a third": 0.33,
        "failing late": 0.5 if elapsed > LATE_S * duration else 0.0,
        "failing on one route": 0.5 if route == ROUTES[2] else 0.0,
        # The canary's servers carry the load of all from the first requests on.
        "failing under load": 0.3 if share > 0.05 else 0.0,
    }
    return daemon_random.random() < parts[kind]


@dataclass
class Run:
    """One simulated order."""

    n_reached: int = 0
    n_sent: int = 0
    n_bad: int = 0
    n_sent_before_verdict: int = 0
    n_reached_before_verdict: int = 0
    fiftieth_at: float = float("inf")
    last_sent_at: float = 0.0
    ended: Phase = Phase.WAITING
    ended_at: float = 0.0
    reason: str = ""
    moved: bool = False
    sent_at: list = field(default_factory=list)


def simulate(*, rate, duration, kind, seed, slow=0.0, failed=0.0, silent_from=None):
    """Simulates one order, and the time after its end in which requests still come."""
    rng = random.Random(seed)
    run = Run()
    progress = Progress()
    daemons = [
        {"share": 0.0, "at": -9.0, "final": False, "gate": ShareCounter(credit=c)}
        for c in (rng.random() for _ in range(N_DAEMONS))
    ]
    counts = {"new": {}, "old": {}}
    known = {"reached": 0, "sent": 0, "running": 0}
    events = []
    serial = 0

    def draw_delay(name=""):
        if progress.phase is Phase.MOVING:
            return rng.uniform(*MOVING_REPORT_S)
        return rng.uniform(*(NEW_REPORT_S if name == "new" else REPORT_S))

    def push(at, action, *args):
        nonlocal serial
        serial += 1
        heapq.heappush(events, (at, serial, action, args))

    def hear(daemon, share, final, now):
        daemon.update(share=share, at=now, final=final)

    def report(name, route, change):
        of_version = counts[name]
        of_version[route] = of_version.get(route, AnswerCounts()) + change

    def answer(now, name, route, bad, slowly):
        change = AnswerCounts(
            n_good=not bad, n_failed=bad and not slowly, n_slow=bad and slowly
        )
        push(now + draw_delay(name), "report", name, route, change)

    def arrive(now):
        daemon = rng.choice(daemons)
        route = rng.choice(ROUTES)
        run.n_reached += 1
        push(now + draw_delay(), "count", "reached", 1)
        share = find_share_in_force(
            daemon["share"], age_s=now - daemon["at"], is_final=daemon["final"]
        )
        natural = rng.random()
        bad = natural < slow + failed
        slowly = natural < slow
        name = "old"
        if daemon["gate"].take(share):
            name = "new"
            run.n_sent += 1
            run.last_sent_at = now
            push(now + draw_delay("new"), "count", "sent", 1)
            faulty = is_bad(kind, rng, now, duration, route, share)
            if faulty:
                bad, slowly = True, kind.startswith("slow")
                push(now + ANSWER_S, "bad", now)
        else:
            push(now + draw_delay(), "count", "running", 1)
            push(now + ANSWER_S + draw_delay(), "count", "running", -1)
        spent = ANSWER_S * (4 if slowly else 1)
        push(now + spent, "answer", name, route, bad, slowly)

    def decide(now):
        if silent_from is not None and now >= silent_from:
            return
        view = RolloutView(
            elapsed_s=now,
            duration_s=duration,
            is_stable=False,
            n_new_servers=40 if now >= BOOT_S else 0,
            n_old_servers=40,
            n_reached=known["reached"],
            rate=rate,
            n_sent=known["sent"],
            n_running_old=known["running"],
            drain_s=1.0,
            new=dict(counts["new"]),
            old=dict(counts["old"]),
        )
        decision = plan_rollout(progress, view, ExposureLimits())
        if decision.phase is Phase.MOVING and not run.moved:
            run.moved = True
            run.n_sent_before_verdict = run.n_sent
            run.n_reached_before_verdict = run.n_reached
        if decision.phase in FINAL and run.ended not in FINAL:
            run.ended, run.ended_at = decision.phase, now
            run.reason = decision.reason
        for daemon in daemons:
            at = now + rng.uniform(*WORD_S)
            final = decision.phase in FINAL
            push(at, "hear", daemon, decision.share, final, at)

    def note_bad(now, sent_at):
        run.n_bad += 1
        if run.n_bad == 50:
            run.fiftieth_at = now

    end = duration + 2.0
    at = rng.expovariate(rate)
    while at < end:
        push(at, "arrive")
        at += rng.expovariate(rate)
    n_steps = int(duration / STEP_S)
    for step in range(n_steps):
        push(step * STEP_S, "decide")
    actions = {
        "arrive": lambda now: arrive(now),
        "decide": lambda now: decide(now),
        "hear": lambda now, *args: hear(*args),
        "report": lambda now, *args: report(*args),
        "count": lambda now, key, n: known.__setitem__(key, known[key] + n),
        "answer": lambda now, *args: answer(now, *args),
        "bad": lambda now, sent_at: note_bad(now, sent_at),
    }
    while events:
        now, _, action, args = heapq.heappop(events)
        actions[action](now, *args)
    return run


@given("an order of {duration:g} s for a service with {rate:g} requests a second")
def step_order(context: Context, duration: float, rate: float) -> None:
    context.duration, context.rate = duration, rate
    context.natural_slow = context.natural_failed = 0.0


@given("both versions give {slow:g} slow and {failed:g} failed answers")
def step_natural(context: Context, slow: float, failed: float) -> None:
    context.natural_slow, context.natural_failed = slow, failed


@when("{n:d} runs are drawn with a version that is {kind}")
def step_simulate(context: Context, kind: str, n: int) -> None:
    context.runs = [
        simulate(
            rate=context.rate,
            duration=context.duration,
            kind=kind,
            seed=seed,
            slow=context.natural_slow,
            failed=context.natural_failed,
        )
        for seed in range(n)
    ]


@then(
    "each run ends complete before the deadline, within the exposure limit until then"
)
def step_check_complete(context: Context) -> None:
    for seed, run in enumerate(context.runs):
        assert run.ended is Phase.COMPLETE, (seed, run.ended, run.reason)
        assert run.ended_at < context.duration - 1.0, (seed, run.ended_at)
        bound = 0.1 * run.n_reached_before_verdict + 50
        assert run.n_sent_before_verdict <= bound, (seed, run)


@then("each run ends reverted before the deadline, within both limits")
def step_check_reverted(context: Context) -> None:
    for seed, run in enumerate(context.runs):
        assert run.ended is Phase.REVERTED, (seed, run.ended, run.ended_at, run.n_bad)
        assert run.ended_at < context.duration, (seed, run.ended_at)
        assert run.n_sent <= 0.1 * run.n_reached + 50, (seed, run.n_sent, run.n_reached)
        assert run.last_sent_at <= run.fiftieth_at + ROLLBACK_S, (seed, run)


@when("the holder is silent from {s:g} s on")
def step_silent(context: Context, s: float) -> None:
    context.silent_from = s
    context.runs = [
        simulate(
            rate=context.rate,
            duration=context.duration,
            kind="good",
            seed=seed,
            silent_from=s,
        )
        for seed in range(4)
    ]


@then("no request is sent to the new version later than 2 s after its last word")
def step_check_silent(context: Context) -> None:
    for run in context.runs:
        assert run.n_sent
        last_word = context.silent_from + WORD_S[1]
        assert run.last_sent_at <= last_word + WORD_LIFETIME_S, run


@then(
    "{n:d} daemons with {m:d} requests each send {sent:d} of {total:d} requests at a "
    "share of {share:g}, {error:d} more or less"
)
def step_check_sum(context, n, m, sent, total, share, error) -> None:
    rng = random.Random(1)
    gates = [ShareCounter(credit=rng.random()) for _ in range(n)]
    taken = sum(gate.take(share) for gate in gates for _ in range(m))
    assert n * m == total
    assert abs(taken - sent) <= error, taken


@then(
    "a share of 0.1 goes to 6 of 40 servers, the same at every daemon, and one of 0.01 "
    "to 2"
)
def step_check_canaries(context: Context) -> None:
    names = [f"s-{n}" for n in range(40)]
    chosen = choose_canaries(names, 0.1, "order")
    assert len(chosen) == 6
    assert set(choose_canaries(names[::-1], 0.1, "order")) == set(chosen)
    assert len(choose_canaries(names, 0.01, "order")) == 2


@then("each run ends reverted, within the exposure limit until all traffic moves")
def step_check_short(context: Context) -> None:
    for seed, run in enumerate(context.runs):
        assert run.ended is Phase.REVERTED, (seed, run.ended, run.ended_at, run.n_bad)
        assert run.ended_at < context.duration, (seed, run.ended_at)
        before, reached = run.n_sent_before_verdict, run.n_reached_before_verdict
        assert not run.moved or before <= 0.1 * reached + 50, (seed, run)
        assert run.last_sent_at <= run.fiftieth_at + ROLLBACK_S, (seed, run)


def make_settings(**fields):
    document = {
        "Node": "n-1",
        "Ip": "10.0.0.1",
        "Zone": "a",
        "Listen": dict.fromkeys(("Front", "Readiness", "Directory"), "10.0.0.1:80"),
        "Platform": {"Address": "10.0.0.2:80"},
        "PortRange": [7000, 7010],
        **fields,
    }
    return decode_boot_settings(json.dumps(document).encode())


@then("settings with the contracts {contracts} have rollouts: {enabled}")
def step_check_contracts(context: Context, contracts: str, enabled: str) -> None:
    fields = {} if contracts == "none" else {"Contracts": json.loads(contracts)}
    assert make_settings(**fields).has_rollouts is (enabled == "yes")


@then("settings with the bounds 0.2, 30 and 4000 ms have them, and defaults otherwise")
def step_check_bounds(context: Context) -> None:
    bounds = {"ExposureShare": 0.2, "ExposureExtra": 30, "RollbackMs": 4_000}
    for fields, expected in (({"Bounds": bounds}, (0.2, 30, 4)), ({}, (0.1, 50, 5))):
        found = make_settings(**fields).bounds
        limits = (found.exposure_share, found.exposure_extra, found.rollback_s)
        assert limits == expected, limits


@then("an order with the spec {spec} and the status {status} is decoded as {order}")
def step_check_order(context, spec, status, order) -> None:
    document = {
        "Metadata": {"Name": "order", "Revision": 7},
        "Spec": json.loads(spec),
        "Status": json.loads(status),
    }
    found = decode_order(decode_object(json.dumps(document).encode()))
    text = "nothing"
    if found is not None:
        duration = f"{found.duration_s:g} s: {found.state}".strip()
        text = f"{found.service} to {found.to} in {duration}"
    assert text == order, text


def make_record(**fields):
    return RolloutRecord(
        service="app",
        name="app",
        to="v2",
        duration_s=60.0,
        era=1,
        revision=5,
        created=5,
        elapsed_s=4.0,
        baseline=("v1",),
        **fields,
    )


@given("a daemon that heard the word {n:d} of the holder with fence {fence:d}")
def step_hear(context: Context, n: int, fence: int) -> None:
    context.rollout_table = RolloutTable(
        list_versions=list, on_change=lambda _rollout: None
    )
    record = make_record(phase=Phase.CANARY, share=0.1, fence=fence, sequence=n)
    assert context.rollout_table.adopt(record)


@given("a daemon that heard that a version is reverted")
def step_hear_reverted(context: Context) -> None:
    step_hear(context, 3, 8)
    assert context.rollout_table.adopt(
        make_record(phase=Phase.REVERTED, fence=8, sequence=4)
    )


@then("a word {n:d} with fence {fence:d} and phase {phase} counts: {counts}")
def step_check_word(context, n: int, fence: int, phase: str, counts: str) -> None:
    record = make_record(phase=Phase(phase), share=1.0, fence=fence, sequence=n)
    assert context.rollout_table.adopt(record) is (counts == "yes")
    known = context.rollout_table.rollouts["app"].record
    assert (known == record) is (counts == "yes"), known


@then("a word of 1.9 s ago is in force, one of 2.1 s ago is not, and a decision is")
def step_check_expiry(context: Context) -> None:
    for age_s, phase, share in (
        (1.9, Phase.MOVING, 1.0),
        (2.1, Phase.MOVING, 0.0),
        (600.0, Phase.COMPLETE, 1.0),
    ):
        record = make_record(phase=phase, share=1.0, fence=8, word_age_s=age_s)
        assert KnownRollout(record=record).share == share, (age_s, phase)


def count_answers(n_new_bad=0, n_old_bad=0):
    counts = OrderCounts(to="v2", order=(1, 5))
    for is_new, n_bad, n in ((True, n_new_bad, 60), (False, n_old_bad, 600)):
        change = AnswerCounts(n_good=n - n_bad, n_failed=n_bad)
        counts.add(is_new, "summary", change)
    return counts


@then(
    "a daemon that saw {new:d} bad of 60 new answers and {old:d} bad of 600 old ones "
    "{does}"
)
def step_check_own(context: Context, new: int, old: int, does: str) -> None:
    assert count_answers(new, old).is_over() is (does == "stops")


@then("16 connections broken by one server, seen by 8 daemons, count as 3 failures")
def step_check_breaks(context: Context) -> None:
    tally = RolloutTally()
    for number in range(8):
        counts = RolloutCounts()
        counts.begin_order("app", OrderCounts(to="v2", order=(1, 5)))
        for _ in range(2):
            counts.orders["app"].add_break(True, "r-7")
        tally.note_report(counts.export("app", f"entry-{number}", 1))
    view = tally.make_view(KnownRollout(record=make_record()), ())
    assert [c.n_failed for c in view.new.values()] == [3], view.new
    assert [c.n_failed for c in view.old.values()] == [0], view.old
