"""Steps that check the gossip rounds and store watches of entry daemons."""

import time
from typing import Any

from behave import then


@then(
    "during {seconds:g} s every daemon knows {n_others:d} others as alive"
    " and {n_watching:d} daemons watch the store"
)
def step_all_alive(
    context: Any, seconds: float, n_others: int, n_watching: int
) -> None:
    daemons = context.world.daemons.values()
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        active = {d.settings.name for d in daemons if d.members.active}
        for daemon in daemons:
            known = {member.name for member in daemon.members.list_reachable()}
            if daemon.members.active:
                assert len(known) == n_others, (daemon.settings.name, known)
            else:
                # A standby daemon is told of the active ones.
                assert active <= known, (daemon.settings.name, active - known)
        watching = [d.settings.name for d in daemons if d.watch.is_watching]
        assert len(watching) == n_watching, watching
        time.sleep(0.05)


@then("the store received at most {n:d} watch calls")
def step_few_watches(context: Any, n: int) -> None:
    calls = context.world.store.calls
    assert calls["watch"] <= n, calls
