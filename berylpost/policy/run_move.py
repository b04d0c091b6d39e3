"""Decides when a run is moved off an engine that is about to be reclaimed.

The engines of a zone may be reclaimed with a notice of seconds while each of them runs
tens of streams. Most streams finish in time. Moving the others transfers data between
engines; not moving them loses the answer or prefills its prompt again.
"""

from typing import Final

# Copies queue on an engine's network link: the copy of a long prompt takes 0.05 s, and
# about twenty runs may have to be moved just before the reclaim.
MOVE_LEAD_S: Final = 1.2
MIN_MOVE_NOTICE_S: Final = 0.15  # with less time left, it is too late to request a copy


def find_move_delay(left_s: float) -> float | None:
    """Returns the seconds to wait before moving a run, or None if it is too late.

    Args:
        left_s: seconds until the engine is reclaimed.
    """
    if left_s < MIN_MOVE_NOTICE_S:
        return None
    return max(0.0, left_s - MOVE_LEAD_S)
