"""Run-time checks of invariants, at the places where they could be broken.

A broken invariant is counted in the metrics and logged as an error. If invariants are
fatal, as in all tests and the demonstration, it also raises an exception. It is never
ignored silently.
"""

import logging
from typing import Final

from .logs import log_event
from .metrics import INVARIANT_FAILURES

LOGGER: Final = logging.getLogger(__name__)


class InvariantError(AssertionError):
    """An invariant was broken."""


_fatal = False


def set_fatal(*, fatal: bool) -> None:
    """Sets whether a broken invariant raises or is only counted and logged."""
    global _fatal
    _fatal = fatal


def check_invariant(name: str, holds: bool, **facts: object) -> None:
    """Counts and logs the invariant as broken unless it holds.

    Args:
        name: short name of the invariant, used as label of the metric.
        holds: whether the invariant holds.
        **facts: values for the log line that help to diagnose the failure.

    Raises:
        InvariantError: the invariant does not hold and invariants are fatal.
    """
    if holds:
        return
    INVARIANT_FAILURES.labels(name).inc()
    log_event(LOGGER, "invariant_broken", logging.ERROR, name=name, **facts)
    if _fatal:
        raise InvariantError(f"{name}: {facts}")
