"""Which VMs to start or end and which orders to send, from wanted and real.

Reclaimable VMs first, spread so that no zone holds more than its share; on-demand
ones only while every reclaimable offer is refused or resting; the dear and the
surplus are given back by drain. Each action carries its reason in plain words.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from ..configuration import Model

REFUSED_REST_S: Final = 30.0  # an offer that was refused is not asked again for
RECLAIM_PENALTY: Final = 0.25  # each reclaim an hour makes an offer this much dearer
MAX_STARTS: Final = 4  # at once, so that a wave of refusals is seen before more
CHEAPER_SHARE: Final = 0.7  # an on-demand VM goes once a reclaimable one is this cheap


@dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """A class of VM in a zone at a price an hour."""

    zone: str
    vm_class: str
    reclaimable: bool
    price: float

    @property
    def key(self) -> str:
        """Names the offer in records."""
        return f"{self.zone}/{self.vm_class}"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineVm:
    """A model engine's VM as it is.

    Attributes:
        model: what it runs, empty while it starts.
        leaving: it got notice or is being drained.
        running: requests in progress, for choosing what to give back.
        starting: asked for and not listed yet.
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
    """What an offer has done lately; times are monotonic seconds."""

    refused_at: Mapping[str, float]
    reclaims: Mapping[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class StartVm:
    """Ask the cloud for a VM that runs a model."""

    offer: Offer
    model: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseVm:
    """Drain a VM and end it when it is idle."""

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


def limit_zone(n_wanted: int, n_zones: int) -> int:
    """Returns how many of the wanted VMs one zone may hold.

    With three zones or more the loss of one leaves at least half.
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
    """Ranks the offers that may be asked for: reclaimable first, then by cost.

    Args:
        offers: of the cloud now.
        zones: that the deployment may use; empty means all.
        classes: that the deployment may use; empty means all.
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
        and now - history.refused_at.get(offer.key, -math.inf) >= REFUSED_REST_S
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
    """Plans starts and ends for one model.

    Args:
        model: as declared.
        vms: its VMs, those that start and those that leave included.
        offers: of the cloud now.
        zones: that the deployment may use.
        classes: that the deployment may use.
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
    limit = limit_zone(model.replicas, n_zones)
    by_zone = Counter(vm.zone for vm in staying)
    n_starting = sum(vm.starting for vm in staying)
    actions: list[FleetAction] = []
    for _ in range(min(missing, max(0, MAX_STARTS - n_starting))):
        # The cheapest that keeps the spread; past the limit the least filled zone.
        fitting = [o for o in ranked if by_zone[o.zone] < limit] or sorted(
            ranked, key=lambda o: (not o.reclaimable, by_zone[o.zone])
        )
        if not fitting:
            break
        offer = fitting[0]
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
    """Gives back what is too much: on demand, fullest zone, idlest first."""
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
    """Gives one on-demand VM back when a reclaimable one can be had for much less."""
    dear = [vm for vm in staying if not vm.reclaimable and not vm.starting]
    if not dear:
        return []
    prices = {offer.key: offer.price for offer in offers}
    ranked = rank_offers(offers, zones=zones, classes=classes, history=history, now=now)
    vm = min(dear, key=lambda v: (v.running, v.id))
    price = prices.get(f"{vm.zone}/{vm.vm_class}", math.inf)
    if ranked and ranked[0].reclaimable and ranked[0].price <= CHEAPER_SHARE * price:
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
    """Plans orders for engines that do not run what is declared.

    Args:
        models: as declared.
        vms: engines that answered, with what they run.
        open_orders: engines with an order under way; they get no second one.
        n_loads_allowed: loads that the weight store allows now.

    Returns:
        Orders, the model that misses the largest share of its replicas first.
    """
    declared = {model.name: model for model in models}
    wrong = [
        vm
        for vm in vms
        if not vm.leaving
        and not vm.starting
        and vm.id not in open_orders
        and vm.model in declared
        and vm.version != declared[vm.model].version
    ]
    right = Counter(
        vm.model
        for vm in vms
        if vm.model in declared and vm.version == declared[vm.model].version
    )

    def share(vm: EngineVm) -> float:
        return right[vm.model] / max(1, declared[vm.model].replicas)

    wrong.sort(key=lambda vm: (share(vm), vm.running, vm.id))
    return [
        SendOrder(
            vm=vm.id,
            model=vm.model,
            version=declared[vm.model].version,
            reason=f"runs version {vm.version!r}",
        )
        for vm in wrong[: int(max(0.0, n_loads_allowed))]
    ]
