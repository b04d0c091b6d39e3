"""The task that knows the backend servers and hears early which ones leave.

A few daemons a zone ask the cloud API for its list of VMs; what they find spreads
by news, so that calls to the cloud do not grow with the fleet and a notice reaches
every daemon in well under the three seconds after which no new work may go there.
"""

import logging
import random
import time
from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

from .errors import PlatformError
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .logs import log_event
from .messages import Backend
from .peers import AnnounceBackends, BackendsReceived
from .platform.cloud import HttpCloud, Vm
from .policy.membership import Table, choose_watchers, list_active

LOGGER: Final = logging.getLogger(__name__)
GONE_AFTER_MISSES: Final = 3  # the list lags; one absence proves nothing
ROLES: Final = frozenset({"engine", "service", "daemon"})
_RANK: Final = {"running": 0, "leaving": 1, "gone": 2}


def merge_backends(
    known: Mapping[str, Backend], heard: Iterable[Backend]
) -> tuple[Mapping[str, Backend], tuple[Backend, ...]]:
    """Takes news in; a server's state only moves forward.

    Returns:
        The new table and the records that changed it.
    """
    changed = tuple(
        backend
        for backend in heard
        if backend.id not in known
        or _RANK[backend.state] > _RANK[known[backend.id].state]
    )
    if not changed:
        return known, ()
    return {**known, **{b.id: b for b in changed}}, changed


def describe_vm(vm: Vm) -> Backend:
    """Turns a VM of the cloud's list into a backend server's record."""
    return Backend(
        id=vm.id,
        role=vm.role,
        name=vm.name,
        deployment=vm.deployment,
        address=vm.address,
        zone=vm.zone,
        state="leaving" if vm.notice_at else "running",
        deadline=vm.notice_at,
    )


class BackendsTask(MailboxTask):
    """Holds the table of backend servers; see the module's docstring."""

    def __init__(self, *, context: Context, cloud: HttpCloud) -> None:
        super().__init__(
            name="backends", handle=self._handle_message, tick=self._advance
        )
        self._context = context
        self._cloud = cloud
        self._members: Slot[Table] = context.slots["members"]
        self._table: Slot[Mapping[str, Backend]] = context.slots["backends"]
        self._misses: dict[str, int] = {}
        self._random = random.Random(f"{context.settings.daemon.id}/{time.time_ns()}")
        self._listeners = ("relay", "services", "drain")

    def _handle_message(self, message: Any) -> None:
        if isinstance(message, BackendsReceived):
            self._merge(message.backends)

    def _merge(self, heard: Iterable[Backend]) -> None:
        table, changed = merge_backends(self._table.read(), heard)
        if not changed:
            return
        self._table.publish(table)
        # Whoever learns something new passes it on at once; see `peers`.
        self._context.post("peers", AnnounceBackends(backends=changed))
        for backend in changed:
            log_event(
                LOGGER, "backend_changed", backend=backend.id, state=backend.state
            )
        for listener in self._listeners:
            if listener in self._context.tasks:
                self._context.post(listener, BackendsReceived(backends=changed))

    def _advance(self) -> float:
        settings = self._context.settings
        active = list_active(self._members.read())
        n_scouts = settings.platform.watchers_per_zone
        scouts = choose_watchers(active, settings.daemon.zone, n_scouts)
        empty = not self._table.read()
        if settings.daemon.id in scouts or empty:
            try:
                self._take_list(self._cloud.list_vms())
            except PlatformError as error:
                log_event(LOGGER, "cloud_unavailable", logging.WARNING, error=error)
        return settings.platform.vm_poll_s * self._random.uniform(0.8, 1.2)

    def _take_list(self, vms: tuple[Vm, ...]) -> None:
        deployments = self._context.settings.daemon.deployments
        listed = [
            describe_vm(vm)
            for vm in vms
            if vm.role in ROLES and vm.deployment in deployments and vm.address
        ]
        ids = {backend.id for backend in listed}
        gone = []
        for backend in self._table.read().values():
            if backend.id in ids or backend.state == "gone":
                self._misses.pop(backend.id, None)
                continue
            misses = self._misses.get(backend.id, 0) + 1
            self._misses[backend.id] = misses
            if misses >= GONE_AFTER_MISSES or backend.state == "leaving":
                gone.append(_mark_gone(backend))
        self._merge([*listed, *gone])


def _mark_gone(backend: Backend) -> Backend:
    return msgspec.structs.replace(backend, state="gone")


def _build(context: Context) -> BackendsTask:
    platform = context.settings.platform
    cloud = HttpCloud(url=platform.cloud, timeout_s=platform.timeout_s)
    return BackendsTask(context=context, cloud=cloud)


register_plugin(Plugin(name="backends", requires=("peers",), build=_build))
