"""Starts what a feature needs, by its tags, and ends it.

`fleet` starts three daemons with stand-ins for the whole feature; scenarios that
kill or reclaim use `fresh_fleet` and get their own.
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
    """Starts the shared fleet of a feature."""
    context.shared = None
    if "fleet" in feature.tags:
        context.shared = Fleet(spec=FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES))
        context.shared.__enter__()


def after_feature(context: Context, feature: Feature) -> None:
    """Ends the shared fleet."""
    if context.shared is not None:
        context.shared.__exit__()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Gives the scenario its fleet."""
    context.own = None
    if "fresh_fleet" in scenario.effective_tags:
        context.own = Fleet(spec=FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES))
        context.own.__enter__()
    if "tls_fleet" in scenario.effective_tags:
        spec = FleetSpec(engine_shape=SHAPE, overrides=OVERRIDES, tls=True)
        context.own = Fleet(spec=spec)
        context.own.__enter__()
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
        context.own = Fleet(spec=spec)
        context.own.__enter__()
    context.fleet = context.own or context.shared


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Checks that no daemon broke an invariant, then ends the fleet."""
    fleet = context.fleet
    if fleet is not None and scenario.status.name in ("failed", "error"):
        for daemon in fleet.daemons:
            print(f"--- log of {daemon.id}\n{fleet.read_log(daemon, 60)}")
    if context.own is not None:
        context.own.__exit__()
