"""What becomes of each stream on a backend server that got notice.

A stream that finishes before the notice runs out stays; the others move while the
server can still export their KV cache, the longest prompts first, since those cost
most to compute again; what cannot move goes on elsewhere from prompt and tokens.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

SAFETY_S: Final = 0.5  # before the end of the notice nothing may still run there
MOVE_S: Final = 0.05  # export, import and restart of one stream


class Way(StrEnum):
    """What to do with one stream."""

    FINISH = "finish"
    MOVE = "move"
    RESTART = "restart"


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenStream:
    """A stream on the leaving server.

    Attributes:
        n_context: prompt and generated tokens that a restart computes again.
        n_left: tokens still to come at the most.
        token_s: its pace, seconds a token.
    """

    id: str
    n_context: int
    n_left: int
    token_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The way of one stream, with a reason for people."""

    id: str
    way: Way
    reason: str


def plan_reclaim(
    streams: Sequence[OpenStream], *, left_s: float, can_move: bool
) -> list[Plan]:
    """Plans for all streams of one server.

    Args:
        streams: open on it.
        left_s: seconds until it is taken.
        can_move: whether it exports KV cache.

    Returns:
        One plan for each stream, in the order in which to act.
    """
    usable_s = left_s - SAFETY_S
    plans: list[Plan] = []
    leaving: list[OpenStream] = []
    for stream in streams:
        needed = stream.n_left * stream.token_s
        if needed <= usable_s:
            reason = f"needs {needed:.1f} s of {usable_s:.1f} s"
            plans.append(Plan(id=stream.id, way=Way.FINISH, reason=reason))
        else:
            leaving.append(stream)
    n_movable = int(max(0.0, usable_s) / MOVE_S) if can_move else 0
    leaving.sort(key=lambda stream: -stream.n_context)
    for place, stream in enumerate(leaving):
        way = Way.MOVE if place < n_movable else Way.RESTART
        reason = f"{stream.n_context} tokens of context, place {place}"
        plans.append(Plan(id=stream.id, way=way, reason=reason))
    return plans
