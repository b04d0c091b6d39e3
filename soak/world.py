"""The processes of one soak: daemons, backend servers, and the platform's stand-ins."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any, Final

from berylpost.fakes.duty_api import DutyApi
from berylpost.fakes.entry_world import make_configuration, make_route
from berylpost.fakes.objects import ObjectStore

from .proxy import Proxy

ROOT: Final = Path(__file__).parent.parent
PORT: Final = 8_221  # each process has an IP number of its own
N_PORTS: Final = 4  # front, readiness, directory, peer
HEARTBEAT_S: Final = 1.2  # of backend servers; three missed ones end an entry
GRACE_S: Final = 8.0  # from SIGTERM to SIGKILL
DRAIN_S: Final = 2.0  # for how long a leaving backend server serves on
READY_TIMEOUT_S: Final = 20.0
BOUNDS: Final = {"ReportWindowS": 5, "QuotaExtra": 190_000, "BudgetExtra": 1_000}


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One entry daemon over its restarts.

    Attributes:
        n_starts: counts its incarnations.
        stopping: SIGTERM or SIGKILL was sent to the present one.
    """

    name: str
    ip: str
    front: Proxy
    store: Proxy
    cloud: Proxy
    log: IO[bytes]
    settings: Path
    process: asyncio.subprocess.Process | None = None
    n_starts: int = 0
    stopping: bool = False
    paused: bool = False

    @property
    def is_up(self) -> bool:
        """Whether it runs and nobody has asked it to end."""
        running = self.process is not None and self.process.returncode is None
        return running and not self.stopping and not self.paused


@dataclass(slots=True, kw_only=True)
class Backend:
    """One start of a backend server; `leaves_at` is when its entry said so."""

    id: str
    ip: str
    link: Proxy
    process: asyncio.subprocess.Process
    leaves_at: float = float("inf")
    ended: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """A disturbance; `planned` for what must not cost an answer."""

    kind: str
    who: str
    began_at: float
    ended_at: float
    planned: bool


class World:
    """Everything that runs, and what has disturbed it.

    Args:
        network: first two numbers of its addresses, as `127.30`.
        folder: for settings and logs.
        on_run: called with attempt id, customer and backend server of each run.
    """

    def __init__(
        self,
        *,
        network: str,
        folder: Path,
        on_run: Callable[[str, str, Backend], None],
    ) -> None:
        self.network = network
        self.folder = folder
        self.on_run = on_run
        self.daemons: list[Daemon] = []
        self.backends: list[Backend] = []
        self.spans: list[Span] = []
        self.own_exits: list[str] = []
        self.keys = ["key-0", "key-1"]
        self.revoked: dict[str, float] = {}  # when the store had taken it away
        self.version = 1
        self.changed_at = 0.0
        self.store = ObjectStore(endpoint=f"{network}.0.1:{PORT}")
        self.cloud = DutyApi(endpoint=f"{network}.0.2:{PORT}")
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_backends = 0

    async def start(self, *, n_daemons: int, n_backends: int) -> None:
        """Starts everything and waits until each daemon serves."""
        await self.store.server.start()
        await self.cloud.server.start()
        await self.put_configuration()
        for _ in range(n_backends):
            await self.start_backend()
        for number in range(n_daemons):
            self.daemons.append(await self._make_daemon(number))
        for daemon in self.daemons:
            await self.start_daemon(daemon)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons:
                while not await self.is_ready(daemon):
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes that this world started."""
        for task in list(self._tasks):
            task.cancel()
        processes = [d.process for d in self.daemons if d.process is not None]
        for daemon in self.daemons:
            daemon.stopping = True
        processes += [b.process for b in self.backends if not b.ended]
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        for daemon in self.daemons:
            daemon.log.close()
            for proxy in (daemon.front, daemon.store, daemon.cloud):
                await proxy.stop()
        for backend in self.backends:
            await backend.link.stop()
        await self.store.server.stop()
        await self.cloud.server.stop()

    def spawn(self, work: Any) -> None:
        """Runs something beside the rest until the world stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note(
        self, kind: str, who: str, *, lasts_s: float = 0.0, planned: bool = False
    ) -> None:
        """Notes a disturbance that begins now."""
        now = time.monotonic()
        span = Span(
            kind=kind, who=who, began_at=now, ended_at=now + lasts_s, planned=planned
        )
        self.spans.append(span)

    def is_disturbed(self, began_at: float, ended_at: float, *, who: str = "") -> bool:
        """Tells whether anything unplanned touched a time, for one process or all."""
        return any(
            not span.planned
            and span.began_at <= ended_at
            and span.ended_at >= began_at
            and (not who or span.who in (who, "all"))
            for span in self.spans
        )

    # Daemons.

    async def _make_daemon(self, number: int) -> Daemon:
        ip = f"{self.network}.1.{number + 1}"
        proxy_ip = f"{self.network}.2.{number + 1}"
        front = Proxy(listen=(proxy_ip, PORT), target=(ip, PORT))
        store = Proxy(listen=(proxy_ip, PORT + 1), target=(f"{self.network}.0.1", PORT))
        cloud = Proxy(listen=(proxy_ip, PORT + 2), target=(f"{self.network}.0.2", PORT))
        for proxy in (front, store, cloud):
            await proxy.start()
        name = f"entry-{number}"
        settings = self.folder / f"{name}.json"
        document = {
            "Node": name,
            "Ip": ip,
            "Zone": "ab"[number % 2],
            "Region": "here",
            "Listen": {
                "Front": f"{ip}:{PORT}",
                "Readiness": f"{ip}:{PORT + 1}",
                "Directory": f"{ip}:{PORT + 2}",
            },
            "PortRange": [PORT + 3, PORT + 9],
            "Bounds": BOUNDS,
            "Platform": {"Address": f"{proxy_ip}:{PORT + 1}"},
            "Cloud": {
                "Address": f"{proxy_ip}:{PORT + 2}",
                "Duties": ["usage_report", "autoscale"],
            },
        }
        settings.write_text(json.dumps(document))
        return Daemon(
            name=name,
            ip=ip,
            front=front,
            store=store,
            cloud=cloud,
            log=(self.folder / f"{name}.log").open("wb"),
            settings=settings,
        )

    async def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon that does not run, and watches over its end."""
        environment = {**os.environ, "BERYLPOST_BOOT": str(daemon.settings)}
        daemon.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylpost.edge",
            cwd=ROOT,
            env=environment,
            stdout=daemon.log,
            stderr=daemon.log,
        )
        daemon.n_starts += 1
        daemon.stopping = daemon.paused = False
        self.spawn(self._watch_over(daemon, daemon.process))

    async def _watch_over(
        self, daemon: Daemon, process: asyncio.subprocess.Process
    ) -> None:
        status = await process.wait()
        if not (daemon.stopping and daemon.process is process):
            self.own_exits.append(f"{daemon.name} ended by itself with {status}")

    async def end_daemon(self, daemon: Daemon, number: signal.Signals) -> None:
        """Sends SIGTERM or SIGKILL and waits for the end, at most for the grace."""
        assert daemon.process is not None
        daemon.stopping = True
        daemon.process.send_signal(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await daemon.process.wait()
        except TimeoutError:
            self.own_exits.append(f"{daemon.name} did not end within its grace")
            daemon.process.kill()
            await daemon.process.wait()

    def read_peak_mb(self, daemon: Daemon) -> float:
        """Reads the most memory that a running daemon took, megabytes."""
        assert daemon.process is not None
        status = Path(f"/proc/{daemon.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) / 1_024

    async def is_ready(self, daemon: Daemon) -> bool:
        """Asks a daemon whether callers should come."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(daemon.ip, PORT + 1)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    # Backend servers.

    async def start_backend(self) -> Backend:
        """Starts a backend server and registers it."""
        self._n_backends += 1
        replica_id = f"r-{self._n_backends}"
        ip = f"{self.network}.3.{self._n_backends}"
        link_ip = f"{self.network}.4.{self._n_backends}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.replica",
            replica_id,
            ip,
            str(PORT),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        link = Proxy(listen=(link_ip, PORT), target=(ip, PORT))
        await link.start()
        backend = Backend(id=replica_id, ip=ip, link=link, process=process)
        self.backends.append(backend)
        self.spawn(self._read_runs(backend))
        await self.put_backend(backend, "ready")
        return backend

    async def put_backend(self, backend: Backend, state: str) -> None:
        """Writes a backend server's entry as it does itself."""
        spec = {
            "Service": "app",
            "Address": f"{backend.link.listen[0]}:{PORT}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": 1,
        }
        await self.store.put("servers", backend.id, spec)

    async def end_backend(self, backend: Backend) -> None:
        """Kills a backend server; its entry lapses after three heartbeats."""
        backend.ended = True
        backend.process.kill()
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers", backend.id)

    def set_fault(self, backend: Backend, fault: str) -> None:
        """Has a backend server treat its requests in some way."""
        if not backend.ended and backend.process.stdin is not None:
            backend.process.stdin.write(fault.encode() + b"\n")

    def list_usable(self) -> list[Backend]:
        """Lists the backend servers that run and are not leaving."""
        return [b for b in self.backends if not b.ended and b.leaves_at == float("inf")]

    async def _read_runs(self, backend: Backend) -> None:
        assert backend.process.stdout is not None
        while line := await backend.process.stdout.readline():
            attempt, _, customer = line.decode().strip().partition(" ")
            self.on_run(attempt, customer, backend)

    # The operator.

    async def put_configuration(self) -> None:
        """Writes the next configuration, with a route named after its number."""
        self.version += 1
        document = make_configuration(
            self.version, Tenants=[{"Name": "one", "ApiKeys": list(self.keys)}]
        )
        document["Routes"].append(make_route(f"v{self.version}", "idempotent"))
        await self.store.put("config", "main", document)
        self.changed_at = time.monotonic()

    async def revoke_key(self) -> None:
        """Replaces the older of the two keys by a new one."""
        old = self.keys.pop(0)
        self.keys.append(f"key-{self.version + 100}")
        await self.put_configuration()
        self.revoked[old] = time.monotonic()
