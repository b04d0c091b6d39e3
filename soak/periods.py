"""Periods of disturbances, on the monotonic clock in seconds."""

from dataclasses import dataclass
from pathlib import Path


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
class Refusal:
    """A caller that reached none of the daemons to which it was sent.

    Attributes:
        at: When the last one refused its connection.
        daemons: Names of these daemons.
    """

    at: float
    daemons: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """Time from SIGTERM to a daemon until its process has ended.

    Attributes:
        daemon: Name of the daemon.
        started_at: When SIGTERM was sent.
        ended_at: When the process had ended.
        status: Exit status; negative if a signal ended the process.
        log: File with the lines of all starts of the daemon.
        log_range: Where the lines of this start begin and end in it.
    """

    daemon: str
    started_at: float
    ended_at: float
    status: int
    log: Path
    log_range: tuple[int, int]

    def read_log(self) -> str:
        """Returns what this start of the daemon has logged."""
        first, last = self.log_range
        return self.log.read_bytes()[first:last].decode(errors="replace")


@dataclass(frozen=True, slots=True, kw_only=True)
class LapsePeriod:
    """Outage of the store in which the entries of all backend servers expire.

    Attributes:
        disturbance: The outage, until all servers have registered again.
        returned_at: When the store answered again.
    """

    disturbance: Disturbance
    returned_at: float
