"""All fakes of one deployment in one process and event loop.

Tests and the demo control the fakes through `World`. `WorldThread` runs it in a thread,
and `serve_world`, for `berylpost fakes`, in a process of its own. A `World` runs only
fakes, no daemons.
"""

import asyncio
import threading
from collections import Counter
from collections.abc import Coroutine
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from ..errors import SettingsError
from .cloud import Cloud, Vm
from .engine import Engine, EngineShape
from .objects import ObjectStore
from .service import BookingService
from .weights import WeightStore

T = TypeVar("T")


class BackendSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One fake backend server, with its VM."""

    vm: str
    zone: str
    role: str
    name: str
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorldSpec:
    """Addresses of the fakes and the VMs that run at the start.

    Attributes:
        objects: address of the object store.
        cloud: address of the cloud API.
        weights: address of the weight store.
        deployment: deployment of the VMs.
        backends: backend servers that run at the start.
        zones: availability zones in which VMs are offered; empty for those of
            `backends`.
        shape: speed and limits of the engines.
    """

    objects: str
    cloud: str
    weights: str
    deployment: str
    backends: tuple[BackendSpec, ...]
    zones: tuple[str, ...] = ()
    shape: EngineShape = field(default_factory=EngineShape)


class World:
    """The running fakes of one deployment.

    Its coroutines have to run on one event loop.

    Attributes:
        executed: executions of bookings by reference.
        engines: engines by VM id.
        services: booking services by VM id.
    """

    def __init__(self, *, spec: WorldSpec) -> None:
        self.spec = spec
        self.executed: Counter[str] = Counter()
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, BookingService] = {}
        self.objects = ObjectStore(endpoint=spec.objects)
        self.cloud = Cloud(
            endpoint=spec.cloud,
            boot=self._boot_vm,
            stop=self._stop_vm,
            notify=self._notify_vm,
        )
        self.weights = WeightStore(endpoint=spec.weights)

    async def start(self) -> None:
        """Starts every fake."""
        zones = self.spec.zones or {backend.zone for backend in self.spec.backends}
        self.cloud.offers = [
            {
                "zone": zone,
                "vm_class": vm_class,
                "reclaimable": vm_class == "small",
                "price": price + zone_number / 100,
            }
            for zone_number, zone in enumerate(sorted(zones))
            for vm_class, price in (("small", 0.3), ("steady", 1.0))
        ]
        for server in (self.objects.server, self.cloud.server, self.weights.server):
            await server.start()
        for backend in self.spec.backends:
            vm = Vm(
                id=backend.vm,
                zone=backend.zone,
                role=backend.role,
                name=backend.name,
                deployment=self.spec.deployment,
                address=backend.address,
            )
            self.cloud.add(vm)
            await self._boot_vm(vm)

    async def _boot_vm(self, vm: Vm) -> None:
        if vm.role == "engine":
            engine = Engine(endpoint=vm.address, model=vm.name, shape=self.spec.shape)
            self.engines[vm.id] = engine
            await engine.server.start()
        elif vm.role == "service":
            service = BookingService(endpoint=vm.address, executed=self.executed)
            self.services[vm.id] = service
            await service.server.start()

    async def _stop_vm(self, vm: Vm) -> None:
        if vm.id in self.engines:
            await self.engines[vm.id].server.stop()
        elif vm.id in self.services:
            await self.services[vm.id].server.stop()

    def _notify_vm(self, vm: Vm) -> None:
        if vm.id in self.engines:
            self.engines[vm.id].give_notice()

    async def reclaim(self, vm_id: str, seconds: float) -> None:
        """Gives notice to a VM, which is terminated after `seconds`."""
        self.cloud.give_notice(self.cloud.vms[vm_id], seconds)

    async def stop(self) -> None:
        """Stops every fake."""
        servers = [engine.server for engine in self.engines.values()]
        servers += [service.server for service in self.services.values()]
        servers += [self.objects.server, self.cloud.server, self.weights.server]
        for server in servers:
            await server.stop()


class WorldThread:
    """A world whose event loop runs in a thread of this process."""

    def __init__(self, *, spec: WorldSpec) -> None:
        self.world: World
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="world", daemon=True
        )
        self._thread.start()

        async def make_world() -> World:
            return World(spec=spec)

        self.world = self.call(make_world())
        self.call(self.world.start())

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Runs a coroutine on the event loop of the world without waiting for it."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the event loop of the world and waits for its result."""
        return self.submit(coroutine).result(timeout=30)

    def stop(self) -> None:
        """Stops the world and its event loop."""
        self.call(self.world.stop())
        self.call(_cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


async def _cancel_tasks() -> None:
    """Cancels watches and generators that are still waiting."""
    current = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not current]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def load_world_spec(document: object) -> WorldSpec:
    """Validates the description of a world, as `berylpost fakes` reads it.

    Raises:
        SettingsError: the description is not valid; the message names the path.
    """
    try:
        return msgspec.convert(document, WorldSpec)
    except msgspec.ValidationError as error:
        raise SettingsError(f"world: {error}") from error


def serve_world(spec: WorldSpec) -> None:
    """Runs a world until interrupted."""
    thread = WorldThread(spec=spec)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass
    finally:
        thread.stop()
