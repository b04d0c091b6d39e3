"""Periods of disturbances, on the monotonic clock in seconds."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class CutPeriod:
    """Time in which daemons reach no backend server."""

    daemons: frozenset[str]
    started_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """A fault or planned action.

    Attributes:
        kind: Name of the action.
        target: Name of the daemon or id of the backend server concerned, or `all`.
        started_at: When it started.
        ended_at: When it ended or will end.
        planned: Whether it is planned work, which must not lose an answer.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float
    planned: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class LapsePeriod:
    """Outage of the store in which the entries of all backend servers expire.

    Attributes:
        disturbance: The outage, until all servers have registered again.
        returned_at: When the store answered again.
    """

    disturbance: Disturbance
    returned_at: float
