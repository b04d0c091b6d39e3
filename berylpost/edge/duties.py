"""Carries out the deployment's duties while this daemon holds their lease.

Usage: the sum of each window is stored with the lease before it is reported. Fleet:
orders follow `policy.fleet_size`; after a refused order for reclaimable servers, none
are planned in that availability zone for a while.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final

from ..errors import DutyCallError, PlatformError
from ..logs import log_event
from ..platform.object_store import ObjectStore
from ..platform.orders import (
    CALL_TIMEOUT_S,
    DUTY_FLEET,
    DUTY_USAGE,
    DutyApiClient,
    OrderOutcome,
)
from ..policy.fleet_size import (
    IDLE_LOAD,
    SHRINK_DELAY_S,
    FleetSize,
    ZoneFleet,
    count_for_quotas,
    count_guaranteed,
    plan_on_demand,
    plan_spot,
    size_fleet,
)
from .catalogue import Catalogue
from .clock import read_boottime
from .duty_lease import AnnouncedHold, DutyLease
from .member import Member
from .members import Members
from .model import BackendState, EdgeSettings, FleetBounds, Service
from .store_era import StoreEra
from .usage import Usage
from .work_meter import TIME_CONSTANT_S

LOGGER: Final = logging.getLogger(__name__)

TICK_S: Final = 0.25
# Wait after a window's end, so that counts of daemons cut off for 3 s are included.
REPORT_DELAY_S: Final = 4.0
# Daemons that try to acquire a free lease; few, to limit the calls to the store.
N_CANDIDATES: Final = 2
RETRY_INTERVAL_S: Final = 1.0  # between two attempts at a lease that is held elsewhere
PLAN_INTERVAL_S: Final = 1.0  # between two fleet plans; servers take seconds to boot
# Pause before a zone that refused servers is asked again; the call is cheap.
SPOT_RETRY_S: Final = 3.0
# An ordered server counts as lost when it is late by this much after its boot time.
BOOT_MARGIN_S: Final = 1.5
# Four gossip rounds, so that a daemon knows its rank before it tries for the lease.
STARTUP_DELAY_S: Final = 1.0
# Wait after another daemon's hold; errors of clocks and gossip are smaller.
HOLD_MARGIN_S: Final = 0.3
# Consecutive failed calls after which the hold is given up if others reach the store.
FAILURES_TO_ABANDON: Final = 2
# A younger confirmation of the configuration shows that the store answers.
FRESH_CONFIRMATION_S: Final = 2.0
# Two time constants of the measured load, which fell while requests were refused.
LOAD_SETTLE_S: Final = 2 * TIME_CONSTANT_S
# On-demand servers are given back without a delay, so the delay is added here: after
# two time constants alone the measured load may still be 14% too low.
ON_DEMAND_SETTLE_S: Final = LOAD_SETTLE_S + SHRINK_DELAY_S
CALL_MARGIN_S: Final = 0.3  # no call is started with less of the hold left


class Duties:
    """Usage reports and server orders, made by one daemon at a time.

    Args:
        settings: settings of this daemon.
        incarnation: incarnation of this daemon.
        members: the other daemons, any of which may hold the lease.
        remove_lost: removes lost daemons from the store.
        catalogue: services and backend servers.
        era: era of the store.
        usage: request counts to report.
        read_work: returns the work of all daemons by service, in server-seconds per
            second.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        incarnation: int,
        members: Members,
        remove_lost: Callable[[], Awaitable[None]],
        catalogue: Catalogue,
        era: StoreEra,
        usage: Usage,
        read_work: Callable[[], Mapping[str, float]],
    ) -> None:
        assert settings.cloud is not None
        self.store = ObjectStore(address=settings.store, note_era=era.note_answer)
        self.lease = DutyLease(
            store=self.store,
            holder=settings.name,
            incarnation=incarnation,
            min_lease_s=settings.bounds.lease_s,
            export_counts=lambda: usage.export_all(settings.name, incarnation),
            import_counts=lambda saved: usage.import_all(
                saved, settings.name, incarnation
            ),
        )
        era.add_listener(self.lease.begin_era)
        era.add_date_listener(self.lease.date_era)
        self._era = era
        self._settings = settings
        self._members = members
        self._remove_lost = remove_lost
        self._catalogue = catalogue
        self._usage = usage
        self._read_work = read_work
        self._cloud = DutyApiClient(address=settings.cloud, holder=settings.name)
        self._started_at = read_boottime()
        self._reported_windows: set[int] = set()
        self._ordered: dict[tuple[str, str, bool], tuple[int, float]] = {}
        self._spot_retry_at: dict[tuple[str, str], float] = {}
        self._planned_at = 0.0
        self._sizes: dict[str, FleetSize] = {}
        self._announced: AnnouncedHold | None = None
        self._n_failures = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts trying to acquire the lease."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops and releases the lease."""
        self.kill()
        try:
            await self.lease.release()
        except PlatformError as error:
            log_event(LOGGER, "release_failed", logging.WARNING, error=error)

    def kill(self) -> None:
        """Stops without releasing the lease, like a killed process."""
        if self._task is not None:
            self._task.cancel()
        self._cloud.close()
        self.store.close()

    def export_hold(self) -> list[float]:
        """Returns this daemon's hold on the lease for gossip."""
        return self.lease.export_hold()

    def import_hold(self, member: Member, hold: Sequence[float]) -> None:
        """Records the hold that another daemon has announced."""
        sequence, left_s = hold
        if not sequence:
            return
        announced = AnnouncedHold(
            holder=member.name,
            incarnation=member.incarnation,
            sequence=int(sequence),
            until=read_boottime() + left_s,
        )
        if left_s > 0 or (self._announced and self._announced.holder == member.name):
            self._announced = announced

    async def _run(self) -> None:
        while True:
            pause_s = TICK_S
            try:
                if self.lease.is_held():
                    await self._perform_duties()
                    self._n_failures = 0
                elif self._is_candidate():
                    self._reset_progress()
                    await self.lease.try_acquire(self._announced)
                    if not self.lease.is_held():
                        pause_s = RETRY_INTERVAL_S
            except PlatformError as error:
                log_event(LOGGER, "duty_failed", logging.WARNING, error=error)
                # Another daemon may be able to reach the store, but is unlikely to fare
                # better with the cloud API.
                from_cloud_api = isinstance(error, DutyCallError)
                self._n_failures += 0 if from_cloud_api else 1
                pause_s = RETRY_INTERVAL_S if from_cloud_api else TICK_S
                if (
                    self._n_failures >= FAILURES_TO_ABANDON
                    and self._is_store_reachable_elsewhere()
                ):
                    # A daemon that reaches the store need not wait until the term ends.
                    self.lease.abandon()
                    self._members.announce(everyone=True)
            except Exception:
                LOGGER.exception("event=duty_error")
                pause_s = RETRY_INTERVAL_S
            await asyncio.sleep(pause_s * random.uniform(0.9, 1.1))

    def _is_candidate(self) -> bool:
        """Tells whether this daemon should try to acquire the lease now."""
        now = read_boottime()
        if self._members.leaving or not self._members.active:
            return False
        if not self._era.is_dated:
            return False  # reports may have been lost with an older copy
        announced = self._announced
        if announced is not None and now < announced.until + HOLD_MARGIN_S:
            return False
        if now - self._started_at < STARTUP_DELAY_S:
            return False
        names = [m.name for m in self._members.list_alive() if not m.leaving]
        rank = sorted([*names, self._settings.name]).index(self._settings.name)
        return rank < N_CANDIDATES

    def _is_store_reachable_elsewhere(self) -> bool:
        """Tells whether another daemon has recently reached the store."""
        return any(
            member.confirmation_age < FRESH_CONFIRMATION_S
            for member in self._members.list_alive()
            if not member.leaving
        )

    def _reset_progress(self) -> None:
        self._ordered.clear()
        self._reported_windows.clear()

    async def _perform_duties(self) -> None:
        duties = self._settings.duties
        if DUTY_USAGE in duties:
            await self._report_usage()
        if self.lease.needs_renewal() and not await self.lease.renew():
            log_event(LOGGER, "duties_lost", logging.WARNING)
            return
        if (
            DUTY_FLEET in duties
            and read_boottime() - self._planned_at > PLAN_INTERVAL_S
        ):
            self._planned_at = read_boottime()
            await self._order_fleet()
            await self._remove_lost()

    def _find_call_timeout(self) -> float:
        """Returns the timeout for a duty call; 0 if too little of the hold is left."""
        left_s = self.lease.remaining_s() - CALL_MARGIN_S
        return min(CALL_TIMEOUT_S, left_s) if left_s > 0 else 0.0

    async def _report_usage(self) -> None:
        window_s = self._settings.bounds.usage_window_s
        newest = int(self._usage.read_window() - REPORT_DELAY_S / window_s) - 1
        oldest = int(
            self._usage.read_window() - self._settings.bounds.usage_late_s / window_s
        )
        for window in range(max(oldest, newest - 2), newest + 1):
            if window in self._reported_windows:
                continue
            counts = self.lease.reports.get(window)
            if counts is None:
                if self.lease.reports and window < max(self.lease.reports):
                    continue
                if self._may_be_reported(window):
                    continue
                counts = self._usage.total(window)
                if not await self.lease.record_report(window, counts):
                    return
            timeout_s = self._find_call_timeout()
            if not timeout_s or not self.lease.is_held():
                return
            await self._cloud.report_usage(
                window, counts, fence=self.lease.fence, timeout_s=timeout_s
            )
            self._reported_windows.add(window)
            log_event(
                LOGGER,
                "usage_reported",
                window=window,
                n_requests=sum(counts.values()),
                fence=self.lease.fence,
            )

    def _may_be_reported(self, window: int) -> bool:
        """Tells whether a report on a window may be lost with the store's copy."""
        window_s = self._settings.bounds.usage_window_s
        ended_s = (self._usage.read_window() - (window + 1)) * window_s
        return read_boottime() - ended_s < self.lease.reports_since

    async def _order_fleet(self) -> None:
        configuration = self._catalogue.configuration
        if configuration is None:
            return
        work = self._read_work()
        for service in configuration.services.values():
            if service.fleet is None:
                continue
            await self._order_servers(service, work.get(service.name, 0.0))

    async def _order_servers(self, service: Service, load: float) -> None:
        """Orders reclaimable servers, then on-demand ones for the remaining need."""
        bounds = service.fleet
        assert bounds is not None
        zones, n_ready = self._build_zone_views(service, bounds)
        size = self._size_fleet(service.name, load, n_ready)
        n_needed = size.n_wanted
        spot = plan_spot(
            zones, n_needed=n_needed, n_min=bounds.n_min, n_max=bounds.n_max
        )
        for zone, n_servers in spot.items():
            await self._place_order(service, zone, n_servers, spot=True)
        zones, _ = self._build_zone_views(service, bounds)
        n_guaranteed = size.n_found
        if load > IDLE_LOAD:
            n_guaranteed = count_guaranteed(load, n_needed)
        on_demand = plan_on_demand(
            zones,
            n_guaranteed=n_guaranteed,
            n_max=bounds.n_max,
            may_shrink=not self._catalogue.is_outage_recent(ON_DEMAND_SETTLE_S),
        )
        for zone, n_servers in on_demand.items():
            await self._place_order(service, zone, n_servers, spot=False)

    def _build_zone_views(
        self, service: Service, bounds: FleetBounds
    ) -> tuple[dict[str, ZoneFleet], int]:
        """Builds the input of the fleet decisions and counts the ready servers."""
        now = read_boottime()
        zones = {}
        n_ready = 0
        for zone, price in bounds.zone_prices.items():
            ready = [
                b
                for b in self._catalogue.backends.values()
                if b.service == service.name
                and b.zone == zone
                and b.state is BackendState.READY
            ]
            n_ready += len(ready)
            n_spot_ready = sum(1 for b in ready if b.spot)
            n_on_demand = len(ready) - n_spot_ready
            refused_until = self._spot_retry_at.get((service.name, zone), 0.0)
            zones[zone] = ZoneFleet(
                zone=zone,
                price=price,
                n_spot=self._count_expected(service, zone, True, n_spot_ready),
                n_on_demand=self._count_expected(service, zone, False, n_on_demand),
                n_spot_ready=n_spot_ready,
                spot_refused=now < refused_until,
            )
        return zones, n_ready

    def _count_expected(
        self, service: Service, zone: str, spot: bool, n_ready: int
    ) -> int:
        """Counts servers that serve or may be booting; forgets orders that are lost."""
        key = (service.name, zone, spot)
        ordered = self._ordered.get(key)
        if ordered is None or service.fleet is None:
            return n_ready
        n_ordered, at = ordered
        if n_ordered > n_ready:
            if read_boottime() - at < service.fleet.boot_s + BOOT_MARGIN_S:
                return n_ordered
            # The servers were reclaimed or never started, so they are ordered again.
            del self._ordered[key]
        return n_ready

    def _size_fleet(self, service: str, load: float, n_ready: int) -> FleetSize:
        """Sizes a service's fleet for its load and logs a change."""
        size = self._sizes.get(service)
        if size is None:
            size = FleetSize(n_found=n_ready, n_wanted=n_ready)
            self._sizes[service] = size
        n_before = size.n_wanted
        size_fleet(
            size,
            load=load,
            n_for_quotas=self._count_for_quotas(),
            now=read_boottime(),
            may_shrink=not self._catalogue.is_outage_recent(LOAD_SETTLE_S),
        )
        if size.n_wanted != n_before:
            log_event(
                LOGGER,
                "fleet_sized",
                service=service,
                n_servers=size.n_wanted,
                n_before=n_before,
                n_found=size.n_found,
                load=load,
                fence=self.lease.fence,
            )
        return size

    def _count_for_quotas(self) -> int:
        configuration = self._catalogue.configuration
        if configuration is None or not self.lease.is_first:
            return 0
        customers = configuration.customers.values()
        return count_for_quotas(c.rate for c in customers if c.counts_tokens)

    async def _place_order(
        self, service: Service, zone: str, n_servers: int, *, spot: bool
    ) -> None:
        """Sends an order unless it equals the last accepted one."""
        key = (service.name, zone, spot)
        if self._ordered.get(key, (None, 0.0))[0] == n_servers:
            return
        timeout_s = self._find_call_timeout()
        if not timeout_s or not self.lease.is_held():
            return
        outcome = await self._cloud.order_servers(
            service.name,
            zone,
            n_servers,
            spot=spot,
            fence=self.lease.fence,
            timeout_s=timeout_s,
        )
        now = read_boottime()
        log_event(
            LOGGER,
            "servers_ordered",
            service=service.name,
            zone=zone,
            spot=spot,
            n_servers=n_servers,
            outcome=outcome,
            fence=self.lease.fence,
        )
        if outcome is OrderOutcome.ACCEPTED:
            self._ordered[key] = (n_servers, now)
        elif spot:
            self._spot_retry_at[service.name, zone] = now + SPOT_RETRY_S
