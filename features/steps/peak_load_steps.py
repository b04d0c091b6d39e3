"""Steps of peak_load.feature: a burst upon the loss of a zone, in virtual time.

The simulation is a fluid model: servers do one server-second of work per second, and a
request starts when all work that arrived before it is done.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from behave import then, when

from berylpost.policy.fleet_size import (
    IDLE_LOAD,
    FleetSize,
    ZoneFleet,
    count_guaranteed,
    plan_on_demand,
    plan_spot,
    size_fleet,
)
from berylpost.policy.placement import BASE_FIRST_TOKEN_S

STEP_S = 0.1
BOOT_S = 4.2
LOAD_AVERAGE_S = 4.0  # time constant of the measured load
LOSS_AT_S = 40.0  # after the fleet has reached its size, and a wave its peak
BURST = 1.4
ENDS_S = 80.0
OBJECTIVE_S = 1.0

Zones = dict[str, ZoneFleet]
# Returns the wanted reclaimable and on-demand servers by zone.
Planner = Callable[[Zones, float, float], tuple[dict[str, int], dict[str, int]]]


@dataclass(kw_only=True)
class Outcome:
    """What a replay showed.

    Attributes:
        peak: highest share of the servers' time that was needed from the loss on.
        n_late: share of the work from the loss on that started late.
        server_s: server-seconds that were paid for.
    """

    peak: float
    n_late: float
    server_s: float


def plan_fleet(n_zones: int) -> Planner:
    """Returns the decisions of `policy.fleet_size`, as `edge.duties` calls them."""
    size = FleetSize(n_found=n_zones, n_wanted=n_zones)

    def plan(zones: Zones, load: float, now: float) -> Any:
        n_needed = size_fleet(size, load=load, n_for_quotas=0, now=now)
        spot = plan_spot(zones, n_needed=n_needed, n_min=1, n_max=200)
        n_guaranteed = size.n_found
        if load > IDLE_LOAD:
            n_guaranteed = count_guaranteed(load, n_needed)
        on_demand = plan_on_demand(zones, n_guaranteed=n_guaranteed, n_max=200)
        return spot, on_demand

    return plan


def keep_fixed(n_servers: int, n_zones: int) -> Planner:
    """Returns a plain baseline: a fixed number of servers, even over the zones."""

    def plan(zones: Zones, load: float, now: float) -> Any:
        names = sorted(zones)
        return {
            name: n_servers // n_zones + (index < n_servers % n_zones)
            for index, name in enumerate(names)
        }, {}

    return plan


def replay(
    plan: Planner, *, work: float, n_zones: int, refused_s: float, everywhere: bool
) -> Outcome:
    """Replays a steady load, then a burst as the fullest zone is reclaimed.

    Args:
        plan: the decisions.
        work: steady load in server-seconds per second.
        n_zones: availability zones.
        refused_s: time for which reclaimable servers are refused after the loss.
        everywhere: whether they are refused in all zones, not only in the lost one.
    """
    names = [f"z{number}" for number in range(n_zones)]
    ready = {(name, spot): int(spot) for name in names for spot in (True, False)}
    booting: list[tuple[float, tuple[str, bool], int]] = []
    load = work
    backlog = peak = late = total = server_s = 0.0
    lost = ""
    for step in range(int(ENDS_S / STEP_S)):
        now = step * STEP_S
        for order in [o for o in booting if o[0] <= now]:
            booting.remove(order)
            ready[order[1]] += order[2]
        if now >= LOSS_AT_S and not lost:
            lost = max(names, key=lambda name: ready[name, True])
            ready[lost, True] = 0
            booting = [o for o in booting if o[1] != (lost, True)]
        refusing = bool(lost) and now < LOSS_AT_S + refused_s
        arriving = work * (BURST if lost else 1.0)
        load += (arriving - load) * STEP_S / LOAD_AVERAGE_S
        expected = {
            key: n + sum(o[2] for o in booting if o[1] == key)
            for key, n in ready.items()
        }
        zones = {
            name: ZoneFleet(
                zone=name,
                price=1.0,
                n_spot=expected[name, True],
                n_on_demand=expected[name, False],
                n_spot_ready=ready[name, True],
                spot_refused=refusing and (everywhere or name == lost),
            )
            for name in names
        }
        spot, on_demand = plan(zones, load, now)
        for is_spot, wanted in ((True, spot), (False, on_demand)):
            for name, n_servers in wanted.items():
                key = name, is_spot
                n_more = n_servers - expected[key]
                if n_more > 0 and not (is_spot and zones[name].spot_refused):
                    booting.append((now + BOOT_S, key, n_more))
                elif n_more < 0:
                    ready[key] = max(0, ready[key] + n_more)
        n_ready = max(1e-9, sum(ready.values()))
        server_s += n_ready * STEP_S
        backlog = max(0.0, backlog + (arriving - n_ready) * STEP_S)
        if lost:
            peak = max(peak, arriving / n_ready)
            total += arriving
            late += arriving * (backlog / n_ready + BASE_FIRST_TOKEN_S > OBJECTIVE_S)
    return Outcome(peak=peak, n_late=late / total, server_s=server_s)


@when(
    "a zone of {n_zones:d} is lost in a burst of 1.4 on {work:g} servers' work, and"
    " reclaimable servers are refused {where} for 20 s"
)
def step_replay(context: Any, n_zones: int, work: float, where: str) -> None:
    options = {
        "work": work,
        "n_zones": n_zones,
        "refused_s": 20.0,
        "everywhere": where == "everywhere",
    }
    context.outcome = replay(plan_fleet(n_zones), **options)
    n_fixed = round(context.outcome.server_s / ENDS_S)
    context.fixed = replay(keep_fixed(n_fixed, n_zones), **options)


@then("the servers are busy for at most {share:g} of their time")
def step_check_peak(context: Any, share: float) -> None:
    assert context.outcome.peak <= share + 1e-9, context.outcome


@then("no request starts late")
def step_check_late(context: Any) -> None:
    assert context.outcome.n_late == 0.0, context.outcome


@then("a fixed fleet of the same cost is no less busy")
def step_check_fixed(context: Any) -> None:
    assert context.fixed.peak >= context.outcome.peak - 1e-9, (
        context.fixed,
        context.outcome,
    )
