"""Plans which VMs to start or release and which orders to send to engines.

The plan compares the declared models with the existing VMs. Reclaimable VMs are
preferred and spread so that no zone holds more than its share. On-demand VMs are
started only while every reclaimable offer is refused or in its backoff. Expensive and
surplus VMs are drained and released. Each action carries a human-readable reason.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..configuration import Model

REFUSAL_BACKOFF_S: Final = 30.0  # time for which a refused offer is not requested again
# Relative cost added to an offer for each reclaim; the value is meant for reclaims per
# hour.
RECLAIM_PENALTY: Final = 0.25
# Maximum number of VMs starting at the same time, so that a series of refusals is
# noticed before more VMs are requested.
MAX_CONCURRENT_STARTS: Final = 4
# An on-demand VM is released once a reclaimable one costs at most this share of it.
EXCHANGE_PRICE_SHARE: Final = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """A VM class in an availability zone at an hourly price."""

    zone: str
    vm_class: str
    reclaimable: bool
    price: float

    @property
    def key(self) -> str:
        """Identifier of the offer in records: zone and VM class."""
        return f"{self.zone}/{self.vm_class}"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineVm:
    """The current state of a VM that runs a model engine.

    Attributes:
        model: name of the model that it runs; empty while it starts.
        leaving: whether it has received a reclaim notice or is being drained.
        running: requests in progress, used to choose which VM to release.
        starting: whether it was requested and is not listed yet.
    """

    id: str
    zone: str
    vm_class: str
    reclaimable: bool
    model: str
    version: str = ""
    leaving: bool = False
    running: int = 0
    starting: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferHistory:
    """Refusals and reclaims by offer key.

    Attributes:
        refused_at: time of the last refusal, monotonic seconds.
        reclaims: number of reclaims.
    """

    refused_at: Mapping[str, float]
    reclaims: Mapping[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class StartVm:
    """Request a VM from the cloud to run a model."""

    offer: Offer
    model: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseVm:
    """Drain a VM and terminate it when it is idle."""

    vm: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOrder:
    """Order an engine to run a model at a version."""

    vm: str
    model: str
    version: str
    reason: str


FleetAction = StartVm | ReleaseVm | SendOrder


def find_zone_limit(n_wanted: int, n_zones: int) -> int:
    """Returns how many of the wanted VMs one zone may hold.

    With three or more zones, at least half of the VMs remain after the loss of one.
    """
    return max(1, math.ceil(n_wanted / max(1, n_zones)))


def rank_offers(
    offers: Sequence[Offer],
    *,
    zones: Sequence[str],
    classes: Sequence[str],
    history: OfferHistory,
    now: float,
) -> list[Offer]:
    """Ranks the offers that may be requested: reclaimable first, then by cost.

    Args:
        offers: current offers of the cloud.
        zones: zones that the deployment may use; empty means all.
        classes: VM classes that the deployment may use; empty means all.
        history: refusals and reclaims by offer.
        now: monotonic seconds.
    """

    def cost(offer: Offer) -> float:
        return offer.price * (1 + RECLAIM_PENALTY * history.reclaims.get(offer.key, 0))

    usable = [
        offer
        for offer in offers
        if (not zones or offer.zone in zones)
        and (not classes or offer.vm_class in classes)
        and now - history.refused_at.get(offer.key, -math.inf) >= REFUSAL_BACKOFF_S
    ]
    return sorted(usable, key=lambda o: (not o.reclaimable, cost(o), o.key))


def plan_vms(
    model: Model,
    vms: Sequence[EngineVm],
    offers: Sequence[Offer],
    *,
    zones: Sequence[str],
    classes: Sequence[str],
    history: OfferHistory,
    now: float,
) -> list[FleetAction]:
    """Plans which VMs of one model to start and release.

    Args:
        model: the model as declared.
        vms: its VMs, including those that are starting or leaving.
        offers: current offers of the cloud.
        zones: zones that the deployment may use; empty means all.
        classes: VM classes that the deployment may use; empty means all.
        history: refusals and reclaims by offer.
        now: monotonic seconds.
    """
    staying = [vm for vm in vms if not vm.leaving]
    missing = model.replicas - len(staying)
    if missing <= 0:
        surplus = _plan_surplus(model, staying, -missing)
        return surplus or _plan_exchange(staying, offers, history, zones, classes, now)
    ranked = rank_offers(offers, zones=zones, classes=classes, history=history, now=now)
    n_zones = len({offer.zone for offer in ranked})
    limit = find_zone_limit(model.replicas, n_zones)
    by_zone = Counter(vm.zone for vm in staying)
    n_starting = sum(vm.starting for vm in staying)
    actions: list[FleetAction] = []
    for _ in range(min(missing, max(0, MAX_CONCURRENT_STARTS - n_starting))):
        # The best offer in a zone below its limit; if all are full, the zone with the
        # fewest VMs.
        eligible = [o for o in ranked if by_zone[o.zone] < limit] or sorted(
            ranked, key=lambda o: (not o.reclaimable, by_zone[o.zone])
        )
        if not eligible:
            break
        offer = eligible[0]
        by_zone[offer.zone] += 1
        kind = "reclaimable" if offer.reclaimable else "on-demand, others refused"
        reason = (
            f"{len(staying)} of {model.replicas} replicas; {offer.key} {kind}, "
            f"{by_zone[offer.zone]} of {limit} in its zone"
        )
        actions.append(StartVm(offer=offer, model=model.name, reason=reason))
    return actions


def _plan_surplus(
    model: Model, staying: Sequence[EngineVm], n_surplus: int
) -> list[FleetAction]:
    """Releases surplus VMs.

    On-demand VMs go first, then those in the fullest zone, then the least busy.
    """
    if not n_surplus:
        return []
    by_zone = Counter(vm.zone for vm in staying)
    ranked = sorted(
        (vm for vm in staying if not vm.starting),
        key=lambda vm: (vm.reclaimable, -by_zone[vm.zone], vm.running, vm.id),
    )
    reason = f"{len(staying)} replicas, {model.replicas} wanted"
    return [ReleaseVm(vm=vm.id, reason=reason) for vm in ranked[:n_surplus]]


def _plan_exchange(
    staying: Sequence[EngineVm],
    offers: Sequence[Offer],
    history: OfferHistory,
    zones: Sequence[str],
    classes: Sequence[str],
    now: float,
) -> list[FleetAction]:
    """Releases one on-demand VM when a reclaimable one is much cheaper."""
    on_demand = [vm for vm in staying if not vm.reclaimable and not vm.starting]
    if not on_demand:
        return []
    prices = {offer.key: offer.price for offer in offers}
    ranked = rank_offers(offers, zones=zones, classes=classes, history=history, now=now)
    vm = min(on_demand, key=lambda v: (v.running, v.id))
    price = prices.get(f"{vm.zone}/{vm.vm_class}", math.inf)
    if (
        ranked
        and ranked[0].reclaimable
        and ranked[0].price <= EXCHANGE_PRICE_SHARE * price
    ):
        reason = f"{ranked[0].key} is reclaimable at {ranked[0].price:g} for {price:g}"
        return [ReleaseVm(vm=vm.id, reason=reason)]
    return []


def plan_orders(
    models: Sequence[Model],
    vms: Sequence[EngineVm],
    *,
    open_orders: Mapping[str, float],
    n_loads_allowed: float,
) -> list[SendOrder]:
    """Plans orders for engines that do not run the declared model version.

    Args:
        models: the models as declared.
        vms: VMs whose engine answered, with the model and version that it runs.
        open_orders: VMs with an order in progress; they get no second one.
        n_loads_allowed: model loads that the weight store allows now.

    Returns:
        Orders; the model that lacks the largest share of its replicas comes first.
    """
    declared = {model.name: model for model in models}
    outdated = [
        vm
        for vm in vms
        if not vm.leaving
        and not vm.starting
        and vm.id not in open_orders
        and vm.model in declared
        and vm.version != declared[vm.model].version
    ]
    n_current = Counter(
        vm.model
        for vm in vms
        if vm.model in declared and vm.version == declared[vm.model].version
    )

    def current_share(vm: EngineVm) -> float:
        return n_current[vm.model] / max(1, declared[vm.model].replicas)

    outdated.sort(key=lambda vm: (current_share(vm), vm.running, vm.id))
    return [
        SendOrder(
            vm=vm.id,
            model=vm.model,
            version=declared[vm.model].version,
            reason=f"runs version {vm.version!r}",
        )
        for vm in outdated[: int(max(0.0, n_loads_allowed))]
    ]
