"""Steps that replay the first seconds of a deployment against the fleet's sizing.

A fluid model: servers read prompt tokens at the speed that the policy assumes, and a
prompt begins when all that came before it is read.
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
WARM_SHARE = 0.4  # of the tokens are read once shared parts are cached
MEMORY_S = 4.0  # of the measured load


@given(
    "customers whose quotas sum to {quota:d} tokens a second and a found fleet of"
    " {n_found:d}"
)
def step_found(context: Any, quota: int, n_found: int) -> None:
    context.quota, context.n_found = quota, n_found


@when(
    "they bring {tokens:d} tokens a second from {start:d} s on, nothing is cached for"
    " {cold:d} s, and a zone is reclaimed {after:d} s after the first with none to be"
    " had for {dry:d} s"
)
def step_replay(
    context: Any, tokens: int, start: int, cold: int, after: int, dry: int
) -> None:
    def replay(n_for_quotas: int) -> list[float]:
        """Returns for each second the share of prompts that begin in time."""
        size = FleetSize(n_found=context.n_found, n_wanted=context.n_found)
        ready = dict.fromkeys(ZONES, context.n_found // len(ZONES))
        booting: list[tuple[float, str, int]] = []
        load = backlog = 0.0
        shares: dict[int, list[float]] = {}
        for step in range(int((start + 20) / STEP_S)):
            now = step * STEP_S
            began_s = now - start
            for order in [o for o in booting if o[0] <= now]:
                booting.remove(order)
                ready[order[1]] += order[2]
            if math.isclose(began_s, after):
                ready["d"] = 0
                booting = [o for o in booting if o[1] != "d"]
            is_dry = after <= began_s < after + dry
            share = 1.0 if began_s < cold else WARM_SHARE
            work = tokens * share / PREFILL_TOKENS_PER_S if began_s >= 0 else 0.0
            load += (work - load) * STEP_S / MEMORY_S
            wanted = size_fleet(size, load=load, n_for_quotas=n_for_quotas, now=now)
            coming = {z: sum(o[2] for o in booting if o[1] == z) for z in ZONES}
            zones = {
                zone: ZoneFleet(
                    zone=zone,
                    price=1.0,
                    n_spot=ready[zone] + coming[zone],
                    n_on_demand=0,
                    n_spot_ready=ready[zone],
                    spot_refused=is_dry,
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
            if began_s >= 0:
                wait_s = backlog / n_ready + BASE_FIRST_TOKEN_S
                shares.setdefault(int(began_s), []).append(float(wait_s <= 1.0))
        return [sum(v) / len(v) for v in shares.values()]

    context.by_quota = replay(count_for_quotas([context.quota]))
    context.by_found = replay(0)


@then("{percent:d}% of the prompts begin within 1.0 s in each second")
def step_in_time(context: Any, percent: int) -> None:
    assert min(context.by_quota) >= percent / 100, context.by_quota


@then("without a look at the quotas some second has under {percent:d}%")
def step_baseline(context: Any, percent: int) -> None:
    assert min(context.by_found) < percent / 100, context.by_found
