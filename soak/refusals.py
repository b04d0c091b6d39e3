"""Checks that callers reach a daemon among those to which they were sent.

A caller whose connection is refused goes on to its next address. Its request is not
lost, but a daemon that serves must be among those addresses.
"""

from collections.abc import Collection
from typing import Final

from .callers import RequestRecord
from .world import GRACE_S, World

STEADY_S: Final = 3.0  # time without disturbances, as for other checks (`judge`)


def list_unreachable(world: World, records: Collection[RequestRecord]) -> list[str]:
    """Lists the callers that were refused everywhere although a daemon served.

    Args:
        world: World whose daemons were called.
        records: Requests of all callers.

    Returns:
        A line for each, with the daemons that refused and those that served.
    """
    lines = []
    for refusal in world.refusals:
        if world.was_disturbed(refusal.at - STEADY_S, refusal.at):
            continue
        serving = [
            daemon.name
            for daemon in world.daemons
            if _was_serving(daemon.name, refusal.at, world=world, records=records)
        ]
        if serving:
            lines.append(f"refused by {refusal.daemons}, but {serving} served")
    return lines


def _was_serving(
    name: str, at: float, *, world: World, records: Collection[RequestRecord]
) -> bool:
    """Tells whether a daemon had served since it was stopped last."""
    stops = [
        d.started_at
        for d in world.disturbances
        if d.kind in ("stop", "kill") and d.target == name and d.started_at <= at
    ]
    since = max(stops) + GRACE_S if stops else float("-inf")
    return any(
        r.daemon == name and r.status == 200 and since < r.sent_at and r.ended_at <= at
        for r in records
    )
