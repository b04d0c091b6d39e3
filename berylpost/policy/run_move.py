"""When a run is moved off an engine that is about to go.

The load answered here: a zone's engines are reclaimed on a notice of seconds while each
runs tens of streams. Most end by themselves in time; moving those that do not costs
bytes between engines, and not moving them loses the answer or reads its prompt again.
"""

from typing import Final

# Copies queue on an engine's link: a long prompt takes 0.05 s, and some twenty runs may
# have to go in the last moments.
MOVE_BEFORE_S: Final = 1.2
LAST_MOMENT_S: Final = 0.15  # too late for a copy that is still to be asked for


def find_move_delay(left_s: float) -> float | None:
    """Returns seconds to wait before a run is moved; None when it is too late.

    Args:
        left_s: until the engine goes.
    """
    if left_s < LAST_MOMENT_S:
        return None
    return max(0.0, left_s - MOVE_BEFORE_S)
