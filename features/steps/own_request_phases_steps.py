"""Steps of own_request_phases.feature.

All phases are played side by side for one ending; the rows of that ending share it.
"""

import contextlib
import os
import re
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from steps.own_callers import (
    PART_S,
    Caller,
    render,
    render_booking,
    render_call,
    render_deferred,
    render_list,
    render_stream,
)
from steps.shared import run_concurrently

from berylpost.bench.fleet import Fleet, FleetSpec, wait_until
from berylpost.client import Problem
from berylpost.fakes.engine import EngineShape

OVERRIDES = {
    "platform": {"vm_poll_s": 0.3, "timeout_s": 1.0},
    "ledger": {"n_shards": 4, "lease_s": 4.0, "intent_timeout_s": 2.0},
    "drain": {"address_ttl_s": 0.5},
}
N_OTHERS = 2  # daemons that stay
INTERVAL_S = 0.06  # between two callers of one phase
ASK_PAUSE_S = 0.02  # between two requests on a kept connection
N_KEPT = 4
BOOKING_S = 1.5
N_REFERENCES = 100_000  # their list has about 3 MB
RECEIVE_BYTES = 4_096  # the least that the kernel allows
READ_LATER_S = 2.0
PLAY_S = 12.0  # the longest that callers come after an ending
NOTICE_S = 5.0
N_CHANGES = 10
# A late processor: how long after the drain is over, and for how long.
PAUSE_AFTER_S = 0.45
PAUSE_S = 0.6
_plays: dict[str, dict[str, list["Caller"]]] = {}


@dataclass
class Play:
    """One ending, played with all phases.

    Attributes:
        over: whether no further callers are to come.
    """

    fleet: Fleet
    targets: list
    over: bool = False
    callers: dict[str, list[Caller]] = field(default_factory=dict)
    threads: list[threading.Thread] = field(default_factory=list)

    def run(self, step):
        thread = threading.Thread(target=step)
        self.threads.append(thread)
        thread.start()

    def open_caller(self, phase, daemon, **options):
        caller = Caller(daemon.http, **options)
        self.callers[phase].append(caller)
        return caller


# Phases: each has the daemon that it is played at, and how its callers behave.


def come_again(ask):
    """Makes callers that come until the daemon refuses connections."""

    def play_phase(play, phase, daemon):
        def come():
            while not play.over:
                try:
                    caller = play.open_caller(phase, daemon)
                except OSError:
                    return
                play.run(lambda caller=caller: ask(caller))
                time.sleep(INTERVAL_S)

        play.run(come)

    return play_phase


def ask_in_halves_of_head(caller):
    head, body = render_call()
    caller.ask(head[:40], head[40:] + body)


def ask_in_halves_of_body(caller):
    head, body = render_call()
    caller.ask(head + body[:-1], body[-1:])


def ask_late(caller):
    time.sleep(PART_S)
    caller.ask(b"".join(render_call()))


def keep_asking(play, phase, daemon):
    """Uses connections again until the daemon closes them."""

    def ask_on(caller):
        while not play.over:
            caller.ask(b"".join(render("GET", "/v1/addresses")))
            if caller.result != "answered" or not caller.keeps:
                return
            time.sleep(ASK_PAUSE_S)

    for _ in range(N_KEPT):
        caller = play.open_caller(phase, daemon)
        play.run(lambda caller=caller: ask_on(caller))


def ask_once(n, make_request, **options):
    """Makes callers that ask once, before the ending."""
    receive_bytes = options.pop("receive_bytes", 0)

    def play_phase(play, phase, daemon):
        for _ in range(n):
            caller = play.open_caller(phase, daemon, receive_bytes=receive_bytes)
            request = b"".join(make_request())
            play.run(lambda c=caller, r=request: c.ask(r, **options))

    return play_phase


PHASES: dict[str, tuple[int, Callable]] = {
    "whole, in the kernel's queue": (
        0,
        come_again(lambda caller: caller.ask(b"".join(render_call()))),
    ),
    "connected, nothing sent": (0, come_again(ask_late)),
    "half a head": (0, come_again(ask_in_halves_of_head)),
    "half a body": (0, come_again(ask_in_halves_of_body)),
    "deferred": (
        0,
        come_again(lambda caller: caller.ask(b"".join(render_deferred()))),
    ),
    "on a kept connection": (0, keep_asking),
    "a booking under way": (1, ask_once(4, render_booking)),
    "an answer read slowly": (
        1,
        ask_once(
            2, render_list, read_later_s=READ_LATER_S, receive_bytes=RECEIVE_BYTES
        ),
    ),
    "streams queued and running": (2, ask_once(40, render_stream)),
}
N_TARGETS = 1 + max(index for index, _ in PHASES.values())


# Endings.


def stop(play):
    for daemon in play.targets:
        daemon.process.send_signal(signal.SIGTERM)


def stop_in_turn(play):
    for daemon in play.targets:
        daemon.process.send_signal(signal.SIGTERM)
        time.sleep(0.4)


def stop_late(play):
    """Stops the daemons, and takes the processor away when they are about to end."""
    stop(play)
    for daemon in play.targets:
        play.run(lambda daemon=daemon: pause_at_end(play, daemon))


def pause_at_end(play, daemon):
    while "after=left" not in daemon.log_path.read_text():
        if play.over:
            return
        time.sleep(0.01)
    time.sleep(PAUSE_AFTER_S)
    with contextlib.suppress(ProcessLookupError):
        os.kill(daemon.process.pid, signal.SIGSTOP)
        time.sleep(PAUSE_S)
        os.kill(daemon.process.pid, signal.SIGCONT)


def stop_at_configuration(play):
    fleet = play.fleet
    client = fleet.make_operator_client(fleet.daemons[-1])
    path = f"/v1/deployments/{fleet.spec.deployment}/configuration"

    def change():
        for value in range(N_CHANGES):
            number = int(client.call("GET", path)["number"])
            headers = {"If-Match": f'"{number}"', "Idempotency-Key": f"change-{value}"}
            patch = {"target": {"first_token_ms": 1_000 + value}}
            with contextlib.suppress(Problem):  # another configuration came before it
                client.call("PATCH", path, document=patch, headers=headers)
            time.sleep(INTERVAL_S)

    play.run(change)
    stop(play)


def reclaim(play):
    for daemon in play.targets:
        play.fleet.reclaim(daemon.vm, NOTICE_S)

    def kill():
        time.sleep(NOTICE_S)
        for daemon in play.targets:
            if daemon.is_running():
                play.fleet.kill(daemon)

    play.run(kill)


def accepts(daemon):
    with contextlib.suppress(OSError):
        Caller(daemon.http).sock.close()
        return True
    return False


def restart(fleet, targets):
    """Starts daemons anew and returns as soon as they accept connections."""
    for daemon in targets:
        fleet.kill(daemon)
    for daemon in targets:
        fleet.start_daemon(daemon, wait=False)
    for daemon in targets:
        wait_until(lambda d=daemon: accepts(d), timeout_s=20, description="accepts")


ENDINGS = {
    "SIGTERM comes": SimpleNamespace(end=stop),
    "SIGTERM comes to one after the other": SimpleNamespace(end=stop_in_turn),
    "SIGTERM comes and the processor is late": SimpleNamespace(end=stop_late),
    "SIGTERM comes right after the start": SimpleNamespace(
        end=stop, prepare=restart, wait_s=0.0
    ),
    "SIGTERM comes with a configuration": SimpleNamespace(end=stop_at_configuration),
    "its VM is reclaimed": SimpleNamespace(end=reclaim),
}


def play_ending(name):
    ending = ENDINGS[name]
    spec = FleetSpec(
        n_daemons=N_TARGETS + N_OTHERS,
        engine_shape=EngineShape(token_s=0.006, slots=8),
        overrides=OVERRIDES,
    )
    with Fleet(spec=spec) as fleet:
        world = fleet.world.world
        world.executed.update(f"an-earlier-booking-{i}" for i in range(N_REFERENCES))
        for service in world.services.values():
            service._work_s = BOOKING_S
        play = Play(fleet=fleet, targets=fleet.daemons[:N_TARGETS])
        getattr(ending, "prepare", lambda *_: None)(fleet, play.targets)
        try:
            for phase, (index, play_phase) in PHASES.items():
                play.callers[phase] = []
                play_phase(play, phase, play.targets[index])
            time.sleep(getattr(ending, "wait_s", 0.4))
            ending.end(play)
            await_ends(play)
        finally:
            play.over = True
            for thread in list(play.threads):
                thread.join()
        for callers in play.callers.values():
            for caller in callers:
                caller.sock.close()
        logs = {d.id: fleet.read_log(d, 30) for d in play.targets}
        statuses = {d.id: d.process.poll() for d in play.targets}
    return SimpleNamespace(callers=play.callers, logs=logs, statuses=statuses)


def await_ends(play):
    ends_at = time.monotonic() + PLAY_S
    while time.monotonic() < ends_at and any(d.is_running() for d in play.targets):
        time.sleep(0.05)


@when("requests of all phases are under way and {ending}")
def step_play(context: Context, ending: str) -> None:
    if ending not in _plays:
        _plays[ending] = play_ending(ending)
    context.play = _plays[ending]


@then('each caller with a request "{phase}" has its answer or knows it was not read')
def step_check(context: Context, phase: str) -> None:
    callers = context.play.callers[phase]
    lost = [c.detail for c in callers if c.result == "lost"]
    log = context.play.logs[f"dd-{PHASES[phase][0] + 1}"]
    assert callers, "no caller came"
    assert not lost, (len(lost), len(callers), lost[:5], log)


@given("a daemon that is starting")
def step_start(context: Context) -> None:
    context.own_fleet = fleet = Fleet(spec=FleetSpec(overrides=OVERRIDES))
    fleet.__enter__()  # ended after the scenario
    context.daemon = fleet.daemons[0]
    fleet.kill(context.daemon)
    fleet.start_daemon(context.daemon, wait=False)


@when("{n:d} callers send requests and it is stopped as soon as it accepts connections")
def step_stop_at_start(context: Context, n: int) -> None:
    context.callers = []
    while not context.callers:
        with contextlib.suppress(ConnectionRefusedError):
            context.callers.append(Caller(context.daemon.http))
    context.daemon.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(ConnectionRefusedError):
        while len(context.callers) < n:
            context.callers.append(Caller(context.daemon.http))
    request = b"".join(render("GET", "/v1/addresses"))
    run_concurrently([lambda c=c: c.ask(request) for c in context.callers])


@then("each of them has its answer or knows it was not read, and the daemon ends well")
def step_check_start(context: Context) -> None:
    status = context.daemon.process.wait(timeout=PLAY_S)
    results = Counter(f"{c.result} {c.detail}" for c in context.callers)
    lost = [c for c in context.callers if c.result == "lost"]
    assert not lost and status == 0, (status, results)


@then("at its end each daemon names how every request that it read has ended")
def step_check_account(context: Context) -> None:
    play = context.play
    for index, daemon in enumerate(sorted(play.logs)):
        assert "event=request_lost" not in play.logs[daemon], play.logs[daemon]
        line = play.logs[daemon].splitlines()[-1]
        counts = {k: int(v) for k, v in re.findall(r"(\w+_\w+)=(\d+)", line)}
        ends = {k: n for k, n in counts.items() if k.startswith("requests_")}
        n_read = ends.pop("requests_read")
        phases = [p for p, (at, _) in PHASES.items() if at == index]
        callers = [c for p in phases for c in play.callers[p]]
        n_answered = sum(c.result == "answered" for c in callers)
        assert n_read == sum(ends.values()), line
        assert n_answered <= ends["requests_answered"], (n_answered, line)
        assert len(callers) <= counts["connections_accepted"], (len(callers), line)
        assert not ends["requests_open"] and not ends["requests_unfinished"], line


@given("a daemon with {n:d} streams under way")
def step_open_streams(context: Context, n: int) -> None:
    context.own_fleet = fleet = Fleet(
        spec=FleetSpec(engine_shape=EngineShape(token_s=0.02), overrides=OVERRIDES)
    )
    fleet.__enter__()  # ended after the scenario
    context.daemon = fleet.daemons[0]
    context.callers = [Caller(context.daemon.http) for _ in range(n)]
    request = b"".join(render_stream())
    context.threads = [
        threading.Thread(target=c.ask, args=(request,)) for c in context.callers
    ]
    for thread in context.threads:
        thread.start()
    time.sleep(0.5)  # until they have begun


@when("this daemon gets SIGTERM twice")
def step_stop_twice(context: Context) -> None:
    for _ in range(2):
        context.daemon.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
    context.daemon.process.wait(timeout=PLAY_S)
    for thread in context.threads:
        thread.join()


@then("its log names each of the {n:d} requests and what it was busy with")
def step_check_named(context: Context, n: int) -> None:
    assert all(c.result == "lost" for c in context.callers)
    lines = context.daemon.log_path.read_text().splitlines()
    lost = [line for line in lines if "event=request_lost" in line]
    ids = {re.search(r" id=(\S+)", line)[1] for line in lost}
    assert len(ids) == n, lost
    assert all("end=unfinished phase=running" in line for line in lost), lost
    assert f" requests_unfinished={n} " in lines[-1], lines[-1]
