"""Measures an outage of the object API: service during it, and calls after it.

The fake counts the calls, refused ones included; they are sampled in windows of half
a second.
"""

import itertools
import threading
import time
from typing import Any, Final

from ..client import Problem
from ..demo import MODEL, expect_text
from .catalogue import Result
from .fleet import Fleet, FleetSpec

SIZES: Final = (3, 9)
OUTAGE_S: Final = 20.0
RECOVERY_S: Final = 15.0
WINDOW_S: Final = 0.5
STREAM_INTERVAL_S: Final = 0.5
N_TOKENS: Final = 20


class _CallSampler:
    """Samples the number of calls that reached the fake object API."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self.samples: list[tuple[float, int]] = []
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Starts sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stops sampling."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(WINDOW_S):
            n_calls = self._fleet.world.world.objects.server.n_calls
            self.samples.append((time.monotonic(), n_calls))

    def compute_rates(self, since: float, until: float) -> list[float]:
        """Returns the calls per second in each window of a period."""
        samples = [s for s in self.samples if since <= s[0] <= until]
        return [(b[1] - a[1]) / (b[0] - a[0]) for a, b in itertools.pairwise(samples)]


def measure_outage(n_daemons: int) -> dict[str, Any]:
    """Measures an outage of the object API with a fleet of `n_daemons` daemons."""
    with Fleet(spec=FleetSpec(n_daemons=n_daemons)) as fleet:
        time.sleep(3.0)
        sampler = _CallSampler(fleet=fleet)
        sampler.start()
        started = time.monotonic()
        time.sleep(5.0)
        down_at = time.monotonic()
        fleet.set_fault(fleet.world_spec.objects, down=True)
        served, refused = _serve_during_outage(fleet)
        up_at = time.monotonic()
        fleet.set_fault(fleet.world_spec.objects)
        booked_after_s = _wait_until_booked(fleet)
        time.sleep(max(0.0, RECOVERY_S - booked_after_s))
        sampler.stop()
    before = sampler.compute_rates(started, down_at)
    during = sampler.compute_rates(down_at, up_at)
    after = sampler.compute_rates(up_at, up_at + RECOVERY_S)
    return {
        "streams_whole_meanwhile": served,
        "bookings_refused_meanwhile": refused,
        "booked_again_after_s": booked_after_s,
        "calls_s_before": sum(before) / len(before),
        "calls_s_during": sum(during) / len(during),
        "calls_s_peak_after": max(after),
    }


def _serve_during_outage(fleet: Fleet) -> tuple[str, dict[str, int]]:
    client = fleet.make_client()
    n_whole = n_sent = 0
    refused: dict[str, int] = {}
    end = time.monotonic() + OUTAGE_S
    while time.monotonic() < end:
        n_sent += 1
        prompt = f"outage {n_sent}"
        document = {"model": MODEL, "prompt": prompt, "max_tokens": N_TOKENS}
        answer = client.complete("/v1/completions", document)
        n_whole += answer.text == expect_text(prompt, N_TOKENS)
        if n_sent % 8 == 0:
            kind = _try_booking(fleet, f"outage-{n_sent}")
            refused[kind] = refused.get(kind, 0) + 1
        time.sleep(STREAM_INTERVAL_S)
    return f"{n_whole} of {n_sent}", refused


def _try_booking(fleet: Fleet, key: str) -> str:
    try:
        fleet.make_client().call(
            "POST",
            "/v1/services/intake/bookings",
            document={"reference": key},
            headers={"Idempotency-Key": key, "Prefer": "wait=2"},
        )
    except Problem as problem:
        return f"{problem.kind}, {problem.ran}"
    return "booked"


def _wait_until_booked(fleet: Fleet) -> float:
    started = time.monotonic()
    while _try_booking(fleet, "after") != "booked":
        time.sleep(0.1)
    return time.monotonic() - started


def run_outage(_seed: int, _minutes: float) -> Result:
    """Measures an outage for every number of daemons in `SIZES`.

    Passes when all streams were whole and no booking succeeded during the outage.
    """
    by_daemons = {n: measure_outage(n) for n in SIZES}
    passed = all(
        results["streams_whole_meanwhile"].split(" of ")[0]
        == results["streams_whole_meanwhile"].split(" of ")[1]
        and "booked" not in results["bookings_refused_meanwhile"]
        for results in by_daemons.values()
    )
    return Result(figures={"by_daemons": by_daemons}, passed=passed)
