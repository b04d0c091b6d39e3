"""Demonstration of the main guarantees on embedded fakes, run by `make demo`.

It starts three daemons in front of two engines and an intake service in the zones of
qld-south. Then it repeats bookings, patches the configuration, reclaims an engine and
a daemon with open streams, and kills a daemon. At the end it prints each guarantee with
what was observed.
"""

import logging
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .bench.fleet import OPERATOR_TOKEN, Fleet, FleetSpec, wait_until
from .client import Client, Problem, StreamedAnswer
from .fakes.engine import EngineShape, generate_words

PROMPT: Final = "Summarise the feedstock log of gate two for Tuesday."
MODEL: Final = "summary-7b"
N_TOKENS: Final = 120
IN_FORCE_BOUND_S: Final = 15.0
NO_NEW_WORK_BOUND_S: Final = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """A guarantee and what was observed."""

    guarantee: str
    observed: str
    kept: bool


def expect_text(prompt: str, n_tokens: int) -> str:
    """Returns the exact answer that the fake engine must return."""
    words = generate_words(prompt)
    return "".join(next(words) for _ in range(n_tokens))


def ask(client: Client, prompt: str, n_tokens: int = N_TOKENS) -> StreamedAnswer:
    """Streams one summary until it is complete."""
    document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
    return client.complete("/v1/completions", document)


def check_summary(fleet: Fleet) -> CheckResult:
    """Checks that a summary is complete."""
    answer = ask(fleet.make_client(), PROMPT)
    is_complete = answer.finished and answer.text == expect_text(PROMPT, N_TOKENS)
    observed = (
        f"{answer.n_events} tokens, first after {answer.first_token_s * 1e3:.0f} ms"
    )
    return CheckResult(
        guarantee="a summary is complete", observed=observed, kept=is_complete
    )


def book(fleet: Fleet, reference: str) -> dict[str, object]:
    """Books one intake, with its reference as idempotency key."""
    response = fleet.make_client().call(
        "POST",
        "/v1/services/intake/bookings",
        document={"reference": reference},
        headers={"Idempotency-Key": reference},
    )
    return dict(response)


def check_booking(fleet: Fleet) -> CheckResult:
    """Checks that a booking repeated in sequence and concurrently runs once."""
    for _ in range(3):
        book(fleet, "truck-17")
    threads = [threading.Thread(target=book, args=(fleet, "truck-18")) for _ in "abcde"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    executed = fleet.world.world.executed
    counts = (executed["truck-17"], executed["truck-18"])
    return CheckResult(
        guarantee="a repeated booking runs once",
        observed=f"8 requests under 2 keys, executed {counts[0]} and {counts[1]} times",
        kept=counts == (1, 1),
    )


def check_stale_patch(fleet: Fleet) -> CheckResult:
    """Checks that a patch reaches all daemons and that a stale one is refused."""
    client = fleet.make_operator_client()
    path = f"/v1/deployments/{fleet.spec.deployment}/configuration"
    patch = {"target": {"first_token_ms": 1200}}
    started_at = time.monotonic()
    client.call("PATCH", path, document=patch, headers={"If-Match": '"1"'})

    def is_everywhere() -> bool:
        statuses = [fleet.read_status(d) for d in fleet.daemons]
        return all(
            s["configurations"].get(fleet.spec.deployment, 0) >= 2 for s in statuses
        )

    wait_until(
        is_everywhere, timeout_s=IN_FORCE_BOUND_S, description="number 2 is in force"
    )
    took_s = time.monotonic() - started_at
    try:
        client.call("PATCH", path, document=patch, headers={"If-Match": '"1"'})
        refused = "accepted"
    except Problem as problem:
        refused = f"{problem.status} {problem.kind}"
    return CheckResult(
        guarantee="a patch is in force on all daemons; a stale one is refused",
        observed=f"in force after {took_s:.2f} s; stale patch: {refused}",
        kept=refused == "412 stale_number",
    )


def stream_during_fault(
    fleet: Fleet, inject_fault: Callable[[], None], prefix: str
) -> list[str]:
    """Streams six summaries, injects a fault meanwhile and lists failed streams."""
    problems: list[str] = []

    def stream(n: int) -> None:
        prompt = f"{prefix} {n}: {PROMPT}"
        try:
            answer = ask(fleet.make_client(), prompt, 2 * N_TOKENS)
        except Problem as problem:
            problems.append(str(problem))
            return
        if answer.text != expect_text(prompt, 2 * N_TOKENS):
            problems.append(f"{answer.request}: unexpected text")

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    inject_fault()
    for thread in threads:
        thread.join()
    return problems


def check_engine_reclaim(fleet: Fleet) -> CheckResult:
    """Checks that streams survive the reclaim of an engine."""
    engine = fleet.world.world.engines["vm-engine-1"]
    problems = stream_during_fault(
        fleet, lambda: fleet.reclaim("vm-engine-1", 4.0), "engine reclaim"
    )
    late = [s for s in engine.started_after_notice if s > NO_NEW_WORK_BOUND_S]
    return CheckResult(
        guarantee="a reclaimed engine loses no stream and gets no new work after 3 s",
        observed=f"6 streams, failed: {problems or 'none'}; late starts: {len(late)}",
        kept=not problems and not late,
    )


def check_daemon_reclaim(fleet: Fleet) -> CheckResult:
    """Checks that streams survive the reclaim of a daemon."""
    daemon = fleet.daemons[1]
    problems = stream_during_fault(
        fleet, lambda: fleet.reclaim(daemon.vm, 5.0), "daemon reclaim"
    )
    return CheckResult(
        guarantee="a reclaimed daemon hands its streams over",
        observed=f"6 streams, failed: {problems or 'none'}",
        kept=not problems,
    )


def check_kill(fleet: Fleet) -> CheckResult:
    """Checks that a booking runs only once when a daemon is killed without notice."""
    fleet.kill(fleet.daemons[2])
    answers = []
    for _ in range(2):
        try:
            answers.append(str(book(fleet, "truck-19")["state"]))
        except Problem as problem:
            answers.append(f"{problem.kind}/{problem.ran}")
    count = fleet.world.world.executed["truck-19"]
    return CheckResult(
        guarantee="a killed daemon causes no duplicate booking",
        observed=f"answers {', '.join(answers)}; executed {count} times",
        kept=count == 1,
    )


def run_demo() -> list[CheckResult]:
    """Runs all checks in order."""
    shape = EngineShape(token_s=0.008)
    # Polling more often leaves the requests of a reclaimed daemon more time to move,
    # since the shards of a lost daemon move first.
    spec = FleetSpec(engine_shape=shape, overrides={"platform": {"vm_poll_s": 0.5}})
    print("starting 3 daemons, 2 engines, 2 intake replicas ...", flush=True)
    with Fleet(spec=spec) as fleet:
        print(f"operator token {OPERATOR_TOKEN!r}, addresses:", end=" ")
        print(*fleet.make_client().list_addresses(), flush=True)
        results = []
        for check in (
            check_summary,
            check_booking,
            check_stale_patch,
            check_engine_reclaim,
            check_daemon_reclaim,
            check_kill,
        ):
            print(f"{(check.__doc__ or '').strip()} ...", flush=True)
            results.append(check(fleet))
        return results


def main() -> int:
    """Runs the demonstration and prints the results; returns 1 if any check failed."""
    logging.basicConfig(level=logging.ERROR)
    results = run_demo()
    width = max(len(row.guarantee) for row in results)
    print(f"\n{'guarantee':{width}}  kept  observed")
    for row in results:
        print(
            f"{row.guarantee:{width}}  {'yes ' if row.kept else 'NO  '}  {row.observed}"
        )
    return 0 if all(row.kept for row in results) else 1


if __name__ == "__main__":
    sys.exit(main())
