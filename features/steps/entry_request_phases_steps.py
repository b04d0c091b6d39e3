"""Steps for callers in every phase of a request while a daemon process ends.

`behave -D draw=NUMBER` draws other times.
"""

import contextlib
import random
import re
import select
import signal
import threading
import time
from dataclasses import dataclass, field

import httptools
from behave import given, then, when
from behave.runner import Context
from steps.entry_exit_steps import RECEIVE_BYTES, render
from steps.entry_process import GRACE_S, EntryProcess

from berylpost.fakes.entry_world import make_configuration, make_route

SERVICES = ("app", "app", "slow", "large", "narrow")
WORK_S = {"slow": 0.6, "narrow": 0.25}
LARGE_BYTES = 3_900_000
LEAD_S = 1.2  # before the ending, for the first steps of callers
EARLY_S = 0.4  # the same at a daemon that has just started
QUEUE_S = 0.1  # for which the daemon is stopped around the ending
ENDS_S = 4.5  # the shortest time of a planned stop
LATE_S = (3.9, 5.2)  # when the event loop is late
LONG_WORK_S = 20.0
LONG_PAUSE_S = 2.0  # between two of the eight events of a stream
# Before that a server that is still at work is no reason to cut an answer.
CUT_FROM_S = GRACE_S * 5 / 6
CUT = "cut at the end"
READ_BYTES = 65_536
STREAM_END = b"data: w8\n\n"
# Bytes of a request that each word sends, as a share from and to.
PIECES = {"whole": (0, 1), "head": (0, 0.5), "body": (0, -40), "rest": (None, 1)}
BODY = b"x" * 80
NOT_RUN = (429, 503)
# A request that crosses the close of its connection is not read; the caller knows by
# then. Later than this, a late event loop has left it unread.
CROSSING_S = 0.03
ALLOWED_LOST = frozenset({"closed before", "closed while sending", "refused"})


@dataclass(frozen=True, kw_only=True)
class Ending:
    """What happens at the ending and later.

    Attributes:
        acts: functions of the rig with their times, in seconds after the ending.
        prepare: called with the process before it starts.
        is_ready: whether callers wait until the daemon is ready.
        may_break: whether answers may be cut, which servers still work on then.
    """

    acts: tuple = ()
    prepare: object = None
    is_ready: bool = True
    may_break: bool = False


def make_phase_configuration(version=1, **fields):
    """Makes a configuration with routes to services of every kind."""
    spec = make_configuration(version)
    for name in ("slow", "large", "narrow"):
        kind = "non_idempotent" if name != "large" else "idempotent"
        spec["Routes"].append(make_route(name, kind, Service=name))
        n = 1 if name == "narrow" else 100
        service = {"Name": name, "HealthPath": "/health", "MaxConns": n}
        spec["Services"].append(service)
    return {**spec, **fields}


def change_route(spec, name, **fields):
    return [{**r, **(fields if r["Name"] == name else {})} for r in spec["Routes"]]


def list_changes():
    """Lists configurations that each change, add or remove one thing."""
    spec = make_phase_configuration()
    tenant = spec["Tenants"][0]
    other = {**tenant, "Name": "two", "ApiKeys": ["key-two"]}
    without = [r for r in spec["Routes"] if r["Name"] != "read"]
    narrow = [{**s, "MaxConns": 2} for s in spec["Services"]]
    limits = {"IdleTimeoutMs": 4_000, "HeaderTimeoutMs": 2_000, "MaxBodyBytes": 60}
    changes = [
        {"Routes": [*spec["Routes"], make_route("more", "idempotent")]},
        {"Routes": without},
        {"Routes": change_route(spec, "read", MaxAttempts=1, TimeoutMs=700)},
        {"Routes": change_route(spec, "stream", CanResume=False, TimeoutMs=1_200)},
        {"Tenants": [{**tenant, "ApiKeys": ["key-new"]}]},
        {"Tenants": [tenant, other]},
        {"Services": narrow},
        {"Limits": limits},
        {},
    ]
    return [make_phase_configuration(n, **c) for n, c in enumerate(changes, start=2)]


def send_signal(number):
    return lambda rig: rig.process.send_signal(number)


def put(n):
    def act(rig):
        rig.run(rig.put_configuration(list_changes()[n]))

    return act


def set_leaving(rig):
    rig.run(rig.put_replica(rig.replicas[0], State="draining", Service="app"))


def be_late(late_s):
    """Returns an act that stops the process in short series until the end."""

    def act(rig):
        ends_at = time.monotonic() + LATE_S[1] - LATE_S[0]
        while time.monotonic() < ends_at and rig.process.poll() is None:
            with rig.paused():
                time.sleep(late_s)
            time.sleep(rig.random.uniform(0.005, 0.05))

    return act


def set_long_work(rig):
    spec = make_phase_configuration()
    spec["Routes"] = change_route(spec, "stream", TimeoutMs=30_000)
    for replica, name in zip(rig.replicas, SERVICES, strict=True):
        replica.event_pause_s = LONG_PAUSE_S
        if name not in WORK_S:
            continue
        replica.work_s = LONG_WORK_S
        spec["Routes"] = change_route(spec, name, TimeoutMs=30_000)
    rig.configuration = spec


def set_faults(**faults):
    def act(rig):
        for name, value in faults.items():
            setattr(rig.store.server.faults, name, value)

    return act


def remove_configuration(rig):
    rig.configuration = None


TERM = (0, send_signal(signal.SIGTERM))
CONFIGURATIONS = tuple((-0.3 + 0.2 * n, put(n)) for n in range(len(list_changes())))
ENDINGS = {
    "SIGTERM": Ending(acts=(TERM,)),
    "two SIGTERM": Ending(acts=(TERM, (0.3, send_signal(signal.SIGTERM)))),
    "SIGHUP and then SIGTERM": Ending(acts=((-0.2, send_signal(signal.SIGHUP)), TERM)),
    "SIGTERM soon after the start": Ending(acts=(TERM,), is_ready=False),
    "SIGTERM and no configuration": Ending(
        acts=(TERM,), is_ready=False, prepare=remove_configuration
    ),
    "configurations": Ending(
        acts=(*CONFIGURATIONS, (5.0, send_signal(signal.SIGTERM)))
    ),
    "configurations and SIGTERM": Ending(acts=(*CONFIGURATIONS, TERM)),
    "SIGTERM and a server that leaves": Ending(acts=((-0.1, set_leaving), TERM)),
    "SIGTERM and no store": Ending(acts=((-0.3, set_faults(down=True)), TERM)),
    "SIGTERM and a slow store": Ending(acts=((-0.3, set_faults(delay_s=20.0)), TERM)),
    "SIGTERM and work for longer than the grace": Ending(
        acts=(TERM,), prepare=set_long_work, may_break=True
    ),
    **{
        f"SIGTERM and a loop {late} s late": Ending(
            acts=(TERM, (LATE_S[0], be_late(late)))
        )
        for late in (0.05, 0.3, 1)
    },
}


@dataclass
class PhaseCaller:
    """A caller that plays its steps and notes what it got.

    Attributes:
        lost: why an answer is missing; empty if there is none.
    """

    phase: str
    route: str
    steps: list
    sock: object = None
    ids: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    lost: str = ""
    n_sent: int = 0
    looked_at: float = 0.0
    _must_open: bool = False
    _is_begun: bool = False
    _rest: bytes = b""
    _body: bytes = b""

    def on_message_begin(self):
        self._body = b""
        self._is_begun = False

    def on_headers_complete(self):
        self._is_begun = True

    def on_body(self, data):
        self._body += data if self.route == "stream" else b""

    def on_message_complete(self):
        status = self._parser.get_status_code()
        self._is_begun = False
        self._must_open = not self._parser.should_keep_alive()
        self.statuses.append(status)
        if self.route == "stream" and status == 200 and STREAM_END not in self._body:
            self.lost = "stream without its end"

    def play(self, rig, ending_at):
        """Plays all steps; ends when an answer is missing."""
        at = ending_at
        for offset, word in self.steps:
            if offset is not None:
                from_s, to_s, is_relative = offset
                base = at if is_relative else ending_at
                at = base + rig.random.uniform(from_s, to_s)
                time.sleep(max(0.0, at - time.monotonic()))
            at = max(at, time.monotonic())
            try:
                self._do(rig, word)
            except httptools.HttpParserError as error:
                self.lost = repr(error)
            except OSError as error:
                self.lost = "closed before" if word != "read" else repr(error)
                self._note_crossing(word)
                if self._is_begun and time.monotonic() - ending_at > CUT_FROM_S:
                    self.lost = CUT
            if self.lost:
                return

    def _note_crossing(self, word):
        """Tells a close that the request crossed from one that lost the request."""
        is_early = time.monotonic() - self.looked_at < CROSSING_S
        if word == "read" and is_early and len(self.statuses) == self.n_sent - 1:
            self.lost = "closed while sending"

    def _do(self, rig, word):
        if word == "read":
            self._read()
            return
        if word in ("open", "small") or self._must_open:
            try:
                self._open(rig, RECEIVE_BYTES if word == "small" else 0)
            except ConnectionRefusedError:
                self.lost = "refused"
                return
        if word in ("open", "small"):
            return
        n = 3 if word == "three" else 1
        data = self._render("whole" if n > 1 else word, n)
        self.looked_at = time.monotonic()
        if select.select([self.sock], [], [], 0)[0]:
            self.lost = "closed before"
            return
        self.sock.sendall(data)
        if word not in ("head", "body"):
            self.n_sent += n

    def _open(self, rig, size):
        self.sock = rig.open_socket(receive_bytes=size)
        self._parser = httptools.HttpResponseParser(self)
        self._must_open = False

    def _render(self, word, n):
        start, end = PIECES[word]
        if start is None:
            return self._rest
        data = b""
        for _ in range(n):
            request = render(self.route, BODY)
            self.ids.append(re.search(rb"Attempt-Id: (\S+)", request)[1].decode())
            data += request
        size = int(len(data) * end) if end > 0 else end
        self._rest = data[size:]
        return data[:size]

    def _read(self):
        while len(self.statuses) < self.n_sent:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("closed")
            self._parser.feed_data(data)


def parse_steps(text):
    """Parses "-0.5 open, +0..1 whole, read" into times and words."""
    steps = []
    for part in text.split(","):
        *offset, word = part.split()
        parsed = None
        if offset:
            first, _, last = offset[0].lstrip("+").partition("..")
            is_relative = offset[0].startswith("+")
            parsed = (float(first), float(last or first), is_relative)
        steps.append((parsed, word))
    return steps


@given("an entry daemon process with services of every kind")
def step_make(context: Context) -> None:
    rig = context.rig = EntryProcess(
        services=SERVICES, configuration=make_phase_configuration()
    )
    for replica, service in zip(rig.replicas, SERVICES, strict=True):
        replica.work_s = WORK_S.get(service, 0.0)
        replica.answer_bytes = LARGE_BYTES if service == "large" else 0


@given("callers that do this")
def step_make_callers(context: Context) -> None:
    context.phase_callers = [
        PhaseCaller(phase=r["phase"], route=r["route"], steps=parse_steps(r["steps"]))
        for r in context.table
        for _ in range(int(r["n"]))
    ]


def do_acts(rig, acts, ending_at):
    for at_s, act in acts:
        time.sleep(max(0.0, ending_at + at_s - time.monotonic()))
        act(rig)


def queue_in_kernel(rig, ending_at):
    time.sleep(max(0.0, ending_at - QUEUE_S / 2 - time.monotonic()))
    with rig.paused():
        time.sleep(QUEUE_S)


@when('the ending is "{name}"')
def step_end(context: Context, name: str) -> None:
    context.ending = ENDINGS[name]
    rig = context.rig
    draw = context.config.userdata.get("draw", "1")
    rig.random = random.Random(f"{name} {draw}")
    if context.ending.prepare is not None:
        context.ending.prepare(rig)
    context.add_cleanup(rig.__exit__)
    rig.start(wait_ready=context.ending.is_ready)
    lead_s = LEAD_S if context.ending.is_ready else EARLY_S
    ending_at = context.ending_at = time.monotonic() + lead_s
    targets = [
        *(lambda c=c: c.play(rig, ending_at) for c in context.phase_callers),
        lambda: queue_in_kernel(rig, ending_at),
        lambda: do_acts(rig, context.ending.acts, ending_at),
    ]
    threads = [threading.Thread(target=target) for target in targets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    with contextlib.suppress(Exception):
        rig.process.wait(GRACE_S)
    context.ended_at = time.monotonic()


def describe(callers):
    return sorted({(c.phase, c.lost, tuple(c.statuses), c.n_sent) for c in callers})


@then("each caller whose last byte was sent in time got a complete answer")
def step_check_answers(context: Context) -> None:
    allowed = ALLOWED_LOST | ({CUT} if context.ending.may_break else set())
    lost = [c for c in context.phase_callers if c.lost and c.lost not in allowed]
    early = [
        c
        for c in context.phase_callers
        if c.lost == "refused" and context.ended_at - context.ending_at < ENDS_S
    ]
    assert not lost + early, (
        len(lost),
        len(early),
        describe(lost + early),
        context.rig.log.read_text()[-2_500:],
    )


@then("what was refused did not run")
def step_check_runs(context: Context) -> None:
    runs = {id for replica in context.rig.replicas for id in replica.runs}
    ran = [
        (c.phase, id, status)
        for c in context.phase_callers
        for id, status in zip(c.ids, c.statuses, strict=False)
        if status in NOT_RUN and id in runs
    ]
    assert not ran, ran


@then("the daemon ended by itself, and its account agrees")
def step_check_account(context: Context) -> None:
    rig = context.rig
    assert rig.process.poll() == 0, (rig.process.poll(), rig.log.read_text()[-1_500:])
    log = rig.log.read_text()
    (line,) = re.findall(r".*event=daemon_stopped.*", log)
    account = {k: float(v) for k, v in re.findall(r"(\w+)=(-?[\d.]+)(?=\s|$)", line)}
    callers = context.phase_callers
    n_rejected = log.count("event=request_unreadable")  # not read as a whole
    n_answers = sum(len(c.statuses) for c in callers) - n_rejected
    assert account["after_s"] < GRACE_S, line
    lost = ["open", "unsent", "unserved", "unfinished", "caller_left"]
    n_cut = sum(1 for c in callers if c.lost == CUT)
    assert account["requests_broken_off"] == n_cut, (n_cut, line)
    assert not any(account[f"requests_{end}"] for end in lost), line
    assert account["requests_answered"] == n_answers, (n_answers, line)
    n_closed = sum(1 for c in callers if c.lost == "closed before")
    assert account["closes_unread"] <= n_closed, (n_closed, line)
