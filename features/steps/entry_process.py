"""An entry daemon as a process of its own, beside fakes of its platform."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from steps.client_loads import limited_descriptors

from berylpost.fakes.entry_world import EntryWorld, make_configuration
from berylpost.platform.names import READINESS_PATH, SETTINGS_VARIABLE

ROOT = Path(__file__).parent.parent.parent
READY_TIMEOUT_S = 20.0
GRACE_S = 8.0
CONNECT_TIMEOUT_S = 10.0
_DEFAULT = object()


class EntryProcess(EntryWorld):
    """One daemon process and its platform, whose fakes run in this process.

    Args:
        build: folder of the daemon's code.
        n_descriptors: descriptors that the process may open.
        services: service of each backend server.
        configuration: the configuration; None for none.

    Attributes:
        configuration: what is stored at the start.
    """

    def __init__(
        self,
        *,
        build=ROOT,
        n_descriptors=1_024,
        services=("app", "app"),
        configuration=_DEFAULT,
    ):
        super().__init__(n_daemons=1, versions=("v1",) * len(services))
        self._services = services
        self.configuration = configuration
        if configuration is _DEFAULT:
            self.configuration = make_configuration()
        self.settings = self.make_settings(0)
        self._folder = tempfile.TemporaryDirectory(prefix="entry-process-")
        self.log = Path(self._folder.name) / "entry.log"
        self._build = build
        self._n_descriptors = n_descriptors
        self.process = None

    def __enter__(self):
        """Starts everything and waits until the daemon is ready."""
        self.start()
        return self

    def start(self, *, wait_ready=True):
        """Starts everything and waits until the daemon is ready, or accepts callers."""
        super().__enter__()
        path = Path(self._folder.name) / "entry.json"
        settings = self.settings
        document = {
            "Node": settings.name,
            "Ip": settings.ip,
            "Zone": settings.zone,
            "Listen": {
                "Front": str(settings.front),
                "Readiness": str(settings.readiness),
                "Directory": str(settings.directory),
            },
            "PortRange": [settings.peer.port, settings.peer.port + 9],
            "Platform": {"Address": str(settings.store)},
            "Bounds": {"GraceS": GRACE_S},
        }
        path.write_text(json.dumps(document))
        with limited_descriptors(self._n_descriptors), self.log.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "berylpost.edge"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                cwd=self._build,
                stdout=output,
                stderr=output,
            )
        if wait_ready:
            self.await_ready()
        else:
            self.await_listener()

    def __exit__(self, *error):
        """Kills the process and stops the fakes."""
        self.process.kill()
        self.process.wait()
        super().__exit__(*error)
        self._folder.cleanup()

    def await_ready(self):
        """Waits until the daemon reports that it is ready."""
        url = f"http://{self.settings.readiness}{READINESS_PATH}"
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at:
            assert self.process.poll() is None, self.log.read_text()
            with contextlib.suppress(OSError):
                with urllib.request.urlopen(url, timeout=1.0) as answer:
                    if answer.status == 200:
                        return
            time.sleep(0.05)
        raise AssertionError(self.log.read_text())

    def await_listener(self):
        """Waits until the daemon accepts callers."""
        ends_at = time.monotonic() + CONNECT_TIMEOUT_S
        while time.monotonic() < ends_at:
            with contextlib.suppress(ConnectionRefusedError):
                self.open_socket().close()
                return
            time.sleep(0.005)
        raise AssertionError(self.log.read_text())

    def open_socket(self, *, receive_bytes=0):
        """Opens a caller's connection, with a receive buffer of a given size if any."""
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(GRACE_S + 4.0)
        sock.connect(tuple(self.settings.front))
        return sock

    def stop(self):
        """Sends SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    @contextlib.contextmanager
    def paused(self):
        """Takes the processor away from the daemon for a time."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    async def _start(self):
        await self.store.server.start()
        await self.duty_api.server.start()
        for replica, service in zip(self.replicas, self._services, strict=True):
            await replica.start()
            await self.put_replica(replica, Service=service)
        if self.configuration is not None:
            await self.put_configuration(self.configuration)
