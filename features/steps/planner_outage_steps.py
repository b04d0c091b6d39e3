"""Steps of planner_outage.feature: the planner in virtual time, without a network."""

from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from behave.runner import Context

from berylpost import planner
from berylpost.configuration import Deployment, Model
from berylpost.fakes.memory import CallFault, MemoryObjects
from berylpost.lease import Lease
from berylpost.platform.cloud import Vm
from berylpost.writer import ConditionalWriter

NAME = "plain"
ROUND_S = 1.0
ZONES = ("a", "b", "c")


class FakeCloud:
    """VMs by id, with those that the list leaves out.

    Attributes:
        unlisted: ids that the list leaves out.
        lists_new: whether the list has the VMs that were started.
        n_started: VMs started so far, by distinct client token.
    """

    def __init__(self) -> None:
        self.vms: dict[str, Vm] = {}
        self.unlisted: set[str] = set()
        self.lists_new = True
        self.n_started = 0

    def list_vms(self) -> tuple[Vm, ...]:
        return tuple(
            vm
            for vm in self.vms.values()
            if vm.id not in self.unlisted and (self.lists_new or not vm.client_token)
        )

    def list_offers(self) -> list[dict[str, Any]]:
        return [
            {"zone": zone, "vm_class": "small", "reclaimable": True, "price": 1.0}
            for zone in ZONES
        ]

    def start_vm(self, *, client_token: str, wanted: dict[str, Any]) -> Vm:
        for vm in self.vms.values():
            if vm.client_token == client_token:
                return vm
        self.n_started += 1
        vm = Vm(
            id=f"vm-new-{self.n_started}",
            address=f"10.0.1.{self.n_started}:80",
            client_token=client_token,
            **wanted,
        )
        self.vms[vm.id] = vm
        return vm

    def terminate_vm(self, vm_id: str) -> None:
        self.vms.pop(vm_id, None)


class Rig:
    """A planner with its fakes and a clock that only the steps advance.

    Attributes:
        released: VMs that the planner has told the daemons to be leaving.
        n_missed: readings that each engine misses next.
    """

    def __init__(self, n_engines: int) -> None:
        self.now = 1_000.0
        self.is_down = False
        self.cloud = FakeCloud()
        self.objects = MemoryObjects(
            choose_fault=lambda _kind: (
                CallFault.REFUSED if self.is_down else CallFault.NONE
            )
        )
        self.released: set[str] = set()
        self.n_missed: dict[str, int] = {}
        for number in range(1, n_engines + 1):
            self.cloud.vms[f"vm-{number}"] = Vm(
                id=f"vm-{number}",
                zone=ZONES[number % len(ZONES)],
                vm_class="small",
                role="engine",
                name="m",
                deployment=NAME,
                address=f"10.0.0.{number}:80",
            )
        self.model = Model(name="m", version="1", replicas=n_engines)
        member = SimpleNamespace(id="dd-1", state="alive")
        members = SimpleNamespace(entries={"dd-1": SimpleNamespace(member=member)})
        daemon = SimpleNamespace(id="dd-1", deployments=(NAME,))
        context = SimpleNamespace(
            process_id="dd-1.x",
            settings=SimpleNamespace(daemon=daemon),
            slots={
                "members": SimpleNamespace(read=lambda: members),
                "configurations": SimpleNamespace(read=self._read_configurations),
            },
            post=self._record_post,
        )
        self.task = planner.PlannerTask(
            context=context,  # type: ignore[arg-type]
            objects=self.objects,
            cloud=self.cloud,  # type: ignore[arg-type]
        )
        clock = {"clock": lambda: self.now, "pause": self._pause}
        self.task._writer = ConditionalWriter(
            objects=self.objects, writer="dd-1.x.planner", patience_s=2.0, **clock
        )
        self.names: list[str] = []
        self.add_deployment(NAME)
        self.task._read_load = self._read_load  # type: ignore[method-assign]

    def add_deployment(self, name: str) -> None:
        """Gives the planner a deployment, with a lease in virtual time."""
        self.names.append(name)
        lease = Lease(
            objects=self.objects,
            key=f"leases/planner/{name}",
            holder="dd-1.x",
            duration_s=planner.LEASE_S,
            clock=lambda: self.now,
            pause=self._pause,
        )
        self.task._plans[name] = planner._Plan(lease=lease)

    def _read_configurations(self) -> dict[str, Any]:
        deployment = Deployment(models=(self.model,))
        return {name: SimpleNamespace(deployment=deployment) for name in self.names}

    def _record_post(self, _task: str, message: Any) -> None:
        self.released |= {b.id for b in message.backends if b.state == "leaving"}

    def _pause(self, seconds: float) -> None:
        self.now += seconds

    def _read_load(self, vm: Vm) -> Any:
        if self.n_missed.get(vm.id, 0) > 0:
            self.n_missed[vm.id] -= 1
            self.now += planner.ENGINE_TIMEOUT_S
            return planner._EngineLoad()
        at_address = [v.id for v in self.cloud.vms.values() if v.address == vm.address]
        if not at_address or vm.client_token:
            return planner._EngineLoad()  # gone, or not booted yet
        return planner._EngineLoad(model="m", version="1")

    def run(self, seconds: float) -> None:
        """Runs planning rounds for some virtual seconds."""
        clock = SimpleNamespace(monotonic=lambda: self.now, time=lambda: 1e9 + self.now)
        ends_at = self.now + seconds
        with mock.patch.object(planner, "time", clock):
            while self.now < ends_at:
                self.task._advance()
                self.now += ROUND_S


@given("a planner whose {n:d} engines have answered for {seconds:d} s")
def step_planner(context: Context, n: int, seconds: int) -> None:
    context.rig = Rig(n)
    context.rig.run(seconds)


@when("the planner runs for {seconds:d} s")
def step_pass(context: Context, seconds: int) -> None:
    context.rig.run(seconds)


@when("the object API is down for {seconds:d} s")
def step_outage(context: Context, seconds: int) -> None:
    context.rig.is_down = True
    context.rig.run(seconds)
    context.rig.is_down = False


@when(
    "the object API is down for {seconds:d} s and engine {vm} misses readings after"
    " {after_s:d} s"
)
def step_outage_misses(context: Context, seconds: int, vm: str, after_s: int) -> None:
    context.rig.is_down = True
    context.rig.run(after_s)
    context.rig.n_missed[vm] = 99
    step_outage(context, seconds - after_s)


@when("the object API is down for {seconds:d} s and its entries expire")
def step_outage_expiry(context: Context, seconds: int) -> None:
    step_outage(context, seconds)
    values = context.rig.objects.values
    for key in [key for key in values if key.startswith("fleet/")]:
        del values[key]


@when("engine {vm} misses its next {n:d} readings")
def step_miss(context: Context, vm: str, n: int) -> None:
    context.rig.n_missed[vm] = n


@when("the list leaves out {vm}")
def step_leave_out(context: Context, vm: str) -> None:
    context.rig.cloud.unlisted.add(vm)


@when("the list has all VMs again")
def step_list_all(context: Context) -> None:
    context.rig.cloud.unlisted.clear()


@when("{vm} ends and the list leaves it out")
def step_end(context: Context, vm: str) -> None:
    del context.rig.cloud.vms[vm]


@when("vm-1 ends and an engine of another deployment gets its address")
def step_reuse_address(context: Context) -> None:
    """Guards against an ended VM that seems to answer since another one does."""
    ended = context.rig.cloud.vms.pop("vm-1")
    context.rig.cloud.vms["vm-other"] = msgspec.structs.replace(
        ended, id="vm-other", deployment="other"
    )


@when("another deployment's rounds take {seconds:d} s, since its engines are silent")
def step_slow_deployment(context: Context, seconds: int) -> None:
    rig = context.rig
    rig.add_deployment("other")
    reconcile = rig.task._reconcile

    def reconcile_slowly(name: str, plan: Any, in_force: Any) -> None:
        if name == "other":
            rig.now += seconds
        else:
            reconcile(name, plan, in_force)

    rig.task._reconcile = reconcile_slowly


@when("the cloud lists no started VM and {n:d} replicas are declared")
def step_declare(context: Context, n: int) -> None:
    context.rig.cloud.lists_new = False
    context.rig.model = Model(name="m", version="1", replicas=n)


@then("no engine was started or released")
def step_check_none(context: Context) -> None:
    check_counts(context, 0, 0)


@then("{n_started:d} engine was started and none released")
def step_check_started(context: Context, n_started: int) -> None:
    check_counts(context, n_started, 0)


@then("{n_started:d} engine was started and {n_released:d} released")
def step_check_replaced(context: Context, n_started: int, n_released: int) -> None:
    check_counts(context, n_started, n_released)


def check_counts(context: Context, n_started: int, n_released: int) -> None:
    """Compares what the planner did with what was expected."""
    rig = context.rig
    reasons = rig.task._plans[NAME].record.reasons
    assert rig.cloud.n_started == n_started, (rig.cloud.n_started, reasons)
    assert len(rig.released) == n_released, (rig.released, reasons)
