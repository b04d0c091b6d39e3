"""Checks planned stops against the daemons' own request counts.

A daemon counts the requests that it read and how each of them ended. A planned stop
alone leaves none open and loses none, and the process ends by itself.
"""

import re
from collections.abc import Iterator
from typing import Final

from .periods import PlannedStop
from .world import World

EVENT: Final = re.compile(r"\bevent=(\w+)(.*)")
COUNT: Final = re.compile(r"\b(requests_\w+)=(-?\d+)")
# Never other than 0 in the line of a daemon that has stopped.
OPEN_COUNT: Final = "requests_open"
# 0 unless an unplanned disturbance overlaps the stop.
LOSS_COUNTS: Final = ("requests_unsent", "requests_unserved", "requests_unfinished")


def list_faults(world: World) -> list[str]:
    """Lists the planned stops whose daemon lost a request by its own account.

    Args:
        world: World whose daemons have ended.

    Returns:
        A line for each fault, with the daemon and its counts.
    """
    return [
        f"{stop.daemon}, stopped in {stop.ended_at - stop.started_at:.1f} s: {fault}"
        for stop in world.stops
        for fault in find_faults(
            stop,
            was_disturbed=world.was_disturbed(
                stop.started_at, stop.ended_at, target=stop.daemon
            ),
        )
    ]


def find_faults(stop: PlannedStop, *, was_disturbed: bool) -> Iterator[str]:
    """Finds what one planned stop lost by its daemon's account.

    Args:
        stop: The stop.
        was_disturbed: Whether an unplanned disturbance overlaps it.
    """
    text = stop.read_log()
    if not text and stop.status < 0:
        return  # the signal came before any code of the daemon had run
    events = {match[1]: match[2] for match in EVENT.finditer(text)}
    counts = {m[1]: int(m[2]) for m in COUNT.finditer(events.get("daemon_stopped", ""))}
    if "daemon_stopped" not in events:
        yield f"no line daemon_stopped, status {stop.status}"
    if "process_ends" not in events:
        yield f"no line process_ends, status {stop.status}"
    if counts.get(OPEN_COUNT):
        yield f"{OPEN_COUNT}={counts[OPEN_COUNT]}"
    lost = [f"{name}={counts[name]}" for name in LOSS_COUNTS if counts.get(name)]
    if lost and not was_disturbed:
        yield " ".join(lost)
    _, _, leaving = text.partition("event=daemon_leaving")
    ids = re.findall(r"event=request_lost id=(\S+)", leaving)
    if ids and not was_disturbed:
        yield f"lost while it left: {', '.join(ids)}"
