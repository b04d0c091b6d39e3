"""Entry daemons with fakes of their platform, in one event loop and thread.

Each daemon and each backend server has an IP address of its own on loopback, and all
of them use the same ports, as on the platform. A test runs its coroutines on the event
loop with `run`.
"""

import asyncio
import contextlib
import itertools
import random
import socket
import threading
from collections.abc import Coroutine, Sequence
from typing import Any, Final, TypeVar

from ..edge.daemon import EdgeDaemon
from ..edge.model import Bounds, EdgeSettings, Endpoint
from ..policy.serving_set import MIN_SERVING
from .duty_api import DutyApi
from .links import CURRENT_DAEMON, LinkedLoop
from .objects import ObjectStore
from .replica import Replica

T = TypeVar("T")

HOST: Final = "site.example"
API_KEY: Final = "key-one"
START_TIMEOUT_S: Final = 10.0
BOUNDS: Final = Bounds(
    lease_s=1.0,
    grace_s=3.0,
    drain_s=2.0,
    revoke_s=5.0,
    address_ttl_s=5.0,
    usage_window_s=5.0,
    usage_late_s=10.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=500.0,
    quota_window_s=8.0,
    quota_extra=0.0,
    quota_overshoot=0.1,
)
_networks = itertools.count(random.Random().randrange(20, 200))


def make_route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Makes a route in the form in which the operator writes it."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 1_500,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": "app",
        "MaxAttempts": 2,
        **fields,
    }


def make_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Makes a configuration with routes of every kind and one customer."""
    routes = [
        make_route("read", "idempotent"),
        make_route("book", "non_idempotent", MaxAttempts=1),
        make_route("stream", "streaming", CanResume=True, GapAimMs=250),
        make_route("stream/once", "streaming", MaxAttempts=1, GapAimMs=250),
        make_route("open", "idempotent", Public=True),
    ]
    tenant = {"Name": "one", "ApiKeys": [API_KEY], "RatePerS": 0, "Burst": 0}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "app", "HealthPath": "/health", "MaxConns": 100}],
        "Limits": {},
        "Tenants": [tenant],
        **fields,
    }


class EntryWorld:
    """A running platform of fakes with entry daemons.

    Args:
        n_daemons: number of entry daemons to start.
        versions: software version of each backend server of the service `app`.
        duties: duties that the platform assigns to the daemons.
        has_rollouts: whether the platform orders rollouts.

    Attributes:
        n_crashes: number of crashes of servers that `restart_crashed` restarts.
    """

    def __init__(
        self,
        *,
        n_daemons: int = 1,
        versions: Sequence[str] = ("v1", "v1"),
        duties: frozenset[str] = frozenset(),
        has_rollouts: bool = False,
    ) -> None:
        self._network = f"127.{next(_networks) % 250 + 2}.{random.randrange(250)}"
        self._ports = _find_ports(6)
        self._duties = duties
        self._has_rollouts = has_rollouts
        self.loop = LinkedLoop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        store = f"{self._network}.1:{self._ports[0]}"
        self.store = ObjectStore(endpoint=store)
        self.duty_api = DutyApi(endpoint=f"{self._network}.2:{self._ports[0]}")
        self.replicas = [
            Replica(
                id=f"r-{n}",
                ip=f"{self._network}.{100 + n}",
                port=self._ports[0],
                version=version,
            )
            for n, version in enumerate(versions)
        ]
        self.daemons: dict[str, EdgeDaemon] = {}
        self.n_crashes = 0
        self._restarts: set[asyncio.Task[None]] = set()
        self._n_daemons = n_daemons

    def __enter__(self) -> "EntryWorld":
        """Starts everything.

        Waits until all daemons are ready and know one another, or the active ones, and
        one watches the store.
        """
        self._thread.start()
        self.run(self._start())
        return self

    def __exit__(self, *_: object) -> None:
        """Stops everything."""
        self.run(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(START_TIMEOUT_S)
        self.loop.close()

    def run(self, coroutine: Coroutine[Any, Any, T], timeout_s: float = 30.0) -> T:
        """Runs a coroutine on the event loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def make_settings(self, number: int) -> EdgeSettings:
        """Makes the settings of the daemon with the given number."""
        ip = f"{self._network}.{10 + number}"
        cloud = Endpoint(f"{self._network}.2", self._ports[0])
        return EdgeSettings(
            name=f"entry-{number}",
            ip=ip,
            zone="a",
            region="here",
            front=Endpoint(ip, self._ports[0]),
            readiness=Endpoint(ip, self._ports[1]),
            directory=Endpoint(ip, self._ports[2]),
            peer=Endpoint(ip, self._ports[3]),
            tunnels=Endpoint(ip, self._ports[5]),
            metrics=Endpoint(ip, self._ports[4]),
            store=Endpoint(f"{self._network}.1", self._ports[0]),
            cloud=cloud if self._duties else None,
            duties=self._duties,
            bounds=BOUNDS,
            has_rollouts=self._has_rollouts,
        )

    async def start_daemon(self, number: int) -> EdgeDaemon:
        """Starts one daemon and waits until it is ready."""
        daemon = EdgeDaemon(settings=self.make_settings(number), log_stream=None)
        # Inherited by all tasks and callbacks of the daemon.
        token = CURRENT_DAEMON.set(daemon.settings.name)
        await daemon.start()
        CURRENT_DAEMON.reset(token)
        self.daemons[daemon.settings.name] = daemon
        async with asyncio.timeout(START_TIMEOUT_S):
            while not daemon.is_ready or not daemon.table.records:
                await asyncio.sleep(0.02)
        return daemon

    def restart_crashed(self, *, pause_s: float) -> None:
        """Lets servers that crash start again under new ids at their addresses."""

        def restart(replica: Replica) -> None:
            self.n_crashes += 1
            task = asyncio.ensure_future(self._restart_replica(replica, pause_s))
            self._restarts.add(task)

        for replica in self.replicas:
            replica.on_crash = restart

    async def _restart_replica(self, replica: Replica, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        old_id, replica.id = replica.id, f"{replica.id}.{self.n_crashes}"
        await replica.start()
        await self.put_replica(replica)
        await self.store.remove("servers", old_id)

    async def put_configuration(self, spec: dict[str, Any]) -> None:
        """Stores a configuration, as the operator does."""
        await self.store.put("config", "main", spec)

    async def put_replica(self, replica: Replica, **fields: Any) -> None:
        """Stores the entry of a backend server, as the server itself does."""
        spec = {
            **replica.spec,
            "Service": "app",
            "Zone": "a",
            "State": "ready",
            **fields,
        }
        await self.store.put("servers", replica.id, spec)

    async def _start(self) -> None:
        await self.store.server.start()
        await self.duty_api.server.start()
        for replica in self.replicas:
            await replica.start()
            await self.put_replica(replica)
        await self.put_configuration(make_configuration())
        numbers = range(self._n_daemons)
        await asyncio.gather(*(self.start_daemon(number) for number in numbers))
        async with asyncio.timeout(START_TIMEOUT_S):
            daemons = self.daemons.values()
            n_active = min(self._n_daemons, MIN_SERVING)
            while any(
                len(daemon.members.list_alive()) < n_active - 1 for daemon in daemons
            ) or not any(daemon.watch.is_served for daemon in daemons):
                await asyncio.sleep(0.02)

    async def _stop(self) -> None:
        for daemon in self.daemons.values():
            daemon.kill()
        for replica in self.replicas:
            await replica.stop()
        await self.store.server.stop()
        await self.duty_api.server.stop()
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _find_ports(n_ports: int) -> list[int]:
    """Finds free ports; all are bound at once, so that none repeats."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(n_ports):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(int(sock.getsockname()[1]))
        return ports
