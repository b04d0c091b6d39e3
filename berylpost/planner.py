"""The planner task, which reconciles the running engines with the configuration.

A lease makes one daemon of the region the planner of a deployment. It writes each
action to the deployment's fleet record before it carries the action out: the client
tokens of requested VMs and the orders in progress. The next planner reads the record
and repeats the requests with the same tokens, so that no VM is paid for twice or
forgotten. Orders carry the lease's epoch. Since an engine may ignore it, the planner
reads back every period what each engine runs and corrects it.
"""

import logging
import random
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec
import urllib3

from .configurations import ConfigurationInForce
from .engine_sightings import EngineSightings
from .errors import PlatformError
from .http_pools import make_pool
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .lease import Lease
from .logs import log_event
from .messages import Backend
from .metrics import FLEET_ACTIONS
from .peers import BackendsReceived
from .platform.cloud import HttpCloud, NoCapacityError, Vm
from .platform.objects import HttpObjects, Objects
from .policy.fleet import (
    EngineVm,
    Offer,
    OfferHistory,
    ReleaseVm,
    SendOrder,
    StartVm,
    plan_orders,
    plan_vms,
)
from .policy.ledger import choose_owner
from .policy.membership import GONE_STATES, Table, list_active
from .writer import ABSENT, ConditionalWriter, ObjectSnapshot, Verdict, read_object

LOGGER: Final = logging.getLogger(__name__)
PERIOD_S: Final = 1.0
LEASE_S: Final = 10.0
RENEWALS_PER_LEASE: Final = 3
ENGINE_TIMEOUT_S: Final = 1.0
# Weight loads per second, one for each order; below the weight store's rate limit.
LOADS_PER_S: Final = 2.0
LOADS_BURST: Final = 4.0
ORDER_TIMEOUT_S: Final = 10.0
# A started VM may be missing from the cloud's list for this long.
UNLISTED_TIMEOUT_S: Final = 60.0
DRAIN_TIMEOUT_S: Final = 600.0
# An engine that has answered before is replaced when it does not answer for this long.
SILENCE_TIMEOUT_S: Final = 8.0
MAX_REASONS: Final = 50


class StartRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that has been or is about to be requested, stored by client token."""

    zone: str
    vm_class: str
    reclaimable: bool
    model: str
    since: float
    vm: str = ""


class FleetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The actions that a planner has in progress; times are wall clock.

    Attributes:
        starts: VMs being started, by client token.
        ends: VMs being drained, with the time at which each is terminated even if
            it is not idle.
        orders: engines with an order in progress, with the time of the order.
        reasons: descriptions of the most recent actions, newest last.
    """

    epoch: int = 0
    starts: dict[str, StartRecord] = {}
    ends: dict[str, float] = {}
    orders: dict[str, float] = {}
    reasons: tuple[str, ...] = ()


class _EngineLoad(msgspec.Struct, frozen=True):
    model: str = ""
    version: str = ""
    running: int = 0
    waiting: int = 0


@dataclass(slots=True, kw_only=True)
class _Plan:
    """The planner's state for one deployment.

    Attributes:
        seen: the version of the fleet record that the next write replaces.
        loaded: False if `record` has to be read again.
        renew_at: when the lease is due for renewal, monotonic seconds.
        refused_at: when an offer was last refused, monotonic seconds.
        reclaims: number of reclaim notices by offer.
        counted_notices: VMs whose reclaim notice is included in `reclaims`.
        sightings: which engines have answered this planner.
    """

    lease: Lease
    record: FleetRecord = field(default_factory=FleetRecord)
    snapshot: ObjectSnapshot = ABSENT
    loaded: bool = False
    renew_at: float = 0.0
    refused_at: dict[str, float] = field(default_factory=dict)
    reclaims: dict[str, int] = field(default_factory=dict)
    counted_notices: set[str] = field(default_factory=set)
    sightings: EngineSightings = field(default_factory=EngineSightings)


class PlannerTask(MailboxTask):
    """Plans VMs and orders for the deployments whose lease this daemon holds."""

    def __init__(self, *, context: Context, objects: Objects, cloud: HttpCloud) -> None:
        super().__init__(name="planner", handle=lambda _m: None, tick=self._advance)
        self._context = context
        self._objects = objects
        self._cloud = cloud
        self._members: Slot[Table] = context.slots["members"]
        self._in_force: Slot[Mapping[str, ConfigurationInForce]] = context.slots[
            "configurations"
        ]
        self._random = random.Random(f"{context.process_id}/planner")
        self._writer = ConditionalWriter(
            objects=objects, writer=f"{context.process_id}.planner", patience_s=2.0
        )
        self._engines = make_pool(maxsize=8, retries=False, timeout=ENGINE_TIMEOUT_S)
        self._loads_left = LOADS_BURST
        self._plans = {
            name: _Plan(
                lease=Lease(
                    objects=objects,
                    key=f"leases/planner/{name}",
                    holder=context.process_id,
                    duration_s=LEASE_S,
                )
            )
            for name in context.settings.daemon.deployments
        }

    def _advance(self) -> float:
        refilled = self._loads_left + LOADS_PER_S * PERIOD_S
        self._loads_left = min(LOADS_BURST, refilled)
        active = [m.id for m in list_active(self._members.read())]
        for index, (name, plan) in enumerate(self._plans.items()):
            in_force = self._in_force.read().get(name)
            is_owner = choose_owner(1_000_000 + index, active) == self._self_id()
            if in_force is None or not is_owner:
                plan.lease.release()
                plan.loaded = False
                continue
            try:
                if self._hold_lease(plan):
                    began_at = time.monotonic()
                    self._reconcile(name, plan, in_force)
                    self._excuse_others(plan, time.monotonic() - began_at)
            except PlatformError as error:
                log_event(LOGGER, "plan_postponed", logging.WARNING, error=error)
        return PERIOD_S * self._random.uniform(0.8, 1.2)

    def _excuse_others(self, plan: _Plan, duration_s: float) -> None:
        """Excuses other deployments' plans for the time of a whole round of one."""
        for other in self._plans.values():
            if other is not plan:
                other.sightings.excuse(duration_s)

    def _hold_lease(self, plan: _Plan) -> bool:
        """Takes or renews the lease; renews only when due, as a renewal is a write."""
        now = time.monotonic()
        if plan.lease.is_held() and now < plan.renew_at:
            return True
        plan.renew_at = now + LEASE_S / RENEWALS_PER_LEASE
        return plan.lease.try_hold(holder_is_gone=self._is_holder_gone(plan))

    def _self_id(self) -> str:
        return self._context.settings.daemon.id

    def _is_holder_gone(self, plan: _Plan) -> bool:
        holder = plan.lease.read_holder().partition(".")[0]
        entry = self._members.read().entries.get(holder)
        return entry is not None and entry.member.state in GONE_STATES

    # One planning round.

    def _reconcile(
        self, name: str, plan: _Plan, in_force: ConfigurationInForce
    ) -> None:
        if not plan.loaded or plan.record.epoch != plan.lease.epoch:
            self._load_record(name, plan)
        vms = self._cloud.list_vms()
        engines = plan.sightings.begin_round(
            [v for v in vms if v.deployment == name and v.role == "engine"],
            taken_addresses={v.address for v in vms},
            is_answering=lambda vm: bool(self._read_load(vm).model),
            now=time.monotonic(),
        )
        self._update_starts(name, plan, engines)
        self._terminate_released_vms(plan, engines)
        states = [self._describe_engine(vm, plan) for vm in engines]
        plan.sightings.end_round(time.monotonic())
        listed = {vm.id for vm in engines}
        states += [
            EngineVm(
                id=token,
                zone=start.zone,
                vm_class=start.vm_class,
                reclaimable=start.reclaimable,
                model=start.model,
                starting=True,
            )
            for token, start in plan.record.starts.items()
            if start.vm not in listed
        ]
        self._count_reclaims(plan, engines)
        self._release_silent_vms(name, plan, states)
        self._apply_vm_plan(name, plan, in_force, states)
        self._apply_order_plan(name, plan, in_force, states, engines)

    def _load_record(self, name: str, plan: _Plan) -> None:
        """Reads the previous planner's record and fences that planner off."""
        plan.snapshot = read_object(self._objects, f"fleet/{name}")
        value = plan.snapshot.open()
        record = plan.record  # if the store has lost the record since it was read
        if value is not None:
            record = msgspec.json.decode(value, type=FleetRecord)
        record = msgspec.structs.replace(record, epoch=plan.lease.epoch)
        # It is unknown whether the previous planner's orders were sent, so they are
        # dropped and what the engines run is read back first.
        record = msgspec.structs.replace(record, orders={})
        self._write_record(name, plan, record)
        plan.loaded = True
        # A start whose answer was lost is requested again with the same token.
        for token, start in record.starts.items():
            if not start.vm:
                self._request_vm(name, plan, token, start)

    def _write_record(self, name: str, plan: _Plan, record: FleetRecord) -> None:
        value = msgspec.json.encode(record)
        outcome = self._writer.write(f"fleet/{name}", value, over=plan.snapshot)
        if outcome.verdict is not Verdict.WRITTEN or outcome.snapshot is None:
            plan.loaded = False
            raise PlatformError(f"fleet record was not written: {outcome.verdict}")
        plan.snapshot, plan.record = outcome.snapshot, record

    def _describe_engine(self, vm: Vm, plan: _Plan) -> EngineVm:
        load = self._read_load(vm)
        plan.sightings.record(vm, answered=bool(load.model), now=time.monotonic())
        leaving = bool(vm.notice_at) or vm.id in plan.record.ends
        return EngineVm(
            id=vm.id,
            zone=vm.zone,
            vm_class=vm.vm_class,
            reclaimable=vm.reclaimable,
            # Until the engine answers, this is the model that its VM was requested
            # for.
            model=load.model or vm.name,
            version=load.version,
            leaving=leaving,
            running=load.running + load.waiting,
            starting=not load.model,
        )

    def _read_load(self, vm: Vm) -> _EngineLoad:
        try:
            response = self._engines.request("GET", f"http://{vm.address}/load")
            return msgspec.json.decode(response.data, type=_EngineLoad)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError, OSError):
            return _EngineLoad()

    def _count_reclaims(self, plan: _Plan, engines: list[Vm]) -> None:
        for vm in engines:
            if vm.notice_at and vm.id not in plan.counted_notices:
                plan.counted_notices.add(vm.id)
                key = f"{vm.zone}/{vm.vm_class}"
                plan.reclaims[key] = plan.reclaims.get(key, 0) + 1

    # Starting and terminating VMs.

    def _apply_vm_plan(
        self,
        name: str,
        plan: _Plan,
        in_force: ConfigurationInForce,
        states: list[EngineVm],
    ) -> None:
        deployment = in_force.deployment
        offers = [Offer(**offer) for offer in self._cloud.list_offers()]
        history = OfferHistory(refused_at=plan.refused_at, reclaims=plan.reclaims)
        for model in deployment.models:
            actions = plan_vms(
                model,
                [vm for vm in states if vm.model == model.name],
                offers,
                zones=deployment.zones,
                classes=[c.name for c in deployment.vm_classes],
                history=history,
                now=time.monotonic(),
            )
            for action in actions:
                if isinstance(action, StartVm):
                    self._start_vm(name, plan, action)
                elif isinstance(action, ReleaseVm):
                    self._release_vm(name, plan, action)

    def _record_action(
        self, plan: _Plan, record: FleetRecord, kind: str, reason: str
    ) -> FleetRecord:
        FLEET_ACTIONS.labels(kind).inc()
        log_event(LOGGER, "fleet_action", kind=kind, reason=reason)
        reasons = (*record.reasons, f"{kind}: {reason}")[-MAX_REASONS:]
        return msgspec.structs.replace(record, reasons=reasons)

    def _start_vm(self, name: str, plan: _Plan, action: StartVm) -> None:
        token = uuid.uuid4().hex
        start = StartRecord(
            zone=action.offer.zone,
            vm_class=action.offer.vm_class,
            reclaimable=action.offer.reclaimable,
            model=action.model,
            since=time.time(),
        )
        record = msgspec.structs.replace(
            plan.record, starts={**plan.record.starts, token: start}
        )
        self._write_record(
            name, plan, self._record_action(plan, record, "start", action.reason)
        )
        self._request_vm(name, plan, token, start)

    def _request_vm(
        self, name: str, plan: _Plan, token: str, start: StartRecord
    ) -> None:
        wanted = {
            "zone": start.zone,
            "vm_class": start.vm_class,
            "reclaimable": start.reclaimable,
            "role": "engine",
            "name": start.model,
            "deployment": name,
        }
        starts = dict(plan.record.starts)
        try:
            vm = self._cloud.start_vm(client_token=token, wanted=wanted)
        except NoCapacityError:
            plan.refused_at[f"{start.zone}/{start.vm_class}"] = time.monotonic()
            FLEET_ACTIONS.labels("refused").inc()
            del starts[token]
        else:
            starts[token] = msgspec.structs.replace(start, vm=vm.id)
        self._write_record(
            name, plan, msgspec.structs.replace(plan.record, starts=starts)
        )

    def _update_starts(self, name: str, plan: _Plan, engines: list[Vm]) -> None:
        """Removes listed and timed-out starts; repeats those whose answer was lost."""
        listed = {vm.client_token for vm in engines if vm.client_token}
        for token, start in list(plan.record.starts.items()):
            timed_out = (
                bool(start.vm) and time.time() - start.since > UNLISTED_TIMEOUT_S
            )
            if token in listed or timed_out:
                starts = {t: s for t, s in plan.record.starts.items() if t != token}
                record = msgspec.structs.replace(plan.record, starts=starts)
                self._write_record(name, plan, record)
            elif not start.vm:
                self._request_vm(name, plan, token, start)

    def _release_vm(self, name: str, plan: _Plan, action: ReleaseVm) -> None:
        ends = {**plan.record.ends, action.vm: time.time() + DRAIN_TIMEOUT_S}
        record = msgspec.structs.replace(plan.record, ends=ends)
        self._write_record(
            name, plan, self._record_action(plan, record, "give_back", action.reason)
        )

    def _release_silent_vms(
        self, name: str, plan: _Plan, states: list[EngineVm]
    ) -> None:
        """Releases engines that answered before but not for `SILENCE_TIMEOUT_S`."""
        for vm in states:
            silence_s = plan.sightings.read_silence_s(vm.id, time.monotonic())
            if vm.leaving or silence_s < SILENCE_TIMEOUT_S:
                continue
            action = ReleaseVm(vm=vm.id, reason=f"silent for {silence_s:.0f} s")
            self._release_vm(name, plan, action)

    def _terminate_released_vms(self, plan: _Plan, engines: list[Vm]) -> None:
        """Keeps new work from released VMs; terminates idle and overdue ones."""
        by_id = {vm.id: vm for vm in engines}
        for vm_id, end_at in plan.record.ends.items():
            vm = by_id.get(vm_id)
            if vm is None:
                continue
            leaving = Backend(
                id=vm.id,
                role=vm.role,
                name=vm.name,
                deployment=vm.deployment,
                address=vm.address,
                zone=vm.zone,
                state="leaving",
                deadline=end_at,
            )
            self._context.post("backends", BackendsReceived(backends=(leaving,)))
            load = self._read_load(vm)
            draining_s = time.time() - (end_at - DRAIN_TIMEOUT_S)
            idle = load.running + load.waiting == 0
            if time.time() >= end_at or (idle and draining_s > 3 * PERIOD_S):
                self._cloud.terminate_vm(vm_id)
                plan.sightings.forget(vm_id)
                FLEET_ACTIONS.labels("end").inc()

    # Sending orders to engines.

    def _apply_order_plan(
        self,
        name: str,
        plan: _Plan,
        in_force: ConfigurationInForce,
        states: list[EngineVm],
        engines: list[Vm],
    ) -> None:
        now = time.time()
        orders = {
            vm: at
            for vm, at in plan.record.orders.items()
            if now - at < ORDER_TIMEOUT_S
        }
        declared = {m.name: m.version for m in in_force.deployment.models}
        up_to_date = {vm.id for vm in states if declared.get(vm.model) == vm.version}
        orders = {vm: at for vm, at in orders.items() if vm not in up_to_date}
        planned = plan_orders(
            in_force.deployment.models,
            states,
            open_orders=orders,
            n_loads_allowed=self._loads_left,
        )
        addresses = {vm.id: vm.address for vm in engines}
        for order in planned:
            self._loads_left -= 1
            orders[order.vm] = now
            record = msgspec.structs.replace(plan.record, orders=dict(orders))
            reason = f"{order.vm} to {order.model} {order.version}, {order.reason}"
            self._write_record(
                name, plan, self._record_action(plan, record, "order", reason)
            )
            if not plan.lease.is_held():
                # The lease ran out during a pause; the next holder reads the
                # engines back and sends the orders.
                return
            if self._send_order(plan, order, addresses[order.vm]):
                orders.pop(order.vm)

    def _send_order(self, plan: _Plan, order: SendOrder, address: str) -> bool:
        """Sends one order and tells whether the engine answered it.

        An answered order is closed. An unanswered one may still be carried out, so
        it stays open until `ORDER_TIMEOUT_S` is over. In either case the next round
        reads back what the engine runs.
        """
        body = msgspec.json.encode(
            {
                "model": order.model,
                "version": order.version,
                "fence": plan.lease.epoch,
                "id": f"{order.vm}/{plan.lease.epoch}",
            }
        )
        try:
            response = self._engines.request(
                "PUT", f"http://{address}/orders", body=body
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log_event(LOGGER, "order_failed", logging.WARNING, vm=order.vm, why=error)
            return False
        if response.status != 200:
            log_event(LOGGER, "order_refused", vm=order.vm, status=response.status)
        return True


def _build(context: Context) -> PlannerTask:
    platform = context.settings.platform
    return PlannerTask(
        context=context,
        objects=HttpObjects(url=platform.objects, timeout_s=platform.timeout_s),
        cloud=HttpCloud(url=platform.cloud, timeout_s=platform.timeout_s),
    )


register_plugin(
    Plugin(
        name="planner", requires=("peers", "configurations", "backends"), build=_build
    )
)


def list_action_reasons(objects: Objects, name: str) -> list[str]:
    """Reads the descriptions of a deployment's most recent fleet actions."""
    value = read_object(objects, f"fleet/{name}").open()
    if value is None:
        return []
    return list(msgspec.json.decode(value, type=FleetRecord).reasons)
