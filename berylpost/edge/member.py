"""What the entry daemons know of one another."""

from dataclasses import dataclass
from enum import IntEnum

from .model import ConfigurationRank, Endpoint


class BodyKind(IntEnum):
    """Which totals a datagram carries."""

    RECENT = 0
    WHOLE = 1
    SUMMARY = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a daemon knows the store.

    Attributes:
        era: era of the store to which the revisions belong.
        configuration: rank of the configuration.
        backends_revision: revision up to which the backend servers are known.
        backends_digest: equal for daemons that know the same entries.
    """

    era: int
    configuration: ConfigurationRank
    backends_revision: int
    backends_digest: int


@dataclass(slots=True, kw_only=True)
class Member:
    """What is known of another daemon.

    Attributes:
        last_received_at: boot-time clock at its last datagram; -inf before the first
            one.
        listed_at: boot-time clock when this record was added.
        last_stamp: newest stamp received from it.
        confirmation_age: age of its configuration's confirmation in its last datagram,
            seconds.
        has_our_totals: whether it has echoed a stamp of this daemon's present
            incarnation and so has received all totals.
        clock_offset: lower bound of this VM's boot-time clock minus the member's: a
            stamp was sent before the member's datagram that echoes it.
        wall_offset: its time of day minus this VM's boot-time clock.
        active: whether it exchanges totals; otherwise it stands by.
        is_cut_off: whether it is cut off from all backend servers.
        n_cores: processor cores that it may use.
        busy_share: share of the time for which callers keep it busy.
        totals_since: boot-time clock; it has our totals once it echoes a stamp that is
            not older.
        heard_at: boot-time clock at its last datagram while it stood by.
        row: quota and usage totals that it sent while it stood by.
        row_changed_at: boot-time clock at the last change of `row`.
    """

    name: str
    address: Endpoint
    ip: str
    zone: str = ""
    incarnation: int = 0
    last_received_at: float = float("-inf")
    listed_at: float = 0.0
    last_stamp: float = 0.0
    wall_offset: float | None = None
    leaving: bool = False
    ready: bool = False
    confirmation_age: float = float("inf")
    watch_served: bool = False
    has_our_totals: bool = False
    clock_offset: float = float("-inf")
    active: bool = True
    is_cut_off: bool = False
    n_cores: float = 0.0
    busy_share: float = 0.0
    totals_since: float = float("-inf")
    heard_at: float = float("-inf")
    row: tuple[dict[str, list[float]], dict[int, dict[str, int]]] = ({}, {})
    row_changed_at: float = float("-inf")
