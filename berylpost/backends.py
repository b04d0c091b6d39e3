"""The backends task, which keeps the table of backend servers and of their notices.

A few daemons per zone poll the cloud API's list of VMs and spread what changed to the
other daemons. Calls to the cloud therefore do not grow with the fleet, and a reclaim
notice reaches every daemon well within the three seconds after which no new work may
be sent to that server.
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
# The cloud's list lags, so a single absence does not prove that a VM is gone.
GONE_AFTER_MISSES: Final = 3
ROLES: Final = frozenset({"engine", "service", "daemon"})
_RANK: Final = {"running": 0, "leaving": 1, "gone": 2}


def _rank(backend: Backend) -> tuple[int, bool]:
    """Ranks what is known of a server; a leaving one may name its end later."""
    return _RANK[backend.state], backend.deadline > 0


def merge_backends(
    known: Mapping[str, Backend], received: Iterable[Backend]
) -> tuple[Mapping[str, Backend], tuple[Backend, ...]]:
    """Merges received records into the table; a server's state only moves forward.

    Returns:
        The new table, and the records that are new or changed a state.
    """
    changed = tuple(
        backend
        for backend in received
        if backend.id not in known or _rank(backend) > _rank(known[backend.id])
    )
    if not changed:
        return known, ()
    return {**known, **{b.id: b for b in changed}}, changed


def mark_leaving(
    known: Mapping[str, Backend], backend_id: str
) -> BackendsReceived | None:
    """Makes the message for a server that says in an answer that it leaves.

    Returns:
        The message to the backends task; None if it would tell nothing new.
    """
    backend = known.get(backend_id)
    if backend is None or backend.state != "running":
        return None
    log_event(LOGGER, "leaving_named", backend=backend_id)
    return BackendsReceived(
        backends=(msgspec.structs.replace(backend, state="leaving"),)
    )


def make_backend(vm: Vm) -> Backend:
    """Makes the record of a backend server from a VM of the cloud's list."""
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
    """Keeps the table of backend servers and tells other tasks of changes."""

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

    def _merge(self, received: Iterable[Backend]) -> None:
        table, changed = merge_backends(self._table.read(), received)
        if not changed:
            return
        self._table.publish(table)
        # A daemon forwards each change to others at once; see `peers`.
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
        n_watchers = settings.platform.watchers_per_zone
        watchers = choose_watchers(active, settings.daemon.zone, n_watchers)
        is_empty = not self._table.read()
        if settings.daemon.id in watchers or is_empty:
            try:
                self._merge_list(self._cloud.list_vms())
            except PlatformError as error:
                log_event(LOGGER, "cloud_unavailable", logging.WARNING, error=error)
        return settings.platform.vm_poll_s * self._random.uniform(0.8, 1.2)

    def _merge_list(self, vms: tuple[Vm, ...]) -> None:
        deployments = self._context.settings.daemon.deployments
        listed = [
            make_backend(vm)
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
