"""Decides by which path a daemon reaches a backend server: directly or through a peer.

A connect that fails does not tell whether the server or the link to it is gone. A peer
that reaches the server at the same time shows that only the link is cut; connections
then go through peers until a direct connect succeeds. A verdict is made for each server
by itself, so it also holds for a service with one server, for a daemon that has never
reached any, and for links to some servers only. If every server has ended, no peer
reaches one and nothing changes but a few connects.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final, NamedTuple

# Connects take one round trip of a few milliseconds.
HEAD_START_S: Final = 0.1
# The same while most links are cut; still several round trips.
CUT_OFF_HEAD_START_S: Final = 0.02
N_PEERS: Final = 3  # peers asked for one connection
# No peer is asked for a server for so long after none reached it.
UNREACHED_S: Final = 1.0
# How long a peer that did not answer, or refused, is asked after the others.
PEER_REST_S: Final = 3.0
# Pause before the next direct connect to a server whose link is cut; it doubles.
TRIAL_PAUSE_S: Final = 0.5
MAX_TRIAL_PAUSE_S: Final = 2.0
MIN_CUT: Final = 2  # cut links of a daemon that is cut off, if there are more servers
MAX_TRIALS: Final = 4  # at the same time, whatever the number of servers
# Connections that one daemon keeps open for its peers.
MAX_RELAYED: Final = 512
# A daemon that callers keep this busy passes nothing on.
MAX_BUSY_SHARE: Final = 0.9


class PathKind(StrEnum):
    """How a connection reaches a server."""

    DIRECT = "direct"
    RELAYED = "relayed"


class LinkState(StrEnum):
    """Whether this daemon can connect to a backend server."""

    UP = "up"
    CUT = "cut"


class LinkEvent(StrEnum):
    """What a connect has shown."""

    DIRECT_OPENED = "direct_opened"
    PEER_OPENED = "peer_opened"  # through a peer, while the direct path failed
    NOT_OPENED = "not_opened"


NEXT_STATE: Final = {
    (LinkState.UP, LinkEvent.DIRECT_OPENED): LinkState.UP,
    (LinkState.UP, LinkEvent.PEER_OPENED): LinkState.CUT,
    (LinkState.UP, LinkEvent.NOT_OPENED): LinkState.UP,
    (LinkState.CUT, LinkEvent.DIRECT_OPENED): LinkState.UP,
    (LinkState.CUT, LinkEvent.PEER_OPENED): LinkState.CUT,
    (LinkState.CUT, LinkEvent.NOT_OPENED): LinkState.CUT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """What is known of the link to one server; times in seconds of one clock.

    Attributes:
        changed_at: when the state last changed.
        swallows: whether connects were left unanswered, so that older connections
            probably lose what is sent.
        unreached_until: no peer is asked before.
        trial_at: time of the next direct connect while the link is cut.
        n_trials: direct connects that failed since the link was cut.
    """

    state: LinkState = LinkState.UP
    changed_at: float = float("-inf")
    swallows: bool = False
    unreached_until: float = float("-inf")
    trial_at: float = float("inf")
    n_trials: int = 0


NEW_LINK: Final = Link()


class Step(NamedTuple):
    """A path to try, and how long after the one before; at once if that has failed."""

    kind: PathKind
    delay_s: float


class Peer(NamedTuple):
    """Another daemon through which servers may be reached.

    Attributes:
        is_cut_off: whether it said that it reaches no server itself.
        failed_at: when it last failed to pass something on.
    """

    name: str
    zone: str
    is_cut_off: bool
    failed_at: float


class Refusal(StrEnum):
    """Why a daemon does not pass a connection on."""

    STRANGER = "stranger"
    UNKNOWN_SERVER = "unknown_server"
    LEAVING = "leaving"
    CUT = "cut"
    FULL = "full"


def apply_event(
    link: Link, event: LinkEvent, *, now: float, swallows: bool = False
) -> Link:
    """Returns the link after a connect.

    Args:
        link: the link before.
        event: what the connect has shown.
        now: time of the event.
        swallows: whether the direct connect was left without an answer.
    """
    state = NEXT_STATE[link.state, event]
    if event is LinkEvent.NOT_OPENED:
        return replace(link, unreached_until=now + UNREACHED_S)
    if state is LinkState.UP:
        return NEW_LINK
    if link.state is LinkState.CUT:
        return link
    return Link(
        state=state,
        changed_at=now,
        swallows=swallows,
        trial_at=now + TRIAL_PAUSE_S,
    )


def delay_trial(link: Link, *, now: float) -> Link:
    """Returns the link after a direct connect failed while it is cut."""
    pause_s = min(MAX_TRIAL_PAUSE_S, TRIAL_PAUSE_S * 2 ** min(8, link.n_trials + 1))
    return replace(link, n_trials=link.n_trials + 1, trial_at=now + pause_s)


def hasten_trial(link: Link, *, now: float) -> Link:
    """Returns the link with a trial at once, after another link has healed."""
    return replace(link, n_trials=0, trial_at=min(link.trial_at, now))


def is_cut_off(
    cut_at: Collection[float], *, n_servers: int, direct_opened_at: float
) -> bool:
    """Tells whether a daemon is probably cut off from all servers.

    Args:
        cut_at: when each link that is cut was found to be so.
        n_servers: number of servers that the daemon knows.
        direct_opened_at: when a direct connect last succeeded.
    """
    if len(cut_at) < max(1, min(MIN_CUT, n_servers)):
        return False
    return direct_opened_at < min(cut_at)


def plan_paths(link: Link, *, is_cut_off: bool, now: float) -> tuple[Step, ...]:
    """Returns the paths to try for a new connection, in order.

    Args:
        link: the link to the server.
        is_cut_off: whether this daemon is probably cut off from all servers.
        now: present time.
    """
    direct = Step(PathKind.DIRECT, HEAD_START_S)
    relayed = Step(PathKind.RELAYED, HEAD_START_S)
    if link.state is LinkState.CUT:
        return (*(relayed,) * N_PEERS, direct)
    if now < link.unreached_until:
        return (direct,)
    first_s = CUT_OFF_HEAD_START_S if is_cut_off else HEAD_START_S
    first = Step(PathKind.RELAYED, first_s)
    return (direct, first, *(relayed,) * (N_PEERS - 1))


def rank_peers(
    peers: Iterable[Peer],
    *,
    own_zone: str,
    server_zone: str,
    now: float,
    random_state: random.Random,
) -> list[str]:
    """Ranks peers for a connection: those that probably reach the server come first.

    Peers in the server's or the own availability zone add no crossing between zones.
    """
    near = {own_zone, server_zone}

    def cost(peer: Peer) -> tuple[bool, bool, bool, float]:
        return (
            peer.is_cut_off,
            now - peer.failed_at < PEER_REST_S,
            peer.zone not in near,
            random_state.random(),
        )

    return [peer.name for peer in sorted(peers, key=cost)]


def may_reuse(
    link: Link, *, is_relayed: bool, is_peer_usable: bool, idle_since: float
) -> bool:
    """Tells whether a kept connection may carry another request.

    Args:
        link: the link to the server.
        is_relayed: whether the connection goes through a peer.
        is_peer_usable: whether that peer lives and does not leave.
        idle_since: when the last answer on the connection ended.
    """
    if is_relayed:
        return is_peer_usable and link.state is LinkState.CUT
    return not (link.swallows and idle_since < link.changed_at)


def decide_relay(
    *,
    is_member: bool,
    is_server_known: bool,
    leaving: bool,
    link: Link,
    n_relayed: int,
    busy_share: float,
) -> Refusal | None:
    """Decides whether a daemon passes a peer's connection on to a server.

    It only connects directly, so that no connection passes through a third daemon.

    Args:
        is_member: whether the asking address belongs to a daemon.
        is_server_known: whether a server is known at the address asked for.
        leaving: whether this daemon leaves.
        link: this daemon's own link to the server.
        n_relayed: connections that it passes on now.
        busy_share: share of the time for which callers keep it busy.
    """
    checks = (
        (not is_member, Refusal.STRANGER),
        (not is_server_known, Refusal.UNKNOWN_SERVER),
        (leaving, Refusal.LEAVING),
        (link.state is LinkState.CUT, Refusal.CUT),
        (n_relayed >= MAX_RELAYED or busy_share > MAX_BUSY_SHARE, Refusal.FULL),
    )
    return next((refusal for failed, refusal in checks if failed), None)
