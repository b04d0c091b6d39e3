"""Measures lost streams and gaps when a daemon with many open streams is reclaimed.

The streams are those of one daemon; with `whole_zone` set, every daemon of its zone
has streams and gets notice at the same time. The whole text of every answer is
checked.
"""

import random
import threading
import time
from typing import Any, Final

from ..client import Client, Problem
from ..demo import MODEL, expect_text
from ..fakes.engine import EngineShape
from .catalogue import Result
from .fleet import Daemon, Fleet, FleetSpec
from .gossip import percentile

N_STREAMS: Final = 200
N_TOKENS: Final = 211
TOKEN_S: Final = 0.042
NOTICE_S: Final = 5.0
WARM_UP_S: Final = 2.0


class _StreamClient:
    """Streams one answer and records the gaps in it."""

    def __init__(self, *, fleet: Fleet, daemon: Daemon, index: int) -> None:
        self.prompt = f"handover {index}"
        self.gaps: list[float] = []
        self.outcome = "open"
        self.n_resumes = 0
        others = [d.http for d in fleet.daemons if d is not daemon]
        random.Random(index).shuffle(others)
        addresses = [daemon.http, *others]
        self._client = Client(addresses=addresses, token="weighbridge-token")
        self._client.use_addresses(addresses, ttl_s=60.0)

    def run(self) -> None:
        """Streams the answer to its end and records whether it was whole."""
        document = {"model": MODEL, "prompt": self.prompt, "max_tokens": N_TOKENS}
        last_event_at, text = 0.0, ""
        try:
            headers = {"Prefer": "wait=60"}
            for answer in self._client.stream("/v1/completions", document, headers):
                now = time.monotonic()
                if last_event_at:
                    self.gaps.append(now - last_event_at)
                last_event_at, text, self.n_resumes = now, answer.text, answer.n_resumes
        except Problem as problem:
            self.outcome = f"lost: {problem.kind}"
            return
        whole = text == expect_text(self.prompt, N_TOKENS)
        self.outcome = "whole" if whole else "wrong"


def measure_reclaim(*, whole_zone: bool) -> dict[str, Any]:
    """Reclaims one daemon, or all daemons of its zone, while streams are open."""
    spec = FleetSpec(
        n_daemons=6,
        zones=("toowoomba", "dalby", "gatton"),
        n_engines=24,
        engine_shape=EngineShape(slots=64, token_s=TOKEN_S),
        customers=({"name": "weighbridge", "rate": 5_000, "concurrency": 5_000},),
        overrides={"relay": {"max_streams": 2_000, "max_queue": 2_000}},
    )
    with Fleet(spec=spec) as fleet:
        first = fleet.daemons[0]
        zone_daemons = [d for d in fleet.daemons if d.zone == first.zone]
        reclaimed = zone_daemons if whole_zone else [first]
        clients = [
            _StreamClient(fleet=fleet, daemon=reclaimed[i % len(reclaimed)], index=i)
            for i in range(N_STREAMS * len(reclaimed))
        ]
        threads = [threading.Thread(target=c.run) for c in clients]
        for thread in threads:
            thread.start()
        time.sleep(WARM_UP_S)
        for daemon in reclaimed:
            fleet.reclaim(daemon.vm, NOTICE_S)
        time.sleep(NOTICE_S)
        for daemon in reclaimed:
            if daemon.is_running():
                fleet.kill(daemon)
        for thread in threads:
            thread.join()
    outcomes = [c.outcome for c in clients]
    longest_gaps = [max(c.gaps) for c in clients if c.gaps and c.n_resumes]
    return {
        "streams": len(clients),
        "outcomes": {name: outcomes.count(name) for name in sorted(set(outcomes))},
        "resumed": len(longest_gaps),
        "longest_gap_p50_s": percentile(longest_gaps, 0.5) if longest_gaps else 0.0,
        "longest_gap_p95_s": percentile(longest_gaps, 0.95) if longest_gaps else 0.0,
    }


def run_handover(_seed: int, _minutes: float) -> Result:
    """Measures the reclaim of one daemon and of all daemons of a zone."""
    figures = {
        "one daemon": measure_reclaim(whole_zone=False),
        "a whole zone": measure_reclaim(whole_zone=True),
    }
    passed = all(set(results["outcomes"]) == {"whole"} for results in figures.values())
    return Result(figures=figures, passed=passed)
