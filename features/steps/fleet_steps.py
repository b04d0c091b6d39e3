"""Steps of fleet.feature."""

import dataclasses
import re
import time

import msgspec
import urllib3
from behave import given, then, when
from behave.runner import Context
from steps.shared import MODEL, is_complete_answer

from berylpost.bench.fleet import wait_until
from berylpost.configuration import Model
from berylpost.policy.fleet import (
    EngineVm,
    Offer,
    OfferHistory,
    ReleaseVm,
    StartVm,
    plan_orders,
    plan_vms,
)
from berylpost.policy.ledger import choose_owner

NOW = 1_000.0


@given("offers by zone and price: {offers}")
def make_offers(context: Context, offers: str) -> None:
    context.offers = [
        Offer(
            zone=zone,
            vm_class=vm_class,
            reclaimable=vm_class == "small",
            price=float(price),
        )
        for zone, vm_class, price in (
            text.split(":") for text in offers.split() if text != "-"
        )
    ]


@given("VMs that run the model: {vms}")
def make_vms(context: Context, vms: str) -> None:
    context.vms = []
    for index, text in enumerate(v for v in vms.split() if v != "-"):
        zone, _, condition = text.partition(":")
        vm_class = "steady" if condition == "steady" else "small"
        context.vms.append(
            EngineVm(
                id=f"vm{index}",
                zone=zone,
                vm_class=vm_class,
                reclaimable=vm_class == "small",
                model="m",
                leaving=condition == "leaving",
                starting=condition == "starting",
            )
        )


@when("{n:d} replicas are wanted and {history}")
def plan_placement(context: Context, n: int, history: str) -> None:
    refused = re.match(r"(\S+) refused", history)
    reclaimed = re.match(r"(\S+) reclaimed (\d+) times", history)
    context.plan = plan_vms(
        Model(name="m", version="1", replicas=n),
        context.vms,
        context.offers,
        zones=(),
        classes=(),
        history=OfferHistory(
            refused_at={refused[1]: NOW - 1} if refused else {},
            reclaims={reclaimed[1]: int(reclaimed[2])} if reclaimed else {},
        ),
        now=NOW,
    )


@then("the plan is {plan}")
def check_plan(context: Context, plan: str) -> None:
    zones = {vm.id: vm.zone for vm in context.vms}
    descriptions = [
        f"start {action.offer.key}"
        if isinstance(action, StartVm)
        else f"give back 1 of {zones[action.vm]}"
        for action in context.plan
        if isinstance(action, StartVm | ReleaseVm)
    ]
    expected = [] if plan == "nothing" else plan.split(", ")
    assert descriptions == expected, descriptions
    assert all(action.reason for action in context.plan)


@given("engines that run: {engines}")
def make_engines(context: Context, engines: str) -> None:
    context.engines, context.open_orders = [], {}
    for index, text in enumerate(engines.split()):
        model, version, *options = text.split(":")
        if options == ["open"]:
            context.open_orders[f"e{index}"] = NOW
        context.engines.append(
            EngineVm(
                id=f"e{index}",
                zone="a",
                vm_class="small",
                reclaimable=True,
                model=model,
                version=version,
                leaving=options == ["leaving"],
            )
        )


@when(
    "m is declared at version {version:d} with {n:d} replicas "
    "and {loads:d} loads are allowed"
)
def plan_engine_orders(context: Context, version: int, n: int, loads: int) -> None:
    context.orders = plan_orders(
        [Model(name="m", version=str(version), replicas=n)],
        context.engines,
        open_orders=context.open_orders,
        n_loads_allowed=float(loads),
    )


@then("the orders go to {names}")
def check_orders(context: Context, names: str) -> None:
    expected = [] if names == "nobody" else names.split()
    assert [order.vm for order in context.orders] == expected, context.orders


@when("the model is patched to version {version:d} with {n:d} replicas")
def patch_model(context: Context, version: int, n: int) -> None:
    fleet = context.fleet
    path = f"/v1/deployments/{fleet.spec.deployment}/configuration"
    number = fleet.make_operator_client().call("GET", path)["number"]
    patch = {"models": [{"name": MODEL, "version": str(version), "replicas": n}]}
    fleet.make_operator_client().call(
        "PATCH", path, document=patch, headers={"If-Match": f'"{number}"'}
    )


def list_engine_versions(context: Context) -> list[tuple[str, str]]:
    """Lists the VMs of engines without a reclaim notice, with the version of each."""
    world = context.fleet.world.world
    return [
        (vm.id, world.engines[vm.id].version)
        for vm in list(world.cloud.vms.values())
        if vm.role == "engine" and not vm.notice_at
    ]


@then("within {bound:d} s the cloud runs {n:d} engines of version {version:d}")
def check_engines(context: Context, bound: int, n: int, version: int) -> None:
    def runs_declared_engines() -> bool:
        engines = list_engine_versions(context)
        return len(engines) == n and all(v == str(version) for _, v in engines)

    try:
        wait_until(
            runs_declared_engines,
            timeout_s=bound,
            description="the declared engines run",
        )
    except TimeoutError as error:
        raise AssertionError(f"{error}: {list_engine_versions(context)}") from error


@then("the engines serve a complete summary")
def check_summary(context: Context) -> None:
    document = {"model": MODEL, "prompt": "after", "max_tokens": 20}
    answer = context.fleet.make_client().complete("/v1/completions", document)
    assert is_complete_answer(answer, "after", 20)


@given("the cloud loses the next {n:d} answers to starts")
def lose_start_answers(context: Context, n: int) -> None:
    address = context.fleet.world_spec.cloud
    context.fleet.set_fault(address, lose_answers=n, methods=["POST"])


@when("the planner is killed after {after:g} s")
def kill_planner(context: Context, after: float) -> None:
    time.sleep(after)
    ids = [daemon.id for daemon in context.fleet.daemons]
    planner = choose_owner(1_000_000, ids)
    daemon = next(d for d in context.fleet.daemons if d.id == planner)
    context.fleet.kill(daemon)


@then("after {seconds:d} s more it still runs exactly {n:d} engines")
def check_engine_count(context: Context, seconds: int, n: int) -> None:
    time.sleep(seconds)
    assert len(list_engine_versions(context)) == n, list_engine_versions(context)


@then("the cloud started exactly {n:d} VMs")
def check_n_started(context: Context, n: int) -> None:
    assert context.fleet.world.world.cloud.n_created == n


@given("the zones {first} and {second} refuse starts")
def refuse_starts(context: Context, first: str, second: str) -> None:
    context.fleet.world.world.cloud.zones_without_capacity.update({first, second})


@given("engines that ignore fencing numbers")
def ignore_fencing_numbers(context: Context) -> None:
    for engine in context.fleet.world.world.engines.values():
        engine.shape = dataclasses.replace(engine.shape, fenced=False)


@when("an order of a previous holder for version {version:d} reaches the first engine")
def send_order_of_previous_holder(context: Context, version: int) -> None:
    vm = list_engine_versions(context)[0][0]
    engine = context.fleet.world.world.engines[vm]
    body = {"model": MODEL, "version": str(version), "fence": 0}
    response = urllib3.PoolManager().request(
        "PUT",
        f"http://{engine.server.endpoint}/orders",
        body=msgspec.json.encode(body),
    )
    assert response.status == 200
    assert engine.version == str(version)


@when("the first engine stops answering while its VM stays listed")
def stop_engine_server(context: Context) -> None:
    time.sleep(3.0)  # until the planner has seen it answer
    world = context.fleet.world.world
    context.dead = "vm-engine-1"
    context.fleet.world.call(world.engines[context.dead].server.stop())


@then("within {bound:d} s the cloud runs {n:d} engines that answer")
def check_engine_replaced(context: Context, bound: int, n: int) -> None:
    def runs_replacement() -> bool:
        engines = [vm for vm, _ in list_engine_versions(context)]
        return len(engines) == n and context.dead not in engines

    wait_until(
        runs_replacement,
        timeout_s=bound,
        description="the engine that stopped is replaced",
    )
