"""Runs daemons as processes on loopback, against a world of fakes.

Every process that is started here is also ended here, by its process id.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.context import SpawnProcess
from pathlib import Path
from typing import Any, Final

import msgspec
import urllib3
import yaml

from ..client import Client, Problem
from ..configuration import hash_token
from ..configurations import create_configuration
from ..fakes.cloud import Vm
from ..fakes.engine import EngineShape
from ..fakes.world import BackendSpec, WorldSpec, WorldThread, serve_world
from ..platform.objects import HttpObjects
from ..writer import ConditionalWriter

START_TIMEOUT_S: Final = 20.0
OPERATOR_TOKEN: Final = "operator-token"
POLL_S: Final = 0.05
# Each process has an address of its own, so that no other one, nor a connection from
# 127.0.0.1, takes a port between its choice and its use.
HOST: Final = f"127.{64 + os.getpid() // 256 % 128}.{os.getpid() % 256}.1"


def find_free_ports(n_ports: int) -> list[int]:
    """Finds free loopback ports; all are bound at once, so that none is repeated."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(n_ports):
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            ports.append(int(sock.getsockname()[1]))
        return ports


def wait_until(
    condition: Callable[[], bool], *, timeout_s: float, description: str
) -> float:
    """Waits for a condition.

    Returns:
        Seconds waited.

    Raises:
        TimeoutError: the condition was not met in time; the text has `description`.
    """
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError(f"condition not met within {timeout_s} s: {description}")
        time.sleep(POLL_S)
    return time.monotonic() - started_at


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSpec:
    """The daemons and fakes to start.

    Attributes:
        zones: availability zones, assigned to daemons and backend servers in turn.
        customers: entries of the configuration; each customer's token is `NAME-token`.
        separate_world: whether the fakes run in a process of their own, for timings;
            they are then reached only over HTTP.
        cuttable: whether `Fleet.cut` may cut daemons off from backend servers.
        other_deployments: first configurations of the further deployments that the
            daemons serve, by name.
        tls: whether callers use HTTPS, with certificates made for this run.
        overrides: settings merged over the defaults of each daemon, by section.
    """

    deployment: str = "darling-downs"
    region: str = "qld-south"
    zones: tuple[str, ...] = ("toowoomba", "dalby", "gatton", "warwick")
    n_daemons: int = 3
    n_engines: int = 2
    n_services: int = 2
    model: str = "summary-7b"
    service: str = "intake"
    customers: tuple[Mapping[str, Any], ...] = (
        {"name": "weighbridge"},
        {"name": "licence-desk"},
    )
    engine_shape: EngineShape = field(default_factory=EngineShape)
    overrides: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    separate_world: bool = False
    cuttable: bool = False
    tls: bool = False
    other_deployments: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)


def make_document(spec: FleetSpec) -> dict[str, Any]:
    """Makes the deployment's first configuration."""
    return {
        "models": [{"name": spec.model, "version": "1", "replicas": spec.n_engines}],
        "services": [
            {
                "name": spec.service,
                "calls": [{"method": "POST", "path": "/bookings", "idempotent": False}],
            }
        ],
        "zones": list(spec.zones),
        "vm_classes": [
            {"name": "small", "reclaimable": True},
            {"name": "steady", "reclaimable": False},
        ],
        "customers": [
            {"tokens": [hash_token(f"{c['name']}-token")], **c} for c in spec.customers
        ],
        "operators": [{"name": "shift", "tokens": [hash_token(OPERATOR_TOKEN)]}],
    }


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One daemon process."""

    id: str
    vm: str
    zone: str
    http: str
    peers: str
    tunnels: str
    settings_path: Path
    log_path: Path
    process: "subprocess.Popen[bytes] | None" = None

    def is_running(self) -> bool:
        """Tells whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def read_resident_bytes(self) -> int:
        """Reads the resident memory of the process."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    def read_cpu_s(self) -> float:
        """Reads the CPU time that the process has used, in seconds."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Fleet:
    """Fakes, in this process by default, and daemons in processes of their own.

    Args:
        spec: the daemons and fakes to start.
    """

    def __init__(self, *, spec: FleetSpec) -> None:
        self.spec = spec
        self._directory = tempfile.TemporaryDirectory(prefix="berylpost-")
        n_backends = spec.n_engines + spec.n_services
        ports = iter(find_free_ports(3 + n_backends + 3 * spec.n_daemons))

        def next_address() -> str:
            return f"{HOST}:{next(ports)}"

        zones = spec.zones
        backends = [
            BackendSpec(
                vm=f"vm-engine-{i + 1}",
                zone=zones[i % len(zones)],
                role="engine",
                name=spec.model,
                address=next_address(),
            )
            for i in range(spec.n_engines)
        ]
        backends += [
            BackendSpec(
                vm=f"vm-service-{i + 1}",
                zone=zones[i % len(zones)],
                role="service",
                name=spec.service,
                address=next_address(),
            )
            for i in range(spec.n_services)
        ]
        self.world_spec = WorldSpec(
            objects=next_address(),
            cloud=next_address(),
            weights=next_address(),
            deployment=spec.deployment,
            backends=tuple(backends),
            zones=spec.zones,
            shape=spec.engine_shape,
        )
        self.daemons = [
            Daemon(
                id=f"dd-{i + 1}",
                vm=f"vm-daemon-{i + 1}",
                zone=zones[i % len(zones)],
                http=next_address(),
                peers=next_address(),
                tunnels=next_address(),
                settings_path=Path(self._directory.name) / f"dd-{i + 1}.yaml",
                log_path=Path(self._directory.name) / f"dd-{i + 1}.log",
            )
            for i in range(spec.n_daemons)
        ]
        self.world: WorldThread
        self._world_process: SpawnProcess | None = None
        self.objects = HttpObjects(
            url=f"http://{self.world_spec.objects}", timeout_s=2.0
        )
        self.ca_file = ""
        self._tls: dict[str, str] = {}
        if spec.tls:
            self._tls = self._make_certificates()
        self._scheme = "https" if spec.tls else "http"
        self._http = urllib3.PoolManager(
            retries=False, timeout=2.0, ca_certs=self.ca_file or None
        )

    def _make_certificates(self) -> dict[str, str]:
        """Makes a certificate authority and a certificate for the loopback address."""
        import trustme

        directory = Path(self._directory.name)
        authority = trustme.CA()
        issued = authority.issue_cert(HOST)
        self.ca_file = str(directory / "ca.pem")
        authority.cert_pem.write_to_path(self.ca_file)
        certificate, key = directory / "cert.pem", directory / "key.pem"
        issued.private_key_pem.write_to_path(str(key))
        for blob in issued.cert_chain_pems:
            blob.write_to_path(str(certificate), append=True)
        return {"tls_certificate": str(certificate), "tls_key": str(key)}

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Starts the fakes, writes the first configurations and starts the daemons."""
        if self.spec.separate_world:
            self._world_process = get_context("spawn").Process(
                target=serve_world, args=(self.world_spec,), daemon=True
            )
            self._world_process.start()
            wait_until(
                self._is_world_up, timeout_s=START_TIMEOUT_S, description="fakes are up"
            )
        else:
            self.world = WorldThread(spec=self.world_spec)
        writer = ConditionalWriter(objects=self.objects, writer="fleet")
        document = make_document(self.spec)
        documents = {self.spec.deployment: document, **self.spec.other_deployments}
        for name, configuration in documents.items():
            create_configuration(self.objects, writer, name, dict(configuration))
        for daemon in self.daemons:
            self.start_daemon(daemon, wait=False)
        for daemon in self.daemons:
            self.wait_ready(daemon)
        self.wait_settled()

    def _is_world_up(self) -> bool:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            for address in (self.world_spec.objects, self.world_spec.cloud):
                self._http.request("GET", f"http://{address}/calls")
            return True
        return False

    def read_store_calls(self) -> dict[str, int]:
        """Reads the number of calls to the fake object API, by kind."""
        url = f"http://{self.world_spec.objects}/calls"
        return dict(self._http.request("GET", url).json())

    def count_repeated_bookings(self) -> int:
        """Counts the bookings that were executed more than once."""
        service = next(b for b in self.world_spec.backends if b.role == "service")
        url = f"http://{service.address}/bookings"
        executed = self._http.request("GET", url).json()
        return sum(n > 1 for n in executed.values())

    def start_daemon(self, daemon: Daemon, *, wait: bool = True) -> None:
        """Starts one daemon's process and adds its VM to the fake cloud."""
        daemon.settings_path.write_text(yaml.safe_dump(self._make_settings(daemon)))
        vm = Vm(
            id=daemon.vm,
            zone=daemon.zone,
            role="daemon",
            name="berylpost",
            deployment=self.spec.deployment,
            address=daemon.http,
        )
        if self._world_process is None:
            self.world.world.cloud.add(vm)
        with daemon.log_path.open("ab") as log:
            daemon.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *self._list_module(daemon),
                    "serve",
                    "-c",
                    daemon.settings_path,
                ],
                stderr=log,
                stdout=log,
            )
        if wait:
            self.wait_ready(daemon)

    def _list_module(self, daemon: Daemon) -> list[str]:
        if self.spec.cuttable:
            return ["berylpost.fakes.cut_daemon", str(self._find_cut_path(daemon))]
        return ["berylpost"]

    def _find_cut_path(self, daemon: Daemon) -> Path:
        return daemon.settings_path.with_suffix(".cut")

    def cut(self, daemon: Daemon) -> None:
        """Lets a daemon connect to no backend server."""
        addresses = [backend.address for backend in self.world_spec.backends]
        self._find_cut_path(daemon).write_text("\n".join(addresses))

    def heal(self, daemon: Daemon) -> None:
        """Lets a daemon connect to all backend servers again."""
        self._find_cut_path(daemon).unlink()

    def _make_settings(self, daemon: Daemon) -> dict[str, Any]:
        world = self.world_spec
        document: dict[str, Any] = {
            "daemon": {
                "id": daemon.id,
                "region": self.spec.region,
                "zone": daemon.zone,
                "vm": daemon.vm,
                "deployments": [self.spec.deployment, *self.spec.other_deployments],
            },
            "listen": {
                "http": daemon.http,
                "peers": daemon.peers,
                "tunnels": daemon.tunnels,
                **self._tls,
            },
            "platform": {
                "objects": f"http://{world.objects}",
                "cloud": f"http://{world.cloud}",
                "weights": f"http://{world.weights}",
            },
            "peers": {"seeds": [d.peers for d in self.daemons[:3]]},
            "fatal_invariants": True,
        }
        for section, values in self.spec.overrides.items():
            document[section] = {**document.get(section, {}), **values}
        return document

    def wait_ready(self, daemon: Daemon) -> None:
        """Waits until a daemon is ready.

        Raises:
            TimeoutError: the daemon was not ready in time, or exited; then the text has
                the end of its log.
        """

        def is_ready() -> bool:
            if not daemon.is_running():
                raise TimeoutError(
                    f"{daemon.id} exited before it was ready:\n{self.read_log(daemon)}"
                )
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                url = f"{self._scheme}://{daemon.http}/readyz"
                return self._http.request("GET", url).status == 200
            return False

        wait_until(
            is_ready, timeout_s=START_TIMEOUT_S, description=f"{daemon.id} is ready"
        )

    def wait_settled(self) -> None:
        """Waits until every running daemon knows all others and all backend servers."""
        running = [d for d in self.daemons if d.is_running()]
        n_backends = len(self.world_spec.backends)

        def is_settled() -> bool:
            for daemon in running:
                status = self.read_status(daemon)
                alive = [m for m in status["members"] if m["state"] == "alive"]
                servers = [b for b in status["backends"] if b["role"] != "daemon"]
                if len(alive) < len(running) or len(servers) < n_backends:
                    return False
            return True

        wait_until(
            is_settled,
            timeout_s=START_TIMEOUT_S,
            description="daemons know all members and backend servers",
        )

    def read_status(self, daemon: Daemon) -> dict[str, Any]:
        """Reads a daemon's status; its lists are empty when the call fails."""
        try:
            status = self.make_operator_client(daemon).call(
                "GET", "/v1/status", address=daemon.http
            )
        except Problem:
            return {"members": [], "backends": [], "configurations": {}}
        return dict(status)

    def read_metric(self, daemon: Daemon, name: str) -> float:
        """Reads a metric, summed over its labels."""
        url = f"{self._scheme}://{daemon.http}/metrics"
        text = self._http.request("GET", url).data.decode()
        return sum(
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith((name + " ", name + "{"))
        )

    def read_log(self, daemon: Daemon, n_lines: int = 40) -> str:
        """Reads the end of a daemon's log."""
        if not daemon.log_path.exists():
            return ""
        return "\n".join(daemon.log_path.read_text().splitlines()[-n_lines:])

    def make_client(self, customer: str = "weighbridge") -> Client:
        """Makes a client with a customer's token."""
        addresses = [d.http for d in self.daemons]
        token = f"{customer}-token"
        return Client(addresses=addresses, token=token, ca_file=self.ca_file)

    def make_operator_client(self, daemon: Daemon | None = None) -> Client:
        """Makes a client with the operator's token, for one daemon or for all."""
        daemons = [daemon] if daemon else self.daemons
        addresses = [d.http for d in daemons]
        return Client(addresses=addresses, token=OPERATOR_TOKEN, ca_file=self.ca_file)

    def kill(self, daemon: Daemon) -> None:
        """Kills a daemon's process and waits for its end."""
        assert daemon.process is not None
        daemon.process.kill()
        daemon.process.wait()

    def pause(self, daemon: Daemon) -> None:
        """Pauses a daemon's process with SIGSTOP."""
        assert daemon.process is not None
        os.kill(daemon.process.pid, signal.SIGSTOP)

    def resume(self, daemon: Daemon) -> None:
        """Continues a paused daemon's process."""
        assert daemon.process is not None
        os.kill(daemon.process.pid, signal.SIGCONT)

    def set_fault(self, address: str, **fault: Any) -> None:
        """Sets the faults of a fake, or clears them when none is given."""
        body = msgspec.json.encode(fault)
        self._http.request("POST", f"http://{address}/fault", body=body)

    def reclaim(self, vm: str, seconds: float) -> None:
        """Gives a VM notice that it will be reclaimed in a number of seconds."""
        self.world.call(self.world.world.reclaim(vm, seconds))

    def stop(self) -> None:
        """Ends every process and fake that was started here."""
        for daemon in self.daemons:
            if daemon.is_running():
                self.resume(daemon)
                self.kill(daemon)
        if hasattr(self, "world"):
            self.world.stop()
        if self._world_process is not None:
            self._world_process.kill()
            self._world_process.join()
        self._directory.cleanup()
