"""A long randomised run: mixed load while a seeded schedule breaks things.

Daemons are processes and invariants in them are fatal; from outside every answer's
bytes and every booking's count are checked. What may be lost is only a stream whose
daemon died or froze without notice, and its caller is told.
"""

import contextlib
import random
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from ..client import Client, Problem, StreamedAnswer
from ..demo import MODEL, expect_text
from ..fakes.engine import EngineShape
from .catalogue import Result
from .fleet import Daemon, Fleet, FleetSpec

N_DAEMONS: Final = 5
N_STREAMERS: Final = 8
N_BOOKERS: Final = 6
EVENT_EVERY_S: Final = 2.5
MIN_HEALTHY: Final = 3
LONGEST_PAUSE_S: Final = 7.0
SETTLE_S: Final = 12.0
DEFERRED_TIMEOUT_S: Final = 90.0
FINAL_KINDS: Final = frozenset({"outcome_unknown", "key_reused", "key_expired"})


@dataclass(slots=True, kw_only=True)
class Ledger:
    """What callers saw, gathered under one lock."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    bookings: dict[str, list[str]] = field(default_factory=dict)
    deferred: dict[str, tuple[str, int]] = field(default_factory=dict)
    upset: list[tuple[str, float]] = field(default_factory=list)

    def count(self, name: str, n: int = 1) -> None:
        """Counts one thing."""
        with self.lock:
            self.counts[name] += n

    def blame(self, text: str) -> None:
        """Notes a broken promise."""
        with self.lock:
            self.faults.append(text)


class Chaos:
    """One run.

    Args:
        fleet: to load and to break.
        seed: of the schedule and of the requests.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.ledger = Ledger()
        self.stopping = threading.Event()
        self._random = random.Random(seed)
        self._busy: set[str] = set()
        self._repairs: list[threading.Thread] = []
        self._events: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "pause": self._pause,
            "reclaim_daemon": self._reclaim_daemon,
            "reclaim_daemon_twice": self._reclaim_twice,
            "drain": self._drain,
            "reclaim_engine": self._reclaim_engine,
            "store_down": lambda: self._upset_store(down=True),
            "store_slow": lambda: self._upset_store(delay_s=0.3),
            "store_loses_answers": lambda: self._upset_store(
                lose_answers=8, methods=["PUT"]
            ),
            "service_loses_answer": self._upset_service,
            "racing_patches": self._race_patches,
        }

    # Breaking.

    def break_things(self, seconds: float) -> None:
        """Injects events until the time is over."""
        end = time.monotonic() + seconds
        names = sorted(self._events)
        while time.monotonic() < end:
            name = self._random.choice(names)
            with contextlib.suppress(Problem, KeyError):
                self._events[name]()
            self.stopping.wait(EVENT_EVERY_S * self._random.uniform(0.5, 1.5))

    def _note(self, name: str) -> None:
        self.ledger.count("injected " + name)

    def _pick_daemon(self) -> Daemon | None:
        healthy = [
            d for d in self.fleet.daemons if d.is_running() and d.id not in self._busy
        ]
        if len(healthy) <= MIN_HEALTHY:
            return None
        return self._random.choice(healthy)

    def _later(self, daemon: Daemon, seconds: float, step: Callable[[], None]) -> None:
        """Repairs a daemon after a while; until then it is left alone."""
        self._busy.add(daemon.id)

        def repair() -> None:
            time.sleep(seconds)
            with contextlib.suppress(TimeoutError):
                step()
            self._busy.discard(daemon.id)

        thread = threading.Thread(target=repair)
        thread.start()
        self._repairs.append(thread)

    def _restart(self, daemon: Daemon) -> None:
        if daemon.is_running():
            self.fleet.kill(daemon)
        self.fleet.start_daemon(daemon)

    def _kill(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note("kill")
            self.ledger.upset.append((daemon.http, time.monotonic()))
            self.fleet.kill(daemon)
            self._later(daemon, 2.0, lambda: self._restart(daemon))

    def _pause(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note("pause")
            self.ledger.upset.append((daemon.http, time.monotonic()))
            self.fleet.pause(daemon)
            seconds = self._random.uniform(0.5, LONGEST_PAUSE_S)
            self._later(daemon, seconds, lambda: self.fleet.resume(daemon))

    def _reclaim_daemon(self, twice: bool = False) -> None:
        daemon = self._pick_daemon()
        if daemon is None or daemon.vm not in self.fleet.world.world.cloud.vms:
            return
        self._note("reclaim_daemon_twice" if twice else "reclaim_daemon")
        self.fleet.reclaim(daemon.vm, 5.0)
        if twice:
            time.sleep(0.4)
            self.fleet.reclaim(daemon.vm, 4.6)
        self._later(daemon, 5.0, lambda: self._replace(daemon))

    def _replace(self, daemon: Daemon) -> None:
        """Starts a daemon on a new VM in the place of one that was taken."""
        if daemon.is_running():
            self.fleet.kill(daemon)
        daemon.vm = f"{daemon.vm}-x"
        self.fleet.start_daemon(daemon)

    def _reclaim_twice(self) -> None:
        self._reclaim_daemon(twice=True)

    def _drain(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._note("drain")
            client = self.fleet.make_operator_client(daemon)
            client.call("POST", "/v1/drain", address=daemon.http)
            self._later(daemon, 12.0, lambda: self._restart(daemon))

    def _reclaim_engine(self) -> None:
        world = self.fleet.world.world
        living = [
            vm.id
            for vm in list(world.cloud.vms.values())
            if vm.role == "engine" and not vm.notice_at
        ]
        if len(living) >= 3:
            self._note("reclaim_engine")
            self.fleet.reclaim(self._random.choice(living), 3.0)

    def _upset_store(self, **fault: Any) -> None:
        self._note("store " + ", ".join(fault))
        self.fleet.set_fault(self.fleet.world_spec.objects, **fault)
        time.sleep(self._random.uniform(0.5, 4.0))
        self.fleet.set_fault(self.fleet.world_spec.objects)

    def _upset_service(self) -> None:
        self._note("service_loses_answer")
        services = list(self.fleet.world.world.services.values())
        service = self._random.choice(services)
        self.fleet.set_fault(service.server.endpoint, lose_answers=1, methods=["POST"])

    def _race_patches(self) -> None:
        self._note("racing_patches")
        client = self.fleet.make_operator_client()
        name = self.fleet.spec.deployment
        path = f"/v1/deployments/{name}/configuration"
        number = client.call("GET", path)["number"]
        outcomes: list[str] = []

        def patch(value: int) -> None:
            try:
                client.call(
                    "PATCH",
                    path,
                    document={"target": {"first_token_ms": 1_000 + value}},
                    headers={"If-Match": f'"{number}"'},
                )
                outcomes.append("accepted")
            except Problem as problem:
                outcomes.append(problem.kind)

        threads = [threading.Thread(target=patch, args=(n,)) for n in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if outcomes.count("accepted") > 1:
            self.ledger.blame(f"patches against {number}: {outcomes}")

    # Load.

    def _make_client(self, stream: random.Random) -> Client:
        addresses = [d.http for d in self.fleet.daemons]
        stream.shuffle(addresses)
        return Client(addresses=addresses, token="weighbridge-token", timeout_s=20.0)

    def stream_on(self, seed: int) -> None:
        """Streams summaries one after the other and checks each word."""
        stream = random.Random(seed)
        client = self._make_client(stream)
        while not self.stopping.is_set():
            n_tokens = stream.choice((20, 150, 400))
            prompt = f"chaos {seed} {stream.random()}"
            document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
            self.ledger.count("streams sent")
            started_at = time.monotonic()
            answer = StreamedAnswer()
            try:
                headers = {"Prefer": "wait=40"}
                for grown in client.stream("/v1/completions", document, headers):
                    answer = grown
                if answer.text == expect_text(prompt, n_tokens):
                    self.ledger.count("streams whole")
                else:
                    self.ledger.blame(f"{answer.request}: wrong or short answer")
            except Problem as problem:
                self._judge_stream(answer, started_at, problem)

    def _judge_stream(
        self, answer: StreamedAnswer, started_at: float, problem: Problem
    ) -> None:
        """Blames a loss unless a daemon that served it died or froze meanwhile."""
        since = started_at - LONGEST_PAUSE_S
        upset = [
            address
            for address, at in list(self.ledger.upset)
            if at >= since and address in answer.addresses
        ]
        if not answer.request:
            # Never begun; nothing was promised but the truth about it.
            self.ledger.count(f"streams refused {problem.kind}")
        elif upset:
            self.ledger.count("streams lost with a daemon that died or froze")
        else:
            self.ledger.blame(
                f"stream {answer.request} by {answer.addresses}: {problem}"
            )

    def book_on(self, seed: int) -> None:
        """Books under fresh keys; repeats while it may."""
        stream = random.Random(seed)
        client = self._make_client(stream)
        while not self.stopping.is_set():
            key = f"{seed}-{uuid.UUID(int=stream.getrandbits(128))}"
            self.ledger.count("bookings sent")
            answers: list[str] = []
            for _ in range(stream.choice((1, 1, 3))):
                answers.append(self._book(client, key))
                if answers[-1] == "booked" or answers[-1] in FINAL_KINDS:
                    break
            with self.ledger.lock:
                self.ledger.bookings[key] = answers
            time.sleep(stream.uniform(0.0, 0.2))

    def _book(self, client: Client, key: str) -> str:
        try:
            client.call(
                "POST",
                "/v1/services/intake/bookings",
                document={"reference": key},
                headers={"Idempotency-Key": key},
            )
        except Problem as problem:
            return (
                f"not_run {problem.kind}"
                if problem.ran == "not_run"
                else (problem.kind)
            )
        return "booked"

    def defer_on(self, seed: int) -> None:
        """Defers summaries now and then."""
        stream = random.Random(seed)
        client = self._make_client(stream)
        while not self.stopping.is_set():
            prompt = f"deferred {seed} {stream.random()}"
            n_tokens = stream.choice((50, 300))
            document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
            headers = {"Prefer": "respond-async", "Idempotency-Key": uuid.uuid4().hex}
            try:
                found = client.call(
                    "POST", "/v1/completions", document=document, headers=headers
                )
                self.ledger.count("deferred accepted")
                self.ledger.deferred[found["id"]] = (prompt, n_tokens)
            except Problem as problem:
                self.ledger.count(f"deferred refused {problem.kind}")
            time.sleep(stream.uniform(0.5, 2.0))

    # The whole.

    def run(self, seconds: float, seed: int) -> None:
        """Loads and breaks for a time, lets it settle, then checks from outside."""
        jobs = [(self.stream_on, n) for n in range(N_STREAMERS)]
        jobs += [(self.book_on, n) for n in range(N_BOOKERS)]
        jobs += [(self.defer_on, 0)]
        threads = [
            threading.Thread(target=job, args=(seed * 1_000 + place,))
            for place, (job, _) in enumerate(jobs)
        ]
        for thread in threads:
            thread.start()
        self.break_things(seconds)
        for repair in self._repairs:
            repair.join()
        self.stopping.set()
        for thread in threads:
            thread.join()
        time.sleep(SETTLE_S)
        self._check_bookings()
        self._check_deferred()
        self._check_daemons()

    def _check_bookings(self) -> None:
        executed = self.fleet.world.world.executed
        for key, answers in self.ledger.bookings.items():
            n = executed[key]
            if n > 1:
                self.ledger.blame(f"booking {key} executed {n} times: {answers}")
            if n == 0 and "booked" in answers:
                self.ledger.blame(f"booking {key} was told booked, executed never")
            if n and all(a.startswith("not_run") for a in answers):
                self.ledger.blame(f"booking {key} was refused falsely: {answers}")
            outcome = "booked" if "booked" in answers else answers[-1]
            self.ledger.count(f"bookings {outcome}")

    def _check_deferred(self) -> None:
        client = self._make_client(random.Random(0))
        deadline = time.monotonic() + DEFERRED_TIMEOUT_S
        for request, (prompt, n_tokens) in self.ledger.deferred.items():
            text = None
            while text is None and time.monotonic() < deadline:
                with contextlib.suppress(Problem):
                    found = client.call("GET", f"/v1/requests/{request}")
                    if found["state"] == "done":
                        text = found["choices"][0]["text"]
                if text is None:
                    time.sleep(0.2)
            if text == expect_text(prompt, n_tokens):
                self.ledger.count("deferred whole")
            else:
                self.ledger.blame(f"{request}: {'lost' if text is None else 'wrong'}")

    def _check_daemons(self) -> None:
        for daemon in self.fleet.daemons:
            if not daemon.is_running():
                self.ledger.blame(f"{daemon.id} does not run at the end")
                continue
            name = "berylpost_invariant_failures_total"
            if self.fleet.read_metric(daemon, name):
                self.ledger.blame(f"{daemon.id} broke an invariant")
            if "task_error" in self.fleet.read_log(daemon, 100_000):
                self.ledger.blame(f"{daemon.id} logged a task error")


def run_chaos(seed: int, minutes: float) -> Result:
    """Runs one seed; passes when no promise was broken."""
    spec = FleetSpec(
        n_daemons=N_DAEMONS,
        n_engines=3,
        engine_shape=EngineShape(token_s=0.006),
        customers=({"name": "weighbridge", "rate": 5_000, "concurrency": 5_000},),
        overrides={
            "platform": {"vm_poll_s": 0.4, "timeout_s": 1.0},
            "ledger": {"n_shards": 4, "lease_s": 4.0, "intent_timeout_s": 2.0},
            "peers": {"suspicion_s": 2.0},
            "drain": {"address_ttl_s": 1.0},
        },
    )
    with Fleet(spec=spec) as fleet:
        chaos = Chaos(fleet=fleet, seed=seed)
        chaos.run(minutes * 60, seed)
        logs = {d.id: fleet.read_log(d, 400) for d in fleet.daemons}
    figures: dict[str, Any] = {
        "seed": seed,
        "minutes": minutes,
        "counts": dict(sorted(chaos.ledger.counts.items())),
        "broken_promises": chaos.ledger.faults,
    }
    if chaos.ledger.faults:
        figures["logs"] = logs
    return Result(figures=figures, passed=not chaos.ledger.faults)
