"""Fake of the cloud API: VMs, client tokens, reclaim notices and refused starts.

`GET /v1/offers` lists the VMs that can be started, `GET /v1/vms` lists the VMs,
`POST /v1/vms` starts one with a client token, `GET /v1/vms/ID` returns one together
with its notice, and `DELETE /v1/vms/ID` terminates one. `POST /v1/vms/ID/notice`, for
tests only, gives notice. The `boot` callback starts the program that a VM runs.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from .server import FakeServer, Reply, Request, reply_json


class Vm(msgspec.Struct, kw_only=True):
    """One VM as the cloud API shows it.

    Attributes:
        notice_at: Unix time in seconds at which the VM is reclaimed; 0 without notice.
        role: `daemon`, `engine` or `service`.
        name: the model or service that the VM runs.
    """

    id: str
    zone: str
    vm_class: str = "small"
    reclaimable: bool = True
    role: str = ""
    name: str = ""
    deployment: str = ""
    address: str = ""
    client_token: str = ""
    notice_at: float = 0.0
    state: str = "running"


def find_free_address() -> str:
    """Finds a free loopback address for a new VM."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


VmCallback = Callable[[Vm], Awaitable[None]]


class Cloud:
    """The fake cloud API.

    Args:
        endpoint: IP-NUMBER:PORT to listen on.
        boot: called to start the program of a VM.
        stop: called to stop the program of a VM that is terminated.
        notify: called when a VM gets notice.

    Attributes:
        vms: running VMs by id.
        zones_without_capacity: availability zones in which starts are refused.
        n_created: VMs started by requests so far.
        offers: the VMs that can be started, as listed.
        odd_entries: further entries of the list of VMs, as JSON.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        boot: VmCallback,
        stop: VmCallback,
        notify: Callable[[Vm], None],
    ) -> None:
        self.vms: dict[str, Vm] = {}
        self.zones_without_capacity: set[str] = set()
        self.n_created = 0
        self.offers: list[dict[str, Any]] = []
        self.odd_entries: list[msgspec.Raw] = []
        self._boot = boot
        self._stop = stop
        self._notify = notify
        self._terminations: set[asyncio.Task[None]] = set()
        self._serial = 0
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    def add(self, vm: Vm) -> None:
        """Adds a VM that is already running."""
        self.vms[vm.id] = vm

    def give_notice(self, vm: Vm, seconds: float) -> None:
        """Gives notice to a VM and terminates it after `seconds`."""
        vm.notice_at = time.time() + seconds
        vm.state = "leaving"
        self._notify(vm)
        termination = asyncio.create_task(self._terminate_later(vm, seconds))
        self._terminations.add(termination)
        termination.add_done_callback(self._terminations.discard)

    async def _terminate_later(self, vm: Vm, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self.vms.pop(vm.id, None) is not None:
            await self._stop(vm)

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/v1/offers":
            return reply_json({"offers": self.offers})
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "vms"] or len(parts) > 4:
            return reply_json({"error": "no such path"}, 404)
        if len(parts) == 2:
            if request.method == "POST":
                return await self._create(request.decode())
            return reply_json({"vms": [*self.odd_entries, *self.vms.values()]})
        vm = self.vms.get(parts[2])
        if vm is None:
            return reply_json({"error": "no such VM"}, 404)
        if len(parts) == 4:
            self.give_notice(vm, float(request.decode()["seconds"]))
        elif request.method == "DELETE":
            await self._stop(self.vms.pop(vm.id))
        return reply_json(vm)

    async def _create(self, vm_spec: dict[str, Any]) -> Reply:
        token = vm_spec.get("client_token", "")
        for vm in self.vms.values():
            if token and vm.client_token == token:
                return reply_json(vm)
        if vm_spec.get("zone") in self.zones_without_capacity:
            return reply_json({"error": "no capacity"}, 409)
        self._serial += 1
        self.n_created += 1
        vm = msgspec.convert({"id": f"vm-new-{self._serial}", **vm_spec}, Vm)
        if not vm.address:
            vm.address = find_free_address()
        self.vms[vm.id] = vm
        await self._boot(vm)
        return reply_json(vm, 201)
