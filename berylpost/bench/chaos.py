"""Runs a long randomised test: mixed load during seeded fault injection.

Daemons are processes in which a failed invariant is fatal. The text of every answer
and the number of executions of every booking are checked from outside. Only a stream
whose daemon was killed or paused without notice may be lost; its caller gets an error.
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
N_STREAM_CLIENTS: Final = 8
N_BOOKING_CLIENTS: Final = 6
FAULT_INTERVAL_S: Final = 2.5
MIN_HEALTHY: Final = 3
LONGEST_PAUSE_S: Final = 7.0
SETTLE_S: Final = 12.0
DEFERRED_TIMEOUT_S: Final = 90.0
FINAL_KINDS: Final = frozenset({"outcome_unknown", "key_reused", "key_expired"})


@dataclass(slots=True, kw_only=True)
class Observations:
    """What callers observed, collected under one lock."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    bookings: dict[str, list[str]] = field(default_factory=dict)
    deferred: dict[str, tuple[str, int]] = field(default_factory=dict)
    disrupted: list[tuple[str, float]] = field(default_factory=list)

    def count(self, name: str, n: int = 1) -> None:
        """Adds to the count of an outcome or an injected fault."""
        with self.lock:
            self.counts[name] += n

    def report_violation(self, text: str) -> None:
        """Records the violation of a guarantee."""
        with self.lock:
            self.violations.append(text)


class Chaos:
    """One randomised run of load, fault injection and checks.

    Args:
        fleet: the fleet that gets the load and the faults.
        seed: the seed of the schedule and of the requests.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.observations = Observations()
        self.stopping = threading.Event()
        self._random = random.Random(seed)
        self._under_repair: set[str] = set()
        self._repair_threads: list[threading.Thread] = []
        self._faults: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "pause": self._pause,
            "reclaim_daemon": self._reclaim_daemon,
            "reclaim_daemon_twice": self._reclaim_twice,
            "drain": self._drain,
            "reclaim_engine": self._reclaim_engine,
            "store_down": lambda: self._disturb_store(down=True),
            "store_slow": lambda: self._disturb_store(delay_s=0.3),
            "store_loses_answers": lambda: self._disturb_store(
                lose_answers=8, methods=["PUT"]
            ),
            "service_loses_answer": self._disturb_service,
            "racing_patches": self._race_patches,
        }

    # Fault injection.

    def inject_faults(self, seconds: float) -> None:
        """Injects faults for a number of seconds."""
        end = time.monotonic() + seconds
        names = sorted(self._faults)
        while time.monotonic() < end:
            name = self._random.choice(names)
            with contextlib.suppress(Problem, KeyError):
                self._faults[name]()
            self.stopping.wait(FAULT_INTERVAL_S * self._random.uniform(0.5, 1.5))

    def _count_injection(self, name: str) -> None:
        self.observations.count("injected " + name)

    def _pick_daemon(self) -> Daemon | None:
        healthy = [
            d
            for d in self.fleet.daemons
            if d.is_running() and d.id not in self._under_repair
        ]
        if len(healthy) <= MIN_HEALTHY:
            return None
        return self._random.choice(healthy)

    def _repair_after(
        self, daemon: Daemon, seconds: float, repair_action: Callable[[], None]
    ) -> None:
        """Repairs a daemon after a delay; until then it gets no other fault."""
        self._under_repair.add(daemon.id)

        def repair() -> None:
            time.sleep(seconds)
            with contextlib.suppress(TimeoutError):
                repair_action()
            self._under_repair.discard(daemon.id)

        thread = threading.Thread(target=repair)
        thread.start()
        self._repair_threads.append(thread)

    def _restart(self, daemon: Daemon) -> None:
        if daemon.is_running():
            self.fleet.kill(daemon)
        self.fleet.start_daemon(daemon)

    def _kill(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._count_injection("kill")
            self.observations.disrupted.append((daemon.http, time.monotonic()))
            self.fleet.kill(daemon)
            self._repair_after(daemon, 2.0, lambda: self._restart(daemon))

    def _pause(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._count_injection("pause")
            self.observations.disrupted.append((daemon.http, time.monotonic()))
            self.fleet.pause(daemon)
            seconds = self._random.uniform(0.5, LONGEST_PAUSE_S)
            self._repair_after(daemon, seconds, lambda: self.fleet.resume(daemon))

    def _reclaim_daemon(self, twice: bool = False) -> None:
        daemon = self._pick_daemon()
        if daemon is None or daemon.vm not in self.fleet.world.world.cloud.vms:
            return
        self._count_injection("reclaim_daemon_twice" if twice else "reclaim_daemon")
        self.fleet.reclaim(daemon.vm, 5.0)
        if twice:
            time.sleep(0.4)
            self.fleet.reclaim(daemon.vm, 4.6)
        self._repair_after(daemon, 5.0, lambda: self._replace(daemon))

    def _replace(self, daemon: Daemon) -> None:
        """Restarts a daemon on a new VM in place of the reclaimed one."""
        if daemon.is_running():
            self.fleet.kill(daemon)
        daemon.vm = f"{daemon.vm}-x"
        self.fleet.start_daemon(daemon)

    def _reclaim_twice(self) -> None:
        self._reclaim_daemon(twice=True)

    def _drain(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            self._count_injection("drain")
            client = self.fleet.make_operator_client(daemon)
            client.call("POST", "/v1/drain", address=daemon.http)
            self._repair_after(daemon, 12.0, lambda: self._restart(daemon))

    def _reclaim_engine(self) -> None:
        world = self.fleet.world.world
        candidates = [
            vm.id
            for vm in list(world.cloud.vms.values())
            if vm.role == "engine" and not vm.notice_at
        ]
        if len(candidates) >= 3:
            self._count_injection("reclaim_engine")
            self.fleet.reclaim(self._random.choice(candidates), 3.0)

    def _disturb_store(self, **fault: Any) -> None:
        self._count_injection("store " + ", ".join(fault))
        self.fleet.set_fault(self.fleet.world_spec.objects, **fault)
        time.sleep(self._random.uniform(0.5, 4.0))
        self.fleet.set_fault(self.fleet.world_spec.objects)

    def _disturb_service(self) -> None:
        self._count_injection("service_loses_answer")
        services = list(self.fleet.world.world.services.values())
        service = self._random.choice(services)
        self.fleet.set_fault(service.server.endpoint, lose_answers=1, methods=["POST"])

    def _race_patches(self) -> None:
        self._count_injection("racing_patches")
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
            self.observations.report_violation(
                f"more than one patch of configuration {number} accepted: {outcomes}"
            )

    # Load.

    def _make_client(self, random_state: random.Random) -> Client:
        addresses = [d.http for d in self.fleet.daemons]
        random_state.shuffle(addresses)
        return Client(addresses=addresses, token="weighbridge-token", timeout_s=20.0)

    def send_streams(self, seed: int) -> None:
        """Streams summaries one after the other and checks the whole text of each."""
        random_state = random.Random(seed)
        client = self._make_client(random_state)
        while not self.stopping.is_set():
            n_tokens = random_state.choice((20, 150, 400))
            prompt = f"chaos {seed} {random_state.random()}"
            document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
            self.observations.count("streams sent")
            started_at = time.monotonic()
            answer = StreamedAnswer()
            try:
                headers = {"Prefer": "wait=40"}
                for partial in client.stream("/v1/completions", document, headers):
                    answer = partial
                if answer.text == expect_text(prompt, n_tokens):
                    self.observations.count("streams whole")
                else:
                    self.observations.report_violation(
                        f"stream {answer.request}: answer is wrong or incomplete"
                    )
            except Problem as problem:
                self._classify_failed_stream(answer, started_at, problem)

    def _classify_failed_stream(
        self, answer: StreamedAnswer, started_at: float, problem: Problem
    ) -> None:
        """Reports a lost stream unless a daemon that served it was killed or paused."""
        since = started_at - LONGEST_PAUSE_S
        disrupted = [
            address
            for address, at in list(self.observations.disrupted)
            if at >= since and address in answer.addresses
        ]
        if not answer.request:
            # No stream began, so the caller was guaranteed only a correct error answer.
            self.observations.count(f"streams refused {problem.kind}")
        elif disrupted:
            self.observations.count("streams lost with a daemon that died or froze")
        else:
            self.observations.report_violation(
                f"stream {answer.request} served by {answer.addresses}"
                f" failed: {problem}"
            )

    def send_bookings(self, seed: int) -> None:
        """Sends bookings under new keys and repeats some until a result is final."""
        random_state = random.Random(seed)
        client = self._make_client(random_state)
        while not self.stopping.is_set():
            key = f"{seed}-{uuid.UUID(int=random_state.getrandbits(128))}"
            self.observations.count("bookings sent")
            answers: list[str] = []
            for _ in range(random_state.choice((1, 1, 3))):
                answers.append(self._book(client, key))
                if answers[-1] == "booked" or answers[-1] in FINAL_KINDS:
                    break
            with self.observations.lock:
                self.observations.bookings[key] = answers
            time.sleep(random_state.uniform(0.0, 0.2))

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

    def send_deferred(self, seed: int) -> None:
        """Sends deferred requests for summaries at random intervals."""
        random_state = random.Random(seed)
        client = self._make_client(random_state)
        while not self.stopping.is_set():
            prompt = f"deferred {seed} {random_state.random()}"
            n_tokens = random_state.choice((50, 300))
            document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
            headers = {"Prefer": "respond-async", "Idempotency-Key": uuid.uuid4().hex}
            try:
                response = client.call(
                    "POST", "/v1/completions", document=document, headers=headers
                )
                self.observations.count("deferred accepted")
                self.observations.deferred[response["id"]] = (prompt, n_tokens)
            except Problem as problem:
                self.observations.count(f"deferred refused {problem.kind}")
            time.sleep(random_state.uniform(0.5, 2.0))

    # Run and checks.

    def run(self, seconds: float, seed: int) -> None:
        """Runs load and faults, lets the fleet settle, then checks it from outside."""
        jobs = [(self.send_streams, n) for n in range(N_STREAM_CLIENTS)]
        jobs += [(self.send_bookings, n) for n in range(N_BOOKING_CLIENTS)]
        jobs += [(self.send_deferred, 0)]
        threads = [
            threading.Thread(target=job, args=(seed * 1_000 + index,))
            for index, (job, _) in enumerate(jobs)
        ]
        for thread in threads:
            thread.start()
        self.inject_faults(seconds)
        for repair in self._repair_threads:
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
        for key, answers in self.observations.bookings.items():
            n = executed[key]
            if n > 1:
                self.observations.report_violation(
                    f"booking {key} executed {n} times: {answers}"
                )
            if n == 0 and "booked" in answers:
                self.observations.report_violation(
                    f"booking {key} was answered as booked but never executed"
                )
            if n and all(a.startswith("not_run") for a in answers):
                self.observations.report_violation(
                    f"booking {key} was executed but answered as not run: {answers}"
                )
            outcome = "booked" if "booked" in answers else answers[-1]
            self.observations.count(f"bookings {outcome}")

    def _check_deferred(self) -> None:
        client = self._make_client(random.Random(0))
        deadline = time.monotonic() + DEFERRED_TIMEOUT_S
        for request, (prompt, n_tokens) in self.observations.deferred.items():
            text = None
            while text is None and time.monotonic() < deadline:
                with contextlib.suppress(Problem):
                    response = client.call("GET", f"/v1/requests/{request}")
                    if response["state"] == "done":
                        text = response["choices"][0]["text"]
                if text is None:
                    time.sleep(0.2)
            if text == expect_text(prompt, n_tokens):
                self.observations.count("deferred whole")
            else:
                self.observations.report_violation(
                    f"deferred request {request}:"
                    f" answer is {'missing' if text is None else 'wrong'}"
                )

    def _check_daemons(self) -> None:
        for daemon in self.fleet.daemons:
            if not daemon.is_running():
                self.observations.report_violation(
                    f"{daemon.id} is not running at the end"
                )
                continue
            name = "berylpost_invariant_failures_total"
            if self.fleet.read_metric(daemon, name):
                self.observations.report_violation(f"{daemon.id} violated an invariant")
            if "task_error" in self.fleet.read_log(daemon, 100_000):
                self.observations.report_violation(f"{daemon.id} logged a task error")


def run_chaos(seed: int, minutes: float) -> Result:
    """Runs the test with one seed; passes when no guarantee was violated."""
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
        "counts": dict(sorted(chaos.observations.counts.items())),
        "broken_promises": chaos.observations.violations,
    }
    if chaos.observations.violations:
        figures["logs"] = logs
    return Result(figures=figures, passed=not chaos.observations.violations)
