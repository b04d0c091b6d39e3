"""Customers' quotas and services' retry budgets, shared by all daemons by gossip."""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Final

from ..logs import log_event
from ..policy.sharing import (
    QuotaState,
    RetryBudget,
    admit_units,
    earn_retries,
    predict_quota_wait,
    refill_quota,
    return_units,
    take_retry,
)
from .clock import read_boottime
from .member import Member
from .members import Members
from .model import Bounds, Customer

LOGGER: Final = logging.getLogger(__name__)

# Share of the platform's extra units that may be granted above the known level; the
# rest is for reports that were not received.
SLACK_SHARE: Final = 0.4
# Share of the burst with which a daemon opens a quota after its start, since the other
# daemons may have used up the burst.
STARTUP_BURST_SHARE: Final = 0.5
# Time after its start by which a daemon knows what the others have used.
STARTUP_S: Final = 4.0
# Shorter than a gossip round, so that a daemon is not missed for longer.
SILENT_SHARE_CACHE_S: Final = 0.1


class Quotas:
    """This daemon's view of all customers' quotas and services' retry budgets.

    Args:
        bounds: bounds that the platform declares.
        find_customer: returns a customer of the configuration in force; None for an
            unknown one.
    """

    def __init__(
        self, *, bounds: Bounds, find_customer: Callable[[str], Customer | None]
    ) -> None:
        self._bounds = bounds
        self._find_customer = find_customer
        self._started_at = read_boottime()
        self._states: dict[str, QuotaState] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._last_totals: dict[tuple[str, int], dict[str, float]] = {}
        self._reported_levels: dict[str, float] = {}
        self._members: Members | None = None
        self._silent_share = 0.0
        self._silent_share_at = float("-inf")

    def bind(self, members: Members) -> None:
        """Sets the membership, which is created after this object."""
        self._members = members

    def take_units(self, customer: Customer, units: float) -> float | None:
        """Takes the units of a request from its customer's quota.

        Returns:
            None if they were taken, else seconds after which to retry.
        """
        if customer.rate <= 0:
            return None
        state = self._refresh(customer)
        heard_share = 1.0 - self._measure_silent_share(state.updated_at)
        slack = self._bounds.quota_extra * SLACK_SHARE * heard_share
        if admit_units(state, units, slack):
            return None
        log_event(
            LOGGER,
            "quota_refused",
            customer=customer.name,
            units=units,
            held=state.level,
            slack=slack,
            rate=customer.rate,
            heard_share=heard_share,
        )
        return predict_quota_wait(state, units, slack, customer.rate)

    def refund(self, customer: Customer, units: float) -> None:
        """Returns the units of a request that did not run to its customer's quota."""
        if customer.rate <= 0:
            return
        return_units(self._refresh(customer), units)

    def note_request(self, service: str) -> None:
        """Adds to a service's retry budget for one request."""
        earn_retries(self._find_budget(service), ratio=self._bounds.retry_ratio)

    def take_retry(self, service: str) -> bool:
        """Takes one retry from a service's budget; returns False if it is used up."""
        assert self._members is not None
        return take_retry(
            self._find_budget(service),
            now=read_boottime(),
            extra=self._bounds.retry_extra,
            window_s=self._bounds.retry_window_s,
            n_members=self._members.count_members(),
        )

    def export_totals(self, used_since: float) -> dict[str, list[float]]:
        """Returns units used since the start and the known level, by customer.

        Args:
            used_since: boot-time clock; customers that used nothing since are omitted.
        """
        return {
            name: [round(state.used), round(state.level)]
            for name, state in self._states.items()
            if state.used_at >= used_since
        }

    def import_totals(
        self, member: Member, totals: Mapping[str, Any], *, whole: bool
    ) -> None:
        """Subtracts the units that another daemon used since its last report.

        Args:
            member: the other daemon.
            totals: the totals that it exported.
            whole: whether the totals include all customers of that daemon.
        """
        key = (member.name, member.incarnation)
        known = self._last_totals.get(key)
        if known is None and not whole:
            return
        if known is None:
            # The reported level already includes what that daemon used before.
            for stale in [k for k in self._last_totals if k[0] == member.name]:
                del self._last_totals[stale]
            known = self._last_totals[key] = {
                name: used for name, (used, _) in totals.items()
            }
            for name, (_, level) in totals.items():
                lowest_level = self._reported_levels.get(name, level)
                self._reported_levels[name] = min(lowest_level, level)
                state = self._states.get(name)
                if state is not None:
                    state.level = min(state.level, level)
            return
        self._subtract_used(known, totals)

    def import_row(self, member: Member, totals: Mapping[str, Any]) -> None:
        """Subtracts the units that a standby daemon used since its last row.

        Args:
            member: the standby daemon.
            totals: the totals that it exported, or those that changed.
        """
        key = (member.name, member.incarnation)
        known = self._last_totals.get(key)
        if known is None:
            for stale in [k for k in self._last_totals if k[0] == member.name]:
                del self._last_totals[stale]
            self._last_totals[key] = {name: used for name, (used, _) in totals.items()}
            return
        self._subtract_used(known, totals)

    def export_levels(self) -> dict[str, list[float]]:
        """Returns the known levels by customer, with their ages in seconds."""
        now = read_boottime()
        return {
            name: [round(state.level), round(now - state.updated_at, 2)]
            for name, state in self._states.items()
        }

    def import_levels(self, levels: Mapping[str, Any]) -> None:
        """Takes over the levels that an active daemon knows, while this one stands by.

        Units that this daemon used within the last moments may be missing in them.
        """
        now = read_boottime()
        for name, (level, age_s) in levels.items():
            self._reported_levels[name] = level
            state = self._states.get(name)
            if state is not None:
                state.level, state.updated_at = level, now - age_s

    def forget_totals(self) -> None:
        """Forgets the others' totals when this daemon changes its role.

        The next whole totals are those from which their use is counted again.
        """
        self._last_totals.clear()

    def _subtract_used(
        self, known: dict[str, float], totals: Mapping[str, Any]
    ) -> None:
        for name, (used, _) in totals.items():
            delta = used - known.get(name, 0.0)
            known[name] = used
            customer = self._find_customer(name) if delta else None
            if customer is not None and customer.rate > 0:
                # Also units of a customer that this daemon has not served yet.
                self._refresh(customer).level -= delta

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            now = read_boottime()
            budget = self._budgets[service] = RetryBudget(tokens=1.0, updated_at=now)
        return budget

    def _refresh(self, customer: Customer) -> QuotaState:
        now = read_boottime()
        state = self._states.get(customer.name)
        if state is None:
            level = customer.burst
            if now - self._started_at < STARTUP_S:
                level *= STARTUP_BURST_SHARE
            level = min(level, self._reported_levels.get(customer.name, level))
            state = QuotaState(level=level, updated_at=now)
            self._states[customer.name] = state
            log_event(LOGGER, "quota_opened", customer=customer.name, units=level)
        refill_quota(
            state,
            now=now,
            rate=customer.rate,
            burst=customer.burst,
            silent_share=self._measure_silent_share(now),
        )
        return state

    def _measure_silent_share(self, now: float) -> float:
        """Returns the share of all daemons that may serve but are not heard from."""
        assert self._members is not None
        if now - self._silent_share_at > SILENT_SHARE_CACHE_S:
            n_members = self._members.count_members()
            n_heard = len(self._members.list_alive()) + 1
            self._silent_share = max(0.0, 1.0 - n_heard / n_members)
            self._silent_share_at = now
        return self._silent_share
