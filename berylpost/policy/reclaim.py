"""Decides what happens to each stream on a backend server with a reclaim notice.

A stream that finishes before the notice expires stays. The other streams are moved
while the server can still export their KV cache, longest context first, because it
costs most to recompute. A stream that cannot be moved is restarted elsewhere from its
prompt and the tokens generated so far.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# Length of the period before the end of the notice in which nothing may run any more.
SAFETY_MARGIN_S: Final = 0.5
MOVE_DURATION_S: Final = 0.05  # duration of export, import and restart of one stream


class Way(StrEnum):
    """The action for one stream: let it finish, move it, or restart it."""

    FINISH = "finish"
    MOVE = "move"
    RESTART = "restart"


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenStream:
    """A stream on the leaving server.

    Attributes:
        n_context: prompt and generated tokens that a restart would recompute.
        n_left: maximum number of tokens still to be generated.
        token_s: generation time per token, in seconds.
    """

    id: str
    n_context: int
    n_left: int
    token_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The planned action for one stream, with a human-readable reason."""

    id: str
    way: Way
    reason: str


def plan_reclaim(
    streams: Sequence[OpenStream], *, left_s: float, can_move: bool
) -> list[Plan]:
    """Plans the actions for all streams of one server.

    Args:
        streams: the streams open on the server.
        left_s: seconds until the server is reclaimed.
        can_move: whether the server can export its KV cache.

    Returns:
        One plan for each stream, in the order in which to execute them.
    """
    usable_s = left_s - SAFETY_MARGIN_S
    plans: list[Plan] = []
    unfinished: list[OpenStream] = []
    for stream in streams:
        needed_s = stream.n_left * stream.token_s
        if needed_s <= usable_s:
            reason = f"needs {needed_s:.1f} s of {usable_s:.1f} s"
            plans.append(Plan(id=stream.id, way=Way.FINISH, reason=reason))
        else:
            unfinished.append(stream)
    n_movable = int(max(0.0, usable_s) / MOVE_DURATION_S) if can_move else 0
    unfinished.sort(key=lambda stream: -stream.n_context)
    for place, stream in enumerate(unfinished):
        way = Way.MOVE if place < n_movable else Way.RESTART
        reason = f"{stream.n_context} tokens of context, place {place}"
        plans.append(Plan(id=stream.id, way=way, reason=reason))
    return plans
