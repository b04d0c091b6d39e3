"""What must always hold, asserted where it could break.

A broken invariant is counted in the metrics and logged; with `fatal` set, as all
tests and the demonstration do, it raises. It is never ignored silently.
"""

import logging
from typing import Final

from .logs import log_event
from .metrics import INVARIANT_FAILURES

LOGGER: Final = logging.getLogger(__name__)


class InvariantError(AssertionError):
    """An invariant of the brief was broken."""


_fatal = False


def set_fatal(*, fatal: bool) -> None:
    """Chooses whether a broken invariant raises or is only counted."""
    global _fatal
    _fatal = fatal


def check_invariant(name: str, holds: bool, **facts: object) -> None:
    """Records a broken invariant.

    Args:
        name: short name of the invariant, the label of the metric.
        holds: whether it holds here.
        **facts: what a reader of the log needs to understand the case.

    Raises:
        InvariantError: when it does not hold and invariants are fatal.
    """
    if holds:
        return
    INVARIANT_FAILURES.labels(name).inc()
    log_event(LOGGER, "invariant_broken", logging.ERROR, name=name, **facts)
    if _fatal:
        raise InvariantError(f"{name}: {facts}")
