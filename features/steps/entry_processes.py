"""Several entry daemons as processes, which a test can cut off from the servers."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from steps.entry_process import GRACE_S, READY_TIMEOUT_S, ROOT

from berylpost.fakes.entry_world import EntryWorld
from berylpost.platform.names import SETTINGS_VARIABLE


class EntryProcesses(EntryWorld):
    """Daemon processes and their platform, whose fakes run in this process.

    Args:
        zones: availability zone of each daemon.
        configuration: configuration in force.
        build: folder of the daemons' code.

    Attributes:
        processes: the last process of each daemon.
        logs: log file of each daemon.
    """

    def __init__(self, *, zones, configuration, build=ROOT):
        super().__init__(n_daemons=0)
        self.zones = zones
        self.processes = {}
        self.logs = {}
        self._configuration = configuration
        self._build = build
        self._cut = set()
        self._folder = tempfile.TemporaryDirectory(prefix="entry-processes-")

    def __enter__(self):
        """Starts everything and waits until all daemons know one another."""
        super().__enter__()
        for number in range(len(self.zones)):
            self.start_process(number)
        for number in range(len(self.zones)):
            self.await_ready(number)
        return self

    def __exit__(self, *error):
        """Kills the processes and stops the fakes."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        super().__exit__(*error)
        self._folder.cleanup()

    def start_process(self, number):
        """Starts a daemon that does not run; one that was cut off stays so."""
        settings = self.make_settings(number)
        base = Path(self._folder.name) / settings.name
        self.logs[number] = base.with_suffix(".log")
        document = {
            "Node": settings.name,
            "Ip": settings.ip,
            "Zone": self.zones[number],
            "Listen": {
                "Front": str(settings.front),
                "Readiness": str(settings.readiness),
                "Directory": str(settings.directory),
            },
            "PortRange": [settings.peer.port, settings.peer.port + 9],
            "Platform": {"Address": str(settings.store)},
            "Bounds": {"GraceS": GRACE_S},
        }
        base.with_suffix(".json").write_text(json.dumps(document))
        with self.logs[number].open("ab") as output:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "soak.daemon"],
                env={**os.environ, SETTINGS_VARIABLE: str(base.with_suffix(".json"))},
                cwd=self._build,
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
            )
        if number in self._cut:
            self.cut(number)

    def await_ready(self, number):
        """Waits until a daemon names all daemons in its directory."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while self.run(self._count_listed(number)) != len(self.zones):
            assert time.monotonic() < ends_at, self.logs[number].read_text()
            time.sleep(0.05)

    def cut(self, number):
        """Leaves connects of a daemon to all servers without an answer."""
        self._cut.add(number)
        orders = "".join(f"hang {replica.ip}\n" for replica in self.replicas)
        self.processes[number].stdin.write(orders.encode())
        self.processes[number].stdin.flush()

    def send_signal(self, number, name):
        """Sends a signal with a name such as TERM."""
        self.processes[number].send_signal(getattr(signal, f"SIG{name}"))

    async def _count_listed(self, number):
        directory = self.make_settings(number).directory
        try:
            reader, writer = await asyncio.open_connection(*directory)
            writer.write(
                b"GET /v1/resolve?Name=site.example HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            writer.close()
        except (OSError, EOFError):
            return 0
        return len(json.loads(body)["Addresses"])

    async def _start(self):
        await self.store.server.start()
        await self.duty_api.server.start()
        for replica in self.replicas:
            await replica.start()
            await self.put_replica(replica)
        await self.put_configuration(self._configuration)
