"""The experiments that `berylpost bench` runs, by name."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The result of an experiment.

    Attributes:
        figures: JSON values; the keys name their units.
        passed: whether every stated bound was met.
    """

    figures: dict[str, Any]
    passed: bool = True


Experiment = Callable[[int, float], Result]


def load_experiments() -> dict[str, Experiment]:
    """Imports the experiments, so that their libraries are needed only on this call."""
    from .bookings import run_bookings
    from .chaos import run_chaos
    from .cost import run_cost
    from .decisions import run_decisions
    from .entry import run_entry
    from .gossip import run_gossip
    from .handover import run_handover
    from .limits import run_limits
    from .outage import run_outage
    from .relay import run_relay
    from .routing import run_routing
    from .store import run_store

    return {
        "bookings": run_bookings,
        "chaos": run_chaos,
        "cost": run_cost,
        "decisions": run_decisions,
        "entry": run_entry,
        "gossip": run_gossip,
        "handover": run_handover,
        "limits": run_limits,
        "outage": run_outage,
        "relay": run_relay,
        "routing": run_routing,
        "store": run_store,
    }
