"""Processes of one soak run: daemons and backend servers, and platform fakes."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, Final

from berylpost.fakes.duty_api import DutyApi
from berylpost.fakes.entry_world import make_configuration, make_route
from berylpost.fakes.objects import ObjectStore, StoreCopy

from .periods import CutPeriod, Disturbance, LapsePeriod, PlannedStop, Refusal
from .proxy import Proxy

ROOT: Final = Path(__file__).parent.parent
PORT: Final = 8_221  # the same for all processes, since each has its own IP address
N_PORTS: Final = 4  # front, readiness, directory, peer
FALL_MARK: Final = "fell"  # first word of a server's line about its own fall
STOP_MARK: Final = "stopped"  # first word of its line about a run that is moved
VERSIONS: Final = ("v1", "v2")  # of the backend servers, in turn
# Heartbeat interval of backend servers; their entry ends after three missed ones.
HEARTBEAT_S: Final = 1.2
GRACE_S: Final = 8.0  # from SIGTERM to SIGKILL
DRAIN_S: Final = 2.0  # for how long a draining backend server still serves
READY_TIMEOUT_S: Final = 20.0
EXIT_NOTICE_S: Final = 0.2  # from a server's end until this process learns of it
RESTART_S: Final = 1.0  # after which a server that crashed is replaced
# From a crash until its entry is gone and its place is filled.
CRASH_LASTS_S: Final = RESTART_S + 3 * HEARTBEAT_S
BOUNDS: Final = {"ReportWindowS": 5, "QuotaExtra": 190_000, "BudgetExtra": 1_000}


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One entry daemon across its restarts.

    Attributes:
        name: Name of the daemon, also of its settings and log files.
        ip: IP address that the daemon listens on.
        front: Proxy from callers to the daemon.
        store: Proxy from the daemon to the store.
        cloud: Proxy from the daemon to the cloud API.
        log: File that receives the output of the process.
        log_from: Length of this file when the current process was started.
        settings: Path of the settings file.
        process: Current process; None before the first start.
        n_starts: Number of starts so far.
        stopping: Whether SIGTERM or SIGKILL was sent to the current process.
        paused: Whether the current process is stopped by SIGSTOP.
        cut: Fault of the links to all backend servers; empty for none.
        build: Folder of the code that it runs.
    """

    name: str
    ip: str
    front: Proxy
    store: Proxy
    cloud: Proxy
    log: IO[bytes]
    settings: Path
    log_from: int = 0
    process: asyncio.subprocess.Process | None = None
    n_starts: int = 0
    stopping: bool = False
    paused: bool = False
    cut: str = ""
    build: Path = ROOT

    @property
    def is_up(self) -> bool:
        """Whether the process runs and is neither stopping nor paused."""
        running = self.process is not None and self.process.returncode is None
        return running and not self.stopping and not self.paused

    def read_log_length(self) -> int:
        """Returns how many bytes its processes have logged."""
        return os.fstat(self.log.fileno()).st_size


@dataclass(slots=True, kw_only=True)
class Backend:
    """One process of a backend server.

    Attributes:
        id: Id of the backend server in the store.
        version: Version of its software.
        ip: IP address that it listens on.
        link: Proxy from the daemons to it.
        process: Its process.
        born_ms: When it was started, Unix milliseconds.
        draining_since: When its entry was marked as draining, monotonic seconds;
            infinite before, and in the future once it is chosen for draining.
        entry_says_leaving: Whether its entry tells when it drains; else its answers do.
        killed: Whether the process was killed.
    """

    id: str
    version: str
    ip: str
    link: Proxy
    process: asyncio.subprocess.Process
    born_ms: int = field(default_factory=lambda: int(time.time() * 1_000))
    draining_since: float = float("inf")
    entry_says_leaving: bool = True
    killed: bool = False

    @property
    def state(self) -> str:
        """State in its entry, while it runs."""
        is_draining = time.monotonic() >= self.draining_since
        return "draining" if is_draining and self.entry_says_leaving else "ready"


@dataclass(slots=True, kw_only=True)
class LimitPeriod:
    """Time in which a backend server names a request rate, monotonic seconds."""

    backend: Backend
    rate: float
    started_at: float
    ended_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class BrittlePeriod:
    """Time in which a backend server may fall over, monotonic seconds."""

    backend: Backend
    started_at: float
    ended_at: float = float("inf")
    n_falls: int = 0


class World:
    """All processes and fakes of a run, and the disturbances so far.

    Args:
        address_prefix: First two numbers of all IP addresses, such as `127.30`.
        folder: Directory for settings and logs.
        on_run: Called with attempt id, customer and backend server of each run.
        builds: Folders of the builds that the daemons run at first, in turn.

    Attributes:
        stops: Planned stops of daemons that have ended.
        refusals: Callers that reached none of the daemons to which they were sent.
        unexpected_exits: One line for each daemon that exited unexpectedly or too late.
        revoked: When the store had removed an API key, by key, monotonic seconds.
        configuration_number: Number of the latest configuration.
        configured_at: When the latest configuration was written, monotonic seconds.
        bad_part: Prompt part that crashes servers and that callers send now; empty for
            none.
        bad_requests: Those of these names that are whole requests, not prompt parts.
        crashes: When servers crashed, by prompt part, monotonic seconds.
        limit_periods: When backend servers named a request rate.
        cut_periods: When daemons were cut off from all backend servers.
        brittle_periods: When backend servers were brittle.
        lapse_periods: When the store was away and all entries of servers expired.
        n_stopped: How often servers stopped a run to move it, by attempt id.
        n_moved: How often a run went on from the memory of a stopped one, likewise.
        bad_part_ended_at: When callers stopped to send a part, monotonic seconds.
    """

    def __init__(
        self,
        *,
        address_prefix: str,
        folder: Path,
        on_run: Callable[[str, str, Backend], None],
        builds: Sequence[Path] = (ROOT,),
    ) -> None:
        self.builds = builds
        self.address_prefix = address_prefix
        self.folder = folder
        self.on_run = on_run
        self.daemons: list[Daemon] = []
        self.backends: list[Backend] = []
        self.disturbances: list[Disturbance] = []
        self.stops: list[PlannedStop] = []
        self.refusals: list[Refusal] = []
        self.unexpected_exits: list[str] = []
        self.keys = ["key-0", "key-1"]
        self.revoked: dict[str, float] = {}
        self.configuration_number = 1
        self.configured_at = 0.0
        self.bad_part = ""
        self.bad_requests: set[str] = set()
        self.crashes: dict[str, list[float]] = {}
        self.bad_part_ended_at: dict[str, float] = {}
        self.n_stopped: Counter[str] = Counter()
        self.n_moved: Counter[str] = Counter()
        self.limit_periods: list[LimitPeriod] = []
        self.cut_periods: list[CutPeriod] = []
        self.brittle_periods: list[BrittlePeriod] = []
        self.lapse_periods: list[LapsePeriod] = []
        self.store = ObjectStore(endpoint=f"{address_prefix}.0.1:{PORT}")
        self.cloud = DutyApi(endpoint=f"{address_prefix}.0.2:{PORT}")
        self._document: dict[str, Any] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_backends = 0

    async def start(self, *, n_daemons: int, n_backends: int) -> None:
        """Starts all fakes and processes and waits until every daemon is ready."""
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
        """Kills all daemons and backend servers, then stops proxies and fakes."""
        for task in list(self._tasks):
            task.cancel()
        processes = [d.process for d in self.daemons if d.process is not None]
        for daemon in self.daemons:
            daemon.stopping = True
        processes += [b.process for b in self.backends if not b.killed]
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

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine in the background, at most until `stop` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_disturbance(
        self,
        kind: str,
        target: str,
        *,
        lasts_s: float = 0.0,
        planned: bool = False,
        noticed_s: float = 0.0,
    ) -> None:
        """Records a disturbance that starts now, or `noticed_s` before."""
        now = time.monotonic()
        disturbance = Disturbance(
            kind=kind,
            target=target,
            started_at=now - noticed_s,
            ended_at=now + lasts_s,
            planned=planned,
        )
        self.disturbances.append(disturbance)

    def was_disturbed(
        self, started_at: float, ended_at: float, *, target: str = ""
    ) -> bool:
        """Tells whether an unplanned disturbance overlaps a period.

        Args:
            started_at: Start of the period, monotonic seconds.
            ended_at: End of the period, monotonic seconds.
            target: Daemon or backend server to consider; all when empty.
        """
        return any(
            not disturbance.planned
            and disturbance.started_at <= ended_at
            and disturbance.ended_at >= started_at
            and (not target or disturbance.target in (target, "all"))
            for disturbance in self.disturbances
        )

    def was_daemon_disturbed(
        self, daemon: str, started_at: float, ended_at: float
    ) -> bool:
        """Tells whether a daemon, its links or the store was disturbed in a period.

        A planned stop of the daemon counts too, since it then starts anew.
        """
        return any(
            disturbance.started_at <= ended_at
            and disturbance.ended_at >= started_at
            and (disturbance.target == daemon or disturbance.kind == "store_fault")
            for disturbance in self.disturbances
        )

    def was_paused(self, daemon: str, started_at: float, ended_at: float) -> bool:
        """Tells whether a daemon was paused in a period."""
        return any(
            disturbance.kind == "pause"
            and disturbance.target == daemon
            and disturbance.started_at <= ended_at
            and disturbance.ended_at >= started_at
            for disturbance in self.disturbances
        )

    # Daemons.

    async def _make_daemon(self, number: int) -> Daemon:
        ip = f"{self.address_prefix}.1.{number + 1}"
        proxy_ip = f"{self.address_prefix}.2.{number + 1}"
        front = Proxy(listen=(proxy_ip, PORT), target=(ip, PORT))
        store = Proxy(
            listen=(proxy_ip, PORT + 1), target=(f"{self.address_prefix}.0.1", PORT)
        )
        cloud = Proxy(
            listen=(proxy_ip, PORT + 2), target=(f"{self.address_prefix}.0.2", PORT)
        )
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
            build=self.builds[number % len(self.builds)],
            log=(self.folder / f"{name}.log").open("wb"),
            settings=settings,
        )

    async def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon that is not running and records an unexpected exit."""
        environment = {**os.environ, "BERYLPOST_BOOT": str(daemon.settings)}
        daemon.log_from = daemon.read_log_length()
        daemon.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.daemon",
            cwd=daemon.build,
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=daemon.log,
            stderr=daemon.log,
        )
        daemon.n_starts += 1
        daemon.stopping = daemon.paused = False
        if daemon.cut:
            self._order_links(daemon, daemon.cut)
        self.spawn(self._watch_exit(daemon, daemon.process))

    def begin_cut(self, daemons: list[Daemon], fault: str) -> CutPeriod:
        """Cuts daemons off from all backend servers, also later ones."""
        for daemon in daemons:
            daemon.cut = fault
            self._order_links(daemon, fault)
        period = CutPeriod(
            daemons=frozenset(daemon.name for daemon in daemons),
            started_at=time.monotonic(),
        )
        self.cut_periods.append(period)
        return period

    def end_cut(self, period: CutPeriod) -> None:
        """Heals the links of a period."""
        period.ended_at = time.monotonic()
        for daemon in self.daemons:
            if daemon.name in period.daemons:
                daemon.cut = ""
                self._order_links(daemon, "heal")

    def _order_links(self, daemon: Daemon, order: str) -> None:
        process = daemon.process
        if process is not None and process.returncode is None and process.stdin:
            # Backend servers are reached at the addresses of their proxies.
            process.stdin.write(f"{order} {self.address_prefix}.4.\n".encode())

    async def _watch_exit(
        self, daemon: Daemon, process: asyncio.subprocess.Process
    ) -> None:
        status = await process.wait()
        if not (daemon.stopping and daemon.process is process):
            self.unexpected_exits.append(
                f"{daemon.name} exited unexpectedly with status {status}"
            )

    async def stop_daemon(self, daemon: Daemon, signal_number: signal.Signals) -> None:
        """Sends a signal and waits for the exit; kills the daemon after `GRACE_S`."""
        assert daemon.process is not None
        daemon.stopping = True
        started_at = time.monotonic()
        daemon.process.send_signal(signal_number)
        try:
            async with asyncio.timeout(GRACE_S):
                status = await daemon.process.wait()
        except TimeoutError:
            self.unexpected_exits.append(
                f"{daemon.name} did not exit within its grace period"
            )
            daemon.process.kill()
            status = await daemon.process.wait()
        if signal_number is signal.SIGTERM:
            stop = PlannedStop(
                daemon=daemon.name,
                started_at=started_at,
                ended_at=time.monotonic(),
                status=status,
                log=Path(daemon.log.name),
                log_range=(daemon.log_from, daemon.read_log_length()),
            )
            self.stops.append(stop)

    def read_peak_mb(self, daemon: Daemon) -> float:
        """Reads the peak resident memory of a daemon, in megabytes; 0 if it exited."""
        assert daemon.process is not None
        try:
            status = Path(f"/proc/{daemon.process.pid}/status").read_text()
        except FileNotFoundError:
            return 0.0  # `unexpected_exits` reports it
        line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) / 1_024

    async def is_ready(self, daemon: Daemon) -> bool:
        """Tells whether a daemon reports itself as ready."""
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
        version = VERSIONS[self._n_backends % len(VERSIONS)]
        ip = f"{self.address_prefix}.3.{self._n_backends}"
        link_ip = f"{self.address_prefix}.4.{self._n_backends}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.replica",
            replica_id,
            ip,
            str(PORT),
            version,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        link = Proxy(listen=(link_ip, PORT), target=(ip, PORT))
        await link.start()
        backend = Backend(
            id=replica_id, version=version, ip=ip, link=link, process=process
        )
        self.backends.append(backend)
        self.spawn(self._read_runs(backend))
        self.spawn(self._watch_backend(backend))
        for part in self.crashes:
            self._order(backend, f"crash {part}")
        await self.put_backend(backend, "ready")
        return backend

    async def put_backend(self, backend: Backend, state: str) -> None:
        """Writes a backend server's entry to the store, as the server itself would."""
        spec = {
            "Service": "app",
            "Address": f"{backend.link.listen[0]}:{PORT}",
            "Zone": "a",
            "Version": backend.version,
            "Slots": 8,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": backend.born_ms,
        }
        await self.store.put("servers", backend.id, spec)

    async def kill_backend(self, backend: Backend) -> None:
        """Kills a backend server; removes its entry after three heartbeat intervals."""
        backend.killed = True
        backend.process.kill()
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers", backend.id)

    def set_fault(self, backend: Backend, fault: str) -> None:
        """Sets the fault that a backend server injects into its requests."""
        self._order(backend, fault)

    def _order(self, backend: Backend, order: str) -> None:
        if not backend.killed and backend.process.stdin is not None:
            backend.process.stdin.write(order.encode() + b"\n")

    def begin_limit(self, backend: Backend, rate: float) -> LimitPeriod:
        """Lets a backend server name a request rate in its answers."""
        self._order(backend, f"limit {rate}")
        period = LimitPeriod(backend=backend, rate=rate, started_at=time.monotonic())
        self.limit_periods.append(period)
        return period

    def end_limit(self, period: LimitPeriod) -> None:
        """Lets it name none again."""
        period.ended_at = time.monotonic()
        self._order(period.backend, "limit")

    def begin_brittle(self, backend: Backend, n_allowed: int) -> BrittlePeriod:
        """Lets a backend server say that it is brittle, before it is so."""
        self._order(backend, f"brittle {n_allowed}")
        period = BrittlePeriod(backend=backend, started_at=time.monotonic())
        self.brittle_periods.append(period)
        return period

    def let_fall(self, period: BrittlePeriod) -> None:
        """Lets a backend server fall over from now on."""
        self._order(period.backend, "fragile")

    def end_brittle(self, period: BrittlePeriod) -> None:
        """Lets it be sound again."""
        period.ended_at = time.monotonic()
        self._order(period.backend, "brittle")

    def begin_bad_part(self, *, is_request: bool) -> str:
        """Lets callers send a prompt part that crashes servers; returns its name.

        Args:
            is_request: Whether callers send one and the same request instead.
        """
        part = f"bad-{len(self.crashes)}"
        self.crashes[part] = []
        if is_request:
            self.bad_requests.add(part)
        for backend in self.backends:
            self._order(backend, f"crash {part}")
        self.bad_part = part
        return part

    def end_bad_part(self) -> None:
        """Lets callers stop to send the part that crashes servers."""
        self.bad_part_ended_at[self.bad_part] = time.monotonic()
        self.bad_part = ""

    def name_leaving(self, backend: Backend) -> None:
        """Lets a backend server say in its answers only that it leaves."""
        self._order(backend, "leaving")

    async def restore_store(self, stored: StoreCopy) -> None:
        """Brings the store back from an older copy.

        The operator and the servers write again what they wrote, and the entries of
        servers that have ended expire.
        """
        await self.store.restore(stored)
        await self.store.put("config", "main", self._document)
        for backend in self.backends:
            if backend.killed:
                self.spawn(self._expire(backend))
            else:
                await self.put_backend(backend, backend.state)

    async def _expire(self, backend: Backend) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers", backend.id)

    async def _watch_backend(self, backend: Backend) -> None:
        """Replaces a backend server that crashed by itself."""
        await backend.process.wait()
        if backend.killed:
            return
        backend.killed = True
        await backend.link.stop()  # its address refuses connections
        self.crashes[list(self.crashes)[-1]].append(time.monotonic())
        self.record_disturbance(
            "backend_crash", "all", lasts_s=CRASH_LASTS_S, noticed_s=EXIT_NOTICE_S
        )
        await asyncio.sleep(RESTART_S)
        await self.start_backend()
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers", backend.id)

    def list_active_backends(self) -> list[Backend]:
        """Lists the backend servers that run and are not draining."""
        return [
            b
            for b in self.backends
            if not b.killed and b.draining_since == float("inf")
        ]

    async def _read_runs(self, backend: Backend) -> None:
        assert backend.process.stdout is not None
        while line := await backend.process.stdout.readline():
            match line.decode().split():
                case [mark] if mark == FALL_MARK:
                    self._note_fall(backend)
                case [mark, attempt] if mark == STOP_MARK:
                    self.n_stopped[attempt] += 1
                case [attempt, customer, *moved]:
                    self.n_moved[attempt] += bool(moved)
                    self.on_run(attempt, customer, backend)

    def _note_fall(self, backend: Backend) -> None:
        self.record_disturbance("backend_fall", "all", lasts_s=2.0)
        for period in self.brittle_periods:
            if period.backend is backend:
                period.n_falls += 1

    # Operator.

    async def put_configuration(self) -> None:
        """Writes the next configuration, with a route named after its number."""
        self.configuration_number += 1
        document = make_configuration(
            self.configuration_number,
            Tenants=[{"Name": "one", "ApiKeys": list(self.keys)}],
        )
        document["Routes"].append(
            make_route(f"v{self.configuration_number}", "idempotent")
        )
        self._document = document
        await self.store.put("config", "main", document)
        self.configured_at = time.monotonic()

    async def revoke_key(self) -> None:
        """Replaces the older of the two API keys by a new one."""
        old = self.keys.pop(0)
        self.keys.append(f"key-{self.configuration_number + 100}")
        await self.put_configuration()
        self.revoked[old] = time.monotonic()
