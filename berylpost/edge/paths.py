"""Opens connections to backend servers, directly or through another daemon.

`policy.paths` decides which paths to try; this module tries them, keeps what they show
of each server's link, and connects directly from time to time while a link is cut.
`tunnels` carries the connections that go through other daemons.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Coroutine, Iterator
from typing import Any, Final

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
    Step,
    apply_event,
    decide_relay,
    delay_trial,
    hasten_trial,
    is_cut_off,
    may_reuse,
    plan_paths,
    rank_peers,
)
from .clock import read_boottime
from .members import Members
from .model import Backend, EdgeSettings, Endpoint
from .tunnels import (
    Outcome,
    PendingConnection,
    TunnelError,
    TunnelServer,
    attach_to_tunnel,
    open_tunnel,
)

LOGGER: Final = logging.getLogger(__name__)

# Time limit for one path: a hundred round trips, and well below every route's
# objective.
CONNECT_TIMEOUT_S: Final = 0.4
# A peer needs its own time to connect.
TUNNEL_TIMEOUT_S: Final = CONNECT_TIMEOUT_S + HEAD_START_S
TICK_S: Final = 0.25


class NotConnectedError(Exception):
    """No path led to a server.

    Attributes:
        refused: whether an address refused, as after the end of a server's process;
            otherwise nothing answered.
    """

    def __init__(self, detail: str, *, refused: bool) -> None:
        super().__init__(detail)
        self.refused = refused


class OpenPath:
    """A new connection that nothing uses yet.

    Attributes:
        transport: the connection.
        peer: daemon that passes it on; empty if it is direct.
    """

    def __init__(self, *, transport: asyncio.Transport, peer: str = "") -> None:
        self.transport = transport
        self.peer = peer

    def attach(self, user: asyncio.Protocol) -> None:
        """Lets a protocol use the connection."""
        if self.peer:
            attach_to_tunnel(self.transport, user)
            return
        self.transport.set_protocol(user)
        user.connection_made(self.transport)


async def open_direct(address: Endpoint, timeout_s: float) -> OpenPath:
    """Connects to an address without asking another daemon.

    Raises:
        NotConnectedError: nothing answered in time, or the address refused.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, pending = await loop.create_connection(
                PendingConnection, *address
            )
    except TimeoutError as error:
        raise NotConnectedError(repr(error), refused=False) from error
    except OSError as error:
        raise NotConnectedError(repr(error), refused=True) from error
    if transport.is_closing() or pending.has_data:
        transport.abort()
        raise NotConnectedError("reset at once", refused=True)
    return OpenPath(transport=transport)


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
        settings: EdgeSettings,
        members: Members,
        find_backend: Callable[[str], Backend | None],
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

    def may_reuse(self, backend: Backend, peer: str, idle_since: float) -> bool:
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

    async def open(self, backend: Backend) -> OpenPath:
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

        race = _Race(steps=steps, start=start)
        path = await race.run()
        self._note_race(backend, race, path)
        if path is None:
            raise NotConnectedError(race.render_failures(), refused=race.was_refused)
        if path.transport.is_closing():
            # It was reset between the end of the race and now.
            raise NotConnectedError("reset at once", refused=True)
        return path

    async def _open_relayed(self, backend: Backend, peer: str) -> OpenPath:
        """Opens a connection through a peer.

        Raises:
            NotConnectedError: it does not lead to the server.
        """
        member = self._members.members.get(peer)
        if member is None:
            raise NotConnectedError("no other daemon to ask", refused=True)
        try:
            transport = await open_tunnel(
                Endpoint(member.ip, self._settings.tunnels.port),
                own_ip=self._settings.ip,
                server=backend.id,
                address=backend.address,
                timeout_s=TUNNEL_TIMEOUT_S,
            )
        except TunnelError as error:
            if error.outcome is Outcome.DECLINED:
                self.note_peer_failed(peer)
            refused = error.outcome is Outcome.REFUSED
            raise NotConnectedError(str(error), refused=refused) from error
        except (OSError, TimeoutError) as error:
            self.note_peer_failed(peer)
            raise NotConnectedError(repr(error), refused=False) from error
        return OpenPath(transport=transport, peer=peer)

    def _note_race(
        self, backend: Backend, race: "_Race", path: OpenPath | None
    ) -> None:
        if path is None:
            self._apply_event(backend.id, LinkEvent.NOT_OPENED)
        elif not path.peer:
            self._apply_event(backend.id, LinkEvent.DIRECT_OPENED)
        else:
            self.n_relayed += 1
            if race.was_direct_tried:
                self._apply_event(
                    backend.id,
                    LinkEvent.PEER_OPENED,
                    swallows=not race.was_direct_refused,
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

    def _rank_peers(self, backend: Backend) -> list[str]:
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


class _Race:
    """Tries paths one after the other, each with a head start before the next one.

    Args:
        steps: the paths in order.
        start: tries one of them.

    Attributes:
        failures: kinds of the paths that led nowhere, and why.
    """

    def __init__(
        self,
        *,
        steps: Collection[Step],
        start: Callable[[PathKind], Coroutine[Any, Any, OpenPath]],
    ) -> None:
        self.failures: list[tuple[PathKind, NotConnectedError]] = []
        self._steps = steps
        self._start = start
        self._running: dict[asyncio.Task[OpenPath], PathKind] = {}

    @property
    def was_direct_tried(self) -> bool:
        """Whether the direct path was tried."""
        failed = (kind for kind, _ in self.failures)
        return PathKind.DIRECT in (*failed, *self._running.values())

    @property
    def was_direct_refused(self) -> bool:
        """Whether the direct path was refused."""
        return any(kind is PathKind.DIRECT and e.refused for kind, e in self.failures)

    @property
    def was_refused(self) -> bool:
        """Whether every path was refused and none left without an answer."""
        return all(error.refused for _, error in self.failures)

    def render_failures(self) -> str:
        """Renders the failures for a log line."""
        texts = (f"{kind}: {error}" for kind, error in self.failures)
        return "; ".join(dict.fromkeys(texts))

    async def run(self) -> OpenPath | None:
        """Returns the first path that leads to the server; None if none does."""
        winner: OpenPath | None = None
        try:
            for step in self._steps:
                winner = winner or await self._await_path(step.delay_s)
                if winner is not None:
                    break
                task = asyncio.create_task(self._start(step.kind))
                self._running[task] = step.kind
            while winner is None and self._running:
                winner = await self._await_path(None)
        finally:
            for task in self._running:
                task.add_done_callback(_close_unused)
                task.cancel()
        return winner

    async def _await_path(self, delay_s: float | None) -> OpenPath | None:
        """Waits until a path is open, one has failed or the delay is over."""
        if not self._running:
            return None
        done, _ = await asyncio.wait(
            self._running, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
        )
        winner: OpenPath | None = None
        for task in done:
            kind = self._running.pop(task)
            error = task.exception()
            if isinstance(error, NotConnectedError):
                self.failures.append((kind, error))
            elif error is not None:
                raise error
            elif winner is None:
                winner = task.result()
            else:
                _close_unused(task)
        return winner


def _close_unused(task: "asyncio.Task[OpenPath]") -> None:
    """Closes a path that was opened after another one was chosen."""
    if not task.cancelled() and task.exception() is None:
        task.result().transport.abort()
