"""Starts and stops the daemons and fakes that tests need, by their tags.

The scenarios of a feature tagged `fleet` share three daemons with fakes. Scenarios
that kill or reclaim servers are tagged `fresh_fleet` and get a fleet of their own.
"""

import logging

from behave.model import Feature, Scenario
from behave.runner import Context

from berylpost.bench.fleet import Fleet, FleetSpec
from berylpost.configuration import hash_token
from berylpost.fakes.engine import EngineShape
from berylpost.invariants import set_fatal

SHAPE = EngineShape(token_s=0.006)
OVERRIDES = {
    "platform": {"vm_poll_s": 0.3, "timeout_s": 1.0},
    "ledger": {"n_shards": 4, "lease_s": 4.0, "intent_timeout_s": 2.0},
    "peers": {"suspicion_s": 1.5, "probe_interval_s": 0.5, "probe_timeout_s": 0.2},
    "drain": {"address_ttl_s": 0.5},
}


def before_all(context: Context) -> None:
    """Makes every broken invariant fatal."""
    logging.disable(logging.CRITICAL)
    set_fatal(fatal=True)


def before_feature(context: Context, feature: Feature) -> None:
    """Starts the fleet that the scenarios of a feature share."""
    context.shared_fleet = None
    if "fleet" in feature.tags:
        context.shared_fleet = Fleet(
            spec=FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES)
        )
        context.shared_fleet.__enter__()


def after_feature(context: Context, feature: Feature) -> None:
    """Stops the shared fleet."""
    if context.shared_fleet is not None:
        context.shared_fleet.__exit__()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Starts the scenario's own fleet or uses the shared one."""
    context.own_fleet = None
    if "fresh_fleet" in scenario.effective_tags:
        context.own_fleet = Fleet(
            spec=FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES)
        )
        context.own_fleet.__enter__()
    if "cuttable_fleet" in scenario.effective_tags:
        spec = FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES, cuttable=True)
        context.own_fleet = Fleet(spec=spec)
        context.own_fleet.__enter__()
    if "tls_fleet" in scenario.effective_tags:
        spec = FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES, tls=True)
        context.own_fleet = Fleet(spec=spec)
        context.own_fleet.__enter__()
    if "two_deployments" in scenario.effective_tags:
        other = {
            "customers": [
                {"name": "weighbridge", "tokens": [hash_token("other-token")]}
            ],
            "operators": [{"name": "o", "tokens": [hash_token("other-operator")]}],
        }
        spec = FleetSpec(
            engine_shape=SHAPE, overrides=OVERRIDES, other_deployments={"other": other}
        )
        context.own_fleet = Fleet(spec=spec)
        context.own_fleet.__enter__()
    context.fleet = context.own_fleet or context.shared_fleet


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Prints the daemons' logs after a failure, then stops the scenario's own fleet."""
    fleet = context.fleet
    if fleet is not None and scenario.status.name in ("failed", "error"):
        for daemon in fleet.daemons:
            print(f"--- log of {daemon.id}\n{fleet.read_log(daemon, 60)}")
    if context.own_fleet is not None:
        context.own_fleet.__exit__()
