"""Stand-in for the cloud API: VMs, client tokens, reclaim notices, refusals.

`GET /v1/offers` lists what may be asked for, `GET /v1/vms` the VMs, `POST /v1/vms`
starts one under a client token, `DELETE /v1/vms/ID` ends one, `GET /v1/vms/ID` tells
its notice, `POST /v1/vms/ID/notice` (the test's lever) gives notice. A started VM
runs what `boot` starts.
"""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from .server import Reply, Request, StandIn, reply_json


class Vm(msgspec.Struct, kw_only=True):
    """One VM as the cloud API shows it.

    Attributes:
        notice_at: when it will be taken, wall clock in seconds; 0 without notice.
        role: `daemon`, `engine` or `service`.
        name: the model or service it runs.
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


def find_address() -> str:
    """Finds a free loopback address for a VM that is started."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


Boot = Callable[[Vm], Awaitable[None]]


class Cloud:
    """The VMs and what they cost to ask for."""

    def __init__(
        self, *, endpoint: str, boot: Boot, shut: Boot, warn: Callable[[Vm], None]
    ) -> None:
        self.vms: dict[str, Vm] = {}
        self.zones_without_capacity: set[str] = set()
        self.n_created = 0
        self.offers: list[dict[str, Any]] = []
        self._boot = boot
        self._shut = shut
        self._warn = warn
        self._endings: set[asyncio.Task[None]] = set()
        self._serial = 0
        self.server = StandIn(endpoint=endpoint, handle=self._handle)

    def add(self, vm: Vm) -> None:
        """Adds a VM that already runs."""
        self.vms[vm.id] = vm

    def give_notice(self, vm: Vm, seconds: float) -> None:
        """Gives notice to a VM and ends it when the time is over."""
        vm.notice_at = time.time() + seconds
        vm.state = "leaving"
        self._warn(vm)
        ending = asyncio.create_task(self._end_later(vm, seconds))
        self._endings.add(ending)
        ending.add_done_callback(self._endings.discard)

    async def _end_later(self, vm: Vm, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self.vms.pop(vm.id, None) is not None:
            await self._shut(vm)

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/v1/offers":
            return reply_json({"offers": self.offers})
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "vms"] or len(parts) > 4:
            return reply_json({"error": "no such path"}, 404)
        if len(parts) == 2:
            if request.method == "POST":
                return await self._create(request.decode())
            return reply_json({"vms": list(self.vms.values())})
        vm = self.vms.get(parts[2])
        if vm is None:
            return reply_json({"error": "no such VM"}, 404)
        if len(parts) == 4:
            self.give_notice(vm, float(request.decode()["seconds"]))
        elif request.method == "DELETE":
            await self._shut(self.vms.pop(vm.id))
        return reply_json(vm)

    async def _create(self, wanted: dict[str, Any]) -> Reply:
        token = wanted.get("client_token", "")
        for vm in self.vms.values():
            if token and vm.client_token == token:
                return reply_json(vm)
        if wanted.get("zone") in self.zones_without_capacity:
            return reply_json({"error": "no capacity"}, 409)
        self._serial += 1
        self.n_created += 1
        vm = msgspec.convert({"id": f"vm-new-{self._serial}", **wanted}, Vm)
        if not vm.address:
            vm.address = find_address()
        self.vms[vm.id] = vm
        await self._boot(vm)
        return reply_json(vm, 201)
