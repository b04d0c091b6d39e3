"""Connections of this daemon to backend servers while its own links to them are cut.

`edge.paths` finds out which links are cut and connects through other daemons. The other
tasks connect from threads and selectors of their own, so they get a local address for
each server whose link is cut: what connects there is passed on. Enabled by the setting
`listen.tunnels`.
"""

import asyncio
import logging
import threading
import time
from collections.abc import Mapping
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from .drain import DrainState
from .edge.model import Endpoint
from .edge.open_paths import NotConnectedError
from .edge.paths import BackendPaths
from .edge.tunnel_server import Side
from .endpoints import split_endpoint
from .kernel import Context, Plugin, Slot, register_plugin
from .logs import log_event
from .messages import Backend
from .policy.membership import ACTIVE_STATES, Table, list_active
from .policy.server_process import has_crashed

LOGGER: Final = logging.getLogger(__name__)

LOCAL_IP: Final = "127.0.0.1"
UPDATE_INTERVAL_S: Final = 0.25
STOP_TIMEOUT_S: Final = 2.0
LAST_ANSWERS_S: Final = 1.0  # for requests of other daemons at a planned stop
POLL_S: Final = 0.05
ASK_TIMEOUT_S: Final = 1.0  # for all paths to one server
N_CHECKS: Final = 8  # servers checked at the same time after the first cut link


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectFailed:
    """A direct connect to a backend server failed."""

    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Server:
    id: str
    address: Endpoint
    zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Peer:
    name: str
    zone: str
    ip: str
    leaving: bool
    is_cut_off: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _PathSettings:
    ip: str
    zone: str
    tunnels: Endpoint


class _Peers:
    """The table of members as the paths need it."""

    def __init__(self, *, context: Context) -> None:
        self.is_cut_off = False
        self._self_id = context.settings.daemon.id
        self._table: Slot[Table] = context.slots["members"]
        self._context = context

    @property
    def leaving(self) -> bool:
        """Whether this daemon leaves."""
        # The drain task is built after this one.
        state = self._context.slots["drain"].read()
        return state not in (DrainState.SERVING, DrainState.AGING)

    @property
    def members(self) -> Mapping[str, _Peer]:
        """All other daemons that are known."""
        return {
            name: _Peer(
                name=name,
                zone=entry.member.zone,
                ip=split_endpoint(entry.member.peers)[0],
                leaving=entry.member.state not in ACTIVE_STATES,
            )
            for name, entry in self._table.read().entries.items()
            if name != self._self_id
        }

    def list_reachable(self) -> list[_Peer]:
        """Lists the active daemons that pass connections on."""
        members = self.members
        return [
            members[member.id]
            for member in list_active(self._table.read())
            if member.id in members and member.tunnels
        ]

    def find_tunnels(self, name: str) -> Endpoint | None:
        """Returns where a daemon passes connections on; None if it does not."""
        entry = self._table.read().entries.get(name)
        if entry is None or not entry.member.tunnels:
            return None
        return Endpoint(*split_endpoint(entry.member.tunnels))


class ServerPaths:
    """The task that owns the paths; it runs an event loop in a thread.

    Args:
        context: settings, slots and the other tasks.
    """

    def __init__(self, *, context: Context) -> None:
        self.routes: Slot[Mapping[str, str]] = context.open_slot("routes", {})
        self._settings = context.settings
        self._backends: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._peers = _Peers(context=context)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="paths", daemon=True)
        self._started: Future[None] = Future()
        self._paths: BackendPaths | None = None
        self._forwarders: dict[str, tuple[asyncio.Server, str]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._updates: asyncio.Task[None] | None = None
        self._limit = asyncio.Semaphore(N_CHECKS)

    @property
    def is_enabled(self) -> bool:
        """Whether this daemon passes connections on and asks others to."""
        return bool(self._settings.listen.tunnels)

    def start(self) -> None:
        """Starts the thread and opens the socket.

        Raises:
            OSError: the address is already in use.
        """
        if self.is_enabled:
            self._thread.start()
            self._started.result()

    def stop(self) -> None:
        """Waits a little for what is passed on, resets the rest, ends the thread."""
        if not self._thread.is_alive():
            return
        ends_at = time.monotonic() + LAST_ANSWERS_S
        while self._paths is not None and time.monotonic() < ends_at:
            if not self._paths.tunnels.n_open:
                break
            time.sleep(POLL_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)

    def post(self, message: Any) -> None:
        """Handles `ConnectFailed` in the task's thread."""
        if self._thread.is_alive() and isinstance(message, ConnectFailed):
            self._loop.call_soon_threadsafe(self._check, message.address)

    def resolve(self, address: str) -> str:
        """Returns the address at which to connect to a server now."""
        return self.routes.read().get(address, address)

    def find_route(self, address: str) -> str:
        """Waits until it is known whether the link to a server is cut.

        Returns:
            A local address for the server, or its own one.
        """
        self._ask(address)
        return self.resolve(address)

    def refuses_connections(self, address: str) -> bool | None:
        """Tells whether a server refuses connections of other daemons, too.

        Returns:
            None if the server is unknown or paths are not enabled.
        """
        return self._ask(address)

    def _ask(self, address: str) -> bool | None:
        if not self._thread.is_alive():
            return None
        asked = asyncio.run_coroutine_threadsafe(self._try_paths(address), self._loop)
        try:
            return asked.result(ASK_TIMEOUT_S)
        except FutureTimeoutError:
            asked.cancel()
            return False

    # In the task's thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._start())
        except BaseException as error:
            self._started.set_exception(error)
            return
        self._started.set_result(None)
        self._loop.run_forever()
        if self._paths is not None:
            self._paths.stop()

    async def _start(self) -> None:
        settings = self._settings
        assert settings.listen.tunnels is not None
        self._paths = BackendPaths(
            settings=_PathSettings(
                ip=split_endpoint(settings.listen.peers)[0],
                zone=settings.daemon.zone,
                tunnels=Endpoint(*split_endpoint(settings.listen.tunnels)),
            ),
            members=self._peers,
            find_backend=self._find_server,
            count_backends=lambda: len(self._backends.read()),
            read_busy_share=lambda: 0.0,
        )
        await self._paths.start()
        self._updates = asyncio.create_task(self._run_updates())

    def _list_servers(self) -> list[_Server]:
        return [
            _Server(id=b.id, address=Endpoint(*split_endpoint(b.address)), zone=b.zone)
            for b in self._backends.read().values()
            if b.state != "gone"
        ]

    def _find_server(self, server_id: str) -> _Server | None:
        backend = self._backends.read().get(server_id)
        if backend is None or backend.state == "gone":
            return None
        address = Endpoint(*split_endpoint(backend.address))
        return _Server(id=backend.id, address=address, zone=backend.zone)

    def _check(self, address: str) -> None:
        """Finds out in the background whether a link is cut."""
        if address not in self._checks:
            task = asyncio.ensure_future(self._check_link(address))
            self._checks[address] = task
            task.add_done_callback(lambda _task: self._checks.pop(address, None))

    async def _check_link(self, address: str) -> None:
        async with self._limit:
            await self._try_paths(address)

    async def _try_paths(self, address: str) -> bool | None:
        """Connects to a server by whichever path leads to it, and closes again.

        Returns:
            Whether it is refused on all paths; None if the server is unknown.
        """
        assert self._paths is not None
        server = next(
            (s for s in self._list_servers() if str(s.address) == address), None
        )
        if server is None:
            return None
        was_cut = self._paths.is_cut(server.id)
        refused = False
        try:
            path = await self._paths.open(server)
            path.transport.abort()
        except NotConnectedError as error:
            refused = has_crashed([error.result])
            log_event(LOGGER, "server_unreached", backend=server.id, cause=error)
        await self._update_routes()
        if self._paths.is_cut(server.id) and not was_cut:
            # The links to the other servers are probably cut, too.
            for other in self._list_servers():
                if not self._paths.is_cut(other.id):
                    self._check(str(other.address))
        return refused

    async def _run_updates(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            try:
                await self._update_routes()
            except Exception:
                LOGGER.exception("event=task_error task=paths")

    async def _update_routes(self) -> None:
        """Opens a local address for each cut link and publishes them."""
        assert self._paths is not None
        if not self._paths.n_cut and not self._forwarders:
            return
        cut = {s.id: s for s in self._list_servers() if self._paths.is_cut(s.id)}
        for server_id in self._forwarders.keys() - cut.keys():
            listener, _ = self._forwarders.pop(server_id)
            listener.close()  # open connections live on
        for server_id, server in cut.items():
            if server_id not in self._forwarders:
                listener = await self._loop.create_server(
                    partial(_LocalSide, self._paths, server), LOCAL_IP, 0
                )
                port = listener.sockets[0].getsockname()[1]
                self._forwarders[server_id] = (listener, f"{LOCAL_IP}:{port}")
        routes = {
            str(server.address): self._forwarders[server_id][1]
            for server_id, server in cut.items()
        }
        if routes != self.routes.read():
            self.routes.publish(routes)


class _LocalSide(Side):
    """A connection of another task of this daemon to a server whose link is cut."""

    def __init__(self, paths: BackendPaths, server: _Server) -> None:
        super().__init__()
        self._paths = paths
        self._server = server
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens a path to the server before anything is read."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.pause_reading()
        self._task = asyncio.ensure_future(self._open())

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a connect that is in progress, and the other side."""
        if self._task is not None:
            self._task.cancel()
        super().connection_lost(exc)

    async def _open(self) -> None:
        try:
            path = await self._paths.open(self._server)
        except NotConnectedError as error:
            log_event(LOGGER, "connect_failed", backend=self._server.id, cause=error)
            self.reset()
            return
        far = Side()
        path.attach(far)
        self.other, far.other = far, self
        if self.transport is not None:
            self.transport.resume_reading()


def find_paths(context: Context) -> ServerPaths | None:
    """Returns the task of this daemon; None if it has none or paths are not enabled."""
    task = context.tasks.get("paths")
    return task if isinstance(task, ServerPaths) and task.is_enabled else None


def _build(context: Context) -> ServerPaths:
    return ServerPaths(context=context)


register_plugin(Plugin(name="paths", requires=("peers", "backends"), build=_build))
