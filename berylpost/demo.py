"""The main job on embedded stand-ins: what was promised, what was seen.

`make demo` runs it. It starts three daemons before two engines and an intake
service in the zones of qld-south, then kills a daemon, reclaims an engine in the
middle of a summary, reclaims a daemon with open streams and repeats bookings.
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
class Row:
    """One promise and what was seen of it."""

    promise: str
    seen: str
    kept: bool


def expect_text(prompt: str, n_tokens: int) -> str:
    """Computes what the stand-in engine must answer, word for word."""
    words = generate_words(prompt)
    return "".join(next(words) for _ in range(n_tokens))


def ask(client: Client, prompt: str, n_tokens: int = N_TOKENS) -> StreamedAnswer:
    """Streams one summary to its end."""
    document = {"model": MODEL, "prompt": prompt, "max_tokens": n_tokens}
    return client.complete("/v1/completions", document)


def check_summary(fleet: Fleet) -> Row:
    """A summary comes back whole."""
    answer = ask(fleet.make_client(), PROMPT)
    whole = answer.finished and answer.text == expect_text(PROMPT, N_TOKENS)
    seen = f"{answer.n_events} tokens, first after {answer.first_token_s * 1e3:.0f} ms"
    return Row(promise="a summary comes back whole", seen=seen, kept=whole)


def book(fleet: Fleet, reference: str) -> dict[str, object]:
    """Books one intake under its reference as key."""
    found = fleet.make_client().call(
        "POST",
        "/v1/services/intake/bookings",
        document={"reference": reference},
        headers={"Idempotency-Key": reference},
    )
    return dict(found)


def check_booking(fleet: Fleet) -> Row:
    """Repeating a booking, one after the other and at once, books once."""
    for _ in range(3):
        book(fleet, "truck-17")
    threads = [threading.Thread(target=book, args=(fleet, "truck-18")) for _ in "abcde"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    executed = fleet.world.world.executed
    counts = (executed["truck-17"], executed["truck-18"])
    return Row(
        promise="a repeated booking runs once",
        seen=f"8 requests under 2 keys, executed {counts[0]} and {counts[1]} times",
        kept=counts == (1, 1),
    )


def check_stale_patch(fleet: Fleet) -> Row:
    """A patch against a stale number is refused."""
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
        is_everywhere, timeout_s=IN_FORCE_BOUND_S, description="number 2 in force"
    )
    took_s = time.monotonic() - started_at
    try:
        client.call("PATCH", path, document=patch, headers={"If-Match": '"1"'})
        refused = "accepted"
    except Problem as problem:
        refused = f"{problem.status} {problem.kind}"
    return Row(
        promise="a patch is in force everywhere; a stale one is refused",
        seen=f"in force after {took_s:.2f} s; stale: {refused}",
        kept=refused == "412 stale_number",
    )


def run_during(fleet: Fleet, disturb: Callable[[], None], prefix: str) -> list[str]:
    """Streams six summaries, disturbs them midway and names what was not whole."""
    problems: list[str] = []

    def stream(n: int) -> None:
        prompt = f"{prefix} {n}: {PROMPT}"
        try:
            answer = ask(fleet.make_client(), prompt, 2 * N_TOKENS)
        except Problem as problem:
            problems.append(str(problem))
            return
        if answer.text != expect_text(prompt, 2 * N_TOKENS):
            problems.append(f"{answer.request}: text differs")

    threads = [threading.Thread(target=stream, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    disturb()
    for thread in threads:
        thread.join()
    return problems


def check_engine_reclaim(fleet: Fleet) -> Row:
    """An engine is reclaimed under open streams."""
    engine = fleet.world.world.engines["vm-engine-1"]
    problems = run_during(
        fleet, lambda: fleet.reclaim("vm-engine-1", 4.0), "engine reclaim"
    )
    late = [s for s in engine.started_after_notice if s > NO_NEW_WORK_BOUND_S]
    return Row(
        promise="a reclaimed engine loses no stream and gets no new work after 3 s",
        seen=f"6 streams, not whole: {problems or 'none'}; late starts: {len(late)}",
        kept=not problems and not late,
    )


def check_daemon_reclaim(fleet: Fleet) -> Row:
    """A daemon is reclaimed under open streams."""
    daemon = fleet.daemons[1]
    problems = run_during(
        fleet, lambda: fleet.reclaim(daemon.vm, 5.0), "daemon reclaim"
    )
    return Row(
        promise="a reclaimed daemon hands its streams over",
        seen=f"6 streams, not whole: {problems or 'none'}",
        kept=not problems,
    )


def check_kill(fleet: Fleet) -> Row:
    """A daemon dies without notice; bookings still run at most once."""
    fleet.kill(fleet.daemons[2])
    answers = []
    for _ in range(2):
        try:
            answers.append(str(book(fleet, "truck-19")["state"]))
        except Problem as problem:
            answers.append(f"{problem.kind}/{problem.ran}")
    count = fleet.world.world.executed["truck-19"]
    return Row(
        promise="a killed daemon doubles no booking",
        seen=f"answers {', '.join(answers)}; executed {count} times",
        kept=count == 1,
    )


def run_demo() -> list[Row]:
    """Runs all checks in order."""
    shape = EngineShape(token_s=0.008)
    # More time for its requests to move, since a lost daemon's shards move first.
    spec = FleetSpec(engine_shape=shape, overrides={"platform": {"vm_poll_s": 0.5}})
    print("starting 3 daemons, 2 engines, 2 intake replicas ...", flush=True)
    with Fleet(spec=spec) as fleet:
        print(f"operator token {OPERATOR_TOKEN!r}, addresses:", end=" ")
        print(*fleet.make_client().list_addresses(), flush=True)
        rows = []
        for check in (
            check_summary,
            check_booking,
            check_stale_patch,
            check_engine_reclaim,
            check_daemon_reclaim,
            check_kill,
        ):
            print(f"{(check.__doc__ or '').strip()} ...", flush=True)
            rows.append(check(fleet))
        return rows


def main() -> int:
    """Prints the table; 1 when any promise was not kept."""
    logging.basicConfig(level=logging.ERROR)
    rows = run_demo()
    width = max(len(row.promise) for row in rows)
    print(f"\n{'promised':{width}}  kept  seen")
    for row in rows:
        print(f"{row.promise:{width}}  {'yes ' if row.kept else 'NO  '}  {row.seen}")
    return 0 if all(row.kept for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
