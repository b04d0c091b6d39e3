"""Opens connections to backend servers, directly or through another daemon.

`policy.paths` decides which paths to try; this module tries them, keeps what they show
of each server's link, and connects directly from time to time while a link is cut.
`tunnels` carries the connections that go through other daemons.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Iterator, Mapping, Sequence
from typing import Any, Final, Protocol

from ..logs import log_event
from ..policy.paths import (
    HEAD_START_S,
    MAX_TRIALS,
    NEW_LINK,
    Link,
    LinkEvent,
    LinkState,
    PathKind,
    Peer,
    Refusal,
    apply_event,
    decide_relay,
    delay_trial,
    hasten_trial,
    is_cut_off,
    may_reuse,
    plan_paths,
    rank_peers,
)
from ..policy.server_process import ProbeResult
from .clock import read_boottime
from .model import Endpoint
from .open_paths import NotConnectedError, OpenPath, PathRace, open_direct
from .tunnel_server import TunnelServer
from .tunnels import CONNECT_TIMEOUT_S, Outcome, TunnelError, open_tunnel

LOGGER: Final = logging.getLogger(__name__)

# A peer needs its own time to connect.
TUNNEL_TIMEOUT_S: Final = CONNECT_TIMEOUT_S + HEAD_START_S
TICK_S: Final = 0.25
# What a peer's answer tells of the server.
PROBE_RESULTS: Final = {
    Outcome.REFUSED: ProbeResult.REFUSED,
    Outcome.RESET: ProbeResult.RESET,
}


class Server(Protocol):
    """What is needed of a backend server to connect to it."""

    @property
    def id(self) -> str:
        """Id of the server."""

    @property
    def address(self) -> Endpoint:
        """Address of the server."""

    @property
    def zone(self) -> str:
        """Availability zone of the server."""


class PeerRecord(Protocol):
    """What is needed of another daemon to connect through it."""

    @property
    def name(self) -> str:
        """Name of the daemon."""

    @property
    def zone(self) -> str:
        """Availability zone of the daemon."""

    @property
    def ip(self) -> str:
        """IP address by which the daemon is recognised."""

    @property
    def leaving(self) -> bool:
        """Whether it leaves."""

    @property
    def is_cut_off(self) -> bool:
        """Whether it said that it reaches no server."""


class Peers(Protocol):
    """The other daemons, and what this one tells them."""

    is_cut_off: bool

    @property
    def members(self) -> Mapping[str, PeerRecord]:
        """All other daemons that are known."""

    @property
    def leaving(self) -> bool:
        """Whether this daemon leaves."""

    def list_reachable(self) -> Sequence[PeerRecord]:
        """Lists the daemons that were heard from lately."""

    def find_tunnels(self, name: str) -> Endpoint | None:
        """Returns where a daemon passes connections on; None if it does not."""


class PathSettings(Protocol):
    """The settings that paths need."""

    @property
    def ip(self) -> str:
        """IP address by which the others know this daemon."""

    @property
    def zone(self) -> str:
        """Availability zone of this daemon."""

    @property
    def tunnels(self) -> Endpoint:
        """Address on which other daemons ask for connections."""


class BackendPaths:
    """The links of this daemon to the backend servers, and the ways around them.

    Args:
        settings: settings of this daemon.
        members: the other daemons.
        find_backend: returns the server with an id, None if there is none.
        count_backends: returns the number of servers.
        read_busy_share: returns the share of the time for which callers keep this
            daemon busy.

    Attributes:
        n_relayed: connections opened through other daemons.
        tunnels: passes connections of other daemons on.
    """

    def __init__(
        self,
        *,
        settings: PathSettings,
        members: Peers,
        find_backend: Callable[[str], Server | None],
        count_backends: Callable[[], int],
        read_busy_share: Callable[[], float],
    ) -> None:
        self.n_relayed = 0
        self.tunnels = TunnelServer(
            decide=self._decide_relay, note_connected=self._note_relayed_connect
        )
        self._settings = settings
        self._members = members
        self._find_backend = find_backend
        self._count_backends = count_backends
        self._read_busy_share = read_busy_share
        # Links of which nothing is known are left out.
        self._links: dict[str, Link] = {}
        self._direct_opened_at = float("-inf")
        self._peer_failed_at: dict[str, float] = {}
        self._random = random.Random()
        self._trials: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to pass connections on and to try links that are cut.

        Raises:
            OSError: the address is already in use.
        """
        await self.tunnels.start(*self._settings.tunnels)
        self._task = asyncio.create_task(self._run_trials())

    def stop(self) -> None:
        """Resets all connections that are passed on and stops trying links."""
        self.tunnels.stop()
        for task in (*self._trials, *((self._task,) if self._task else ())):
            task.cancel()

    @property
    def n_cut(self) -> int:
        """Number of servers whose link is cut."""
        return sum(link.state is LinkState.CUT for link in self._links.values())

    def is_cut(self, server: str) -> bool:
        """Tells whether the link to a server is cut."""
        return self._links.get(server, NEW_LINK).state is LinkState.CUT

    def may_reuse(self, backend: Server, peer: str, idle_since: float) -> bool:
        """Tells whether a kept connection to a server may carry another request."""
        link = self._links.get(backend.id, NEW_LINK)
        member = self._members.members.get(peer)
        return may_reuse(
            link,
            is_relayed=bool(peer),
            is_peer_usable=member is not None and not member.leaving,
            idle_since=idle_since,
        )

    def note_peer_failed(self, peer: str) -> None:
        """Records that a connection through a peer broke or fell silent."""
        if peer:
            self._peer_failed_at[peer] = read_boottime()

    async def open(self, backend: Server) -> OpenPath:
        """Opens a connection; tries several paths, the later ones with a delay.

        Raises:
            NotConnectedError: no path led to the server in time.
        """
        steps = plan_paths(
            self._links.get(backend.id, NEW_LINK),
            is_cut_off=self._members.is_cut_off,
            now=read_boottime(),
        )
        peers: Iterator[str] | None = None

        def start(kind: PathKind) -> Coroutine[Any, Any, OpenPath]:
            nonlocal peers
            if kind is PathKind.DIRECT:
                return open_direct(backend.address, CONNECT_TIMEOUT_S)
            peers = peers or iter(self._rank_peers(backend))
            return self._open_relayed(backend, next(peers, ""))

        race = PathRace(steps=steps, start=start)
        path = await race.run()
        self._note_race(backend, race, path)
        if path is None:
            raise NotConnectedError(race.render_failures(), *race.results)
        if path.transport.is_closing():
            # It was reset between the end of the race and now.
            raise NotConnectedError("reset at once", ProbeResult.RESET)
        path.direct_result = race.direct_result
        return path

    async def _open_relayed(self, backend: Server, peer: str) -> OpenPath:
        """Opens a connection through a peer.

        Raises:
            NotConnectedError: it does not lead to the server.
        """
        tunnels = self._members.find_tunnels(peer)
        if tunnels is None:
            raise NotConnectedError("no other daemon to ask")
        try:
            transport = await open_tunnel(
                tunnels,
                own_ip=self._settings.ip,
                server=backend.id,
                address=backend.address,
                timeout_s=TUNNEL_TIMEOUT_S,
            )
        except TunnelError as error:
            if error.outcome is Outcome.DECLINED:
                self.note_peer_failed(peer)
            result = PROBE_RESULTS.get(error.outcome, ProbeResult.SILENT)
            raise NotConnectedError(str(error), result) from error
        except (OSError, TimeoutError) as error:
            self.note_peer_failed(peer)
            raise NotConnectedError(repr(error), ProbeResult.SILENT) from error
        return OpenPath(transport=transport, peer=peer)

    def _note_race(
        self, backend: Server, race: PathRace, path: OpenPath | None
    ) -> None:
        if path is None:
            self._apply_event(backend.id, LinkEvent.NOT_OPENED)
        elif not path.peer:
            self._apply_event(backend.id, LinkEvent.DIRECT_OPENED)
        else:
            self.n_relayed += 1
            # A server that resets a connection is reached directly, too.
            has_answered = race.direct_result is ProbeResult.RESET
            if race.was_direct_tried and not has_answered:
                self._apply_event(
                    backend.id,
                    LinkEvent.PEER_OPENED,
                    swallows=race.direct_result is ProbeResult.SILENT,
                    peer=path.peer,
                )

    def _apply_event(
        self, server: str, event: LinkEvent, *, swallows: bool = False, peer: str = ""
    ) -> None:
        now = read_boottime()
        before = self._links.get(server, NEW_LINK)
        link = apply_event(before, event, now=now, swallows=swallows)
        if event is LinkEvent.DIRECT_OPENED:
            self._direct_opened_at = now
        if link == NEW_LINK:
            self._links.pop(server, None)
        else:
            self._links[server] = link
        if link.state is before.state:
            return
        self._update_verdict()
        log_event(
            LOGGER,
            "link_cut" if link.state is LinkState.CUT else "link_healed",
            backend=server,
            peer=peer,
            swallows=link.swallows,
            n_cut=self.n_cut,
            cut_off=self._members.is_cut_off,
            lasted_s=0.0 if before == NEW_LINK else now - before.changed_at,
        )
        if link.state is LinkState.UP:
            for other, known in self._links.items():
                if known.state is LinkState.CUT:
                    self._links[other] = hasten_trial(known, now=now)

    def _update_verdict(self) -> None:
        self._members.is_cut_off = is_cut_off(
            [
                link.changed_at
                for link in self._links.values()
                if link.state is LinkState.CUT
            ],
            n_servers=self._count_backends(),
            direct_opened_at=self._direct_opened_at,
        )

    def _rank_peers(self, backend: Server) -> list[str]:
        peers = (
            Peer(
                name=member.name,
                zone=member.zone,
                is_cut_off=member.is_cut_off,
                failed_at=self._peer_failed_at.get(member.name, float("-inf")),
            )
            for member in self._members.list_reachable()
            if not member.leaving
        )
        return rank_peers(
            peers,
            own_zone=self._settings.zone,
            server_zone=backend.zone,
            now=read_boottime(),
            random_state=self._random,
        )

    # Connections of other daemons.

    def _decide_relay(
        self, asker: str, server: str, address: Endpoint
    ) -> Refusal | None:
        backend = self._find_backend(server)
        return decide_relay(
            is_member=any(m.ip == asker for m in self._members.members.values()),
            is_server_known=backend is not None and backend.address == address,
            leaving=self._members.leaving,
            link=self._links.get(server, NEW_LINK),
            n_relayed=self.tunnels.n_open,
            busy_share=self._read_busy_share(),
        )

    def _note_relayed_connect(self, server: str, opened: bool) -> None:
        if opened:
            self._apply_event(server, LinkEvent.DIRECT_OPENED)

    # Trials of links that are cut.

    async def _run_trials(self) -> None:
        while True:
            await asyncio.sleep(TICK_S * random.uniform(0.8, 1.2))
            for server in [s for s in self._links if self._find_backend(s) is None]:
                del self._links[server]
            self._update_verdict()
            now = read_boottime()
            due = [
                server for server, link in self._links.items() if link.trial_at < now
            ]
            for server in due[: MAX_TRIALS - len(self._trials)]:
                # No other trial of it begins before this one has ended.
                self._links[server] = delay_trial(self._links[server], now=now)
                task = asyncio.create_task(self._try_link(server))
                self._trials.add(task)
                task.add_done_callback(self._trials.discard)

    async def _try_link(self, server: str) -> None:
        backend = self._find_backend(server)
        if backend is None:
            return
        try:
            path = await open_direct(backend.address, CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            log_event(LOGGER, "link_tried", logging.DEBUG, backend=server, cause=error)
            return
        path.transport.abort()
        self._apply_event(server, LinkEvent.DIRECT_OPENED)
