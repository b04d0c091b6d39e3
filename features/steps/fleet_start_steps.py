"""Steps that simulate the fleet sizing in the first seconds of a deployment.

The simulation is a fluid model: servers prefill prompt tokens at the speed that the
policy assumes, and a prompt starts when all tokens that arrived before it are
prefilled.
"""

import math
from typing import Any

from behave import given, then, when

from berylpost.policy.fleet_size import (
    FleetSize,
    ZoneFleet,
    count_for_quotas,
    plan_spot,
    size_fleet,
)
from berylpost.policy.placement import BASE_FIRST_TOKEN_S, PREFILL_TOKENS_PER_S

STEP_S = 0.1
BOOT_S = 4.2
ZONES = ("a", "b", "c", "d")
# Share of the tokens that must be prefilled once shared parts are cached.
WARM_UNCACHED_SHARE = 0.4
LOAD_AVERAGE_S = 4.0  # time constant of the measured load


@given(
    "customers with quotas of {quota:d} tokens per second in total and an initial fleet"
    " of {n_found:d} servers"
)
def step_found(context: Any, quota: int, n_found: int) -> None:
    context.quota, context.n_found = quota, n_found


@when(
    "they send {tokens:d} tokens per second from {start:d} s on, nothing is cached for"
    " {cold:d} s, and a zone is reclaimed {reclaim_s:d} s after the first prompt with"
    " reclaimable servers refused for {refusal_s:d} s"
)
def step_simulate(
    context: Any, tokens: int, start: int, cold: int, reclaim_s: int, refusal_s: int
) -> None:
    def simulate(n_for_quotas: int) -> list[float]:
        """Returns the share of prompts that start on time, for each second."""
        size = FleetSize(n_found=context.n_found, n_wanted=context.n_found)
        ready = dict.fromkeys(ZONES, context.n_found // len(ZONES))
        booting: list[tuple[float, str, int]] = []
        load = backlog = 0.0
        on_time_by_second: dict[int, list[float]] = {}
        for step in range(int((start + 20) / STEP_S)):
            now = step * STEP_S
            elapsed_s = now - start
            for order in [o for o in booting if o[0] <= now]:
                booting.remove(order)
                ready[order[1]] += order[2]
            if math.isclose(elapsed_s, reclaim_s):
                ready["d"] = 0
                booting = [o for o in booting if o[1] != "d"]
            spot_refused = reclaim_s <= elapsed_s < reclaim_s + refusal_s
            share = 1.0 if elapsed_s < cold else WARM_UNCACHED_SHARE
            work = tokens * share / PREFILL_TOKENS_PER_S if elapsed_s >= 0 else 0.0
            load += (work - load) * STEP_S / LOAD_AVERAGE_S
            wanted = size_fleet(size, load=load, n_for_quotas=n_for_quotas, now=now)
            n_booting = {z: sum(o[2] for o in booting if o[1] == z) for z in ZONES}
            zones = {
                zone: ZoneFleet(
                    zone=zone,
                    price=1.0,
                    n_spot=ready[zone] + n_booting[zone],
                    n_on_demand=0,
                    n_spot_ready=ready[zone],
                    spot_refused=spot_refused,
                )
                for zone in ZONES
            }
            plan = plan_spot(zones, n_needed=wanted, n_min=1, n_max=46)
            for zone, n_servers in plan.items():
                n_more = n_servers - zones[zone].n_spot
                if n_more > 0:
                    booting.append((now + BOOT_S, zone, n_more))
            n_ready = sum(ready.values())
            backlog = max(0.0, backlog + (work - n_ready) * STEP_S)
            if elapsed_s >= 0:
                wait_s = backlog / n_ready + BASE_FIRST_TOKEN_S
                on_time_by_second.setdefault(int(elapsed_s), []).append(
                    float(wait_s <= 1.0)
                )
        return [sum(v) / len(v) for v in on_time_by_second.values()]

    context.by_quota = simulate(count_for_quotas([context.quota]))
    context.by_initial_size = simulate(0)


@then("{percent:d}% of the prompts start within 1.0 s in each second")
def step_in_time(context: Any, percent: int) -> None:
    assert min(context.by_quota) >= percent / 100, context.by_quota


@then(
    "if the quotas are ignored, under {percent:d}% of the prompts start within 1.0 s in"
    " some second"
)
def step_baseline(context: Any, percent: int) -> None:
    assert min(context.by_initial_size) < percent / 100, context.by_initial_size
