"""The entry daemon: settings in, parts up, wait for SIGTERM, leave, exit."""

import asyncio
import gc
import logging
import os
import random
import signal
import sys
import time
from collections.abc import Mapping
from typing import Any, Final

import msgspec

from ..errors import BerylpostError, ErrorKind, PlatformError, SettingsError
from ..logs import log_event
from ..platform import names
from ..platform.boot import load_boot_settings
from ..platform.headers import parse_query
from ..policy.addresses import spread_over_zones
from .backend_table import BackendTable
from .callers import DEFAULT_LIMITS, CallerConnection, CallerRequest, CallerServer
from .catalogue import Catalogue
from .clock import read_boottime
from .duties import Duties
from .engine_notices import EngineNotices
from .forwarding import Forwarder
from .http_channel import HttpChannel
from .log_stream import FLUSH_S, LogStream, install_log_stream
from .members import Member, Members
from .metrics import observe_request, render_metrics
from .model import CallerLimits, EdgeSettings, Endpoint
from .quotas import Quotas
from .registration import Registration
from .store_watch import StoreWatch
from .usage import Usage
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

SWEEP_S: Final = 0.5
STATE_PATH: Final = "/state"
STATE_TIMEOUT_S: Final = 1.0  # a megabyte between neighbours at 10 Mbit/s
BRIDGE_AFTER_S: Final = 0.6  # a watch that answers brings the change sooner
DIFFERS_S: Final = 0.4  # two gossip rounds, in which a change may be on its way
RECENT_ROUNDS: Final = 3.0  # in which a changed total is told, so two may be lost
MAX_TOLD_AGE_S: Final = 1e6  # stands for never in the metrics
MAX_ADDRESSES: Final = 64  # more in one answer are not read by callers
DIRECTORY_TTL_S: Final = 2.0  # below the platform's longest; a leave is seen sooner
MIN_LEAVE_S: Final = 4.5  # answers of the directory older than that are few
EXIT_MARGIN_S: Final = 0.7  # before SIGKILL
IDLE_CLOSE_S: Final = 2.5  # idle callers' connections stay open after a stop begins


class EdgeDaemon:
    """All parts of one entry daemon.

    Args:
        settings: of this daemon.
        log_stream: flushed from the event loop.
    """

    def __init__(self, *, settings: EdgeSettings, log_stream: LogStream | None) -> None:
        self.settings = settings
        self._log_stream = log_stream
        self._incarnation = int(time.time() * 1_000)
        bounds = settings.bounds
        self.catalogue = Catalogue(revoke_s=bounds.revoke_s)
        self.quotas = Quotas(bounds=bounds)
        self.members = Members(
            settings=settings,
            incarnation=self._incarnation,
            make_body=self._make_gossip,
            take_body=self._take_gossip,
            read_progress=self._read_progress,
            on_progress=self._note_progress,
        )
        self.quotas.bind(self.members)
        self.registration = Registration(settings=settings, members=self.members)
        self.watch = StoreWatch(
            name=settings.name,
            address=settings.store,
            catalogue=self.catalogue,
            members=self.members,
        )
        self.usage = Usage(
            window_s=bounds.usage_window_s,
            read_wall_clock=self.members.estimate_wall_clock,
        )
        self.work = WorkMeter()
        self.table = BackendTable(
            zone=settings.zone,
            drain_s=bounds.drain_s,
            count_members=self.members.count_members,
            round_duration_s=self.members.round_duration_s,
        )
        self.notices = EngineNotices(
            table=self.table, read_store_age=self.catalogue.read_confirmation_age
        )
        self.forwarder = Forwarder(
            catalogue=self.catalogue,
            table=self.table,
            quotas=self.quotas,
            usage=self.usage,
            work_meter=self.work,
            observe=observe_request,
        )
        self.duties: Duties | None = None
        if settings.cloud is not None and settings.duties:
            self.duties = Duties(
                settings=settings,
                incarnation=self._incarnation,
                members=self.members,
                remove_lost=self.registration.remove_lost,
                catalogue=self.catalogue,
                usage=self.usage,
                read_work=lambda: self.work.sum_rates(self.members.count_members()),
            )
        self.front = CallerServer(
            handler=self.forwarder.serve, read_limits=self._read_limits
        )
        self._random = random.Random()
        self._control: list[CallerServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._behind_since: float | None = None
        self._differs_since: dict[str, float] = {}
        self._bridge: asyncio.Task[None] | None = None
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Runs until SIGTERM, then leaves."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_settings_changed)
        await self.start()
        await self._stop.wait()
        await self.leave()

    async def start(self) -> None:
        """Opens all sockets and starts all parts.

        Raises:
            OSError: an address is taken.
        """
        settings = self.settings
        self.catalogue.add_listener(self._follow_catalogue)
        await self.front.start(*settings.front)
        await self._listen(
            {names.READINESS_PATH: self._answer_ready}, settings.readiness
        )
        await self._listen(
            {names.DIRECTORY_PATH: self._answer_directory}, settings.directory
        )
        await self._listen({STATE_PATH: self._answer_state}, settings.peer)
        if settings.metrics is not None:
            await self._listen({"/metrics": self._answer_metrics}, settings.metrics)
        await self.members.start()
        self.registration.start()
        self.watch.start()
        self.notices.start()
        if self.duties is not None:
            self.duties.start()
        self._tasks.append(asyncio.create_task(self._sweep()))
        self._tasks.append(asyncio.create_task(self._flush_logs()))
        log_event(
            LOGGER,
            "daemon_started",
            daemon=settings.name,
            zone=settings.zone,
            front=settings.front,
            incarnation=self._incarnation,
        )

    async def _listen(self, paths: Mapping[str, Any], address: Endpoint) -> None:
        async def answer(request: CallerRequest, caller: CallerConnection) -> None:
            path = request.target.partition(b"?")[0].decode("latin-1")
            handler = paths.get(path)
            if handler is None:
                kind = ErrorKind.NOT_FOUND
                caller.answer_error(BerylpostError(kind, "no such call here"))
            else:
                handler(request, caller)

        server = CallerServer(handler=answer)
        await server.start(*address)
        self._control.append(server)

    async def leave(self) -> None:
        """Stops taking new callers, finishes what runs, and exits in time."""
        began_at = read_boottime()
        ends_at = began_at + self.settings.bounds.grace_s - EXIT_MARGIN_S
        log_event(LOGGER, "daemon_leaving", n_busy=self.front.count_busy())
        self.members.leaving = True
        self.front.leaving = True
        self.forwarder.admission.shutdown_at = ends_at
        self.members.announce(everyone=True)
        if self.duties is not None:
            await self.duties.stop()
        await self.registration.deregister()
        while read_boottime() < ends_at:
            elapsed_s = read_boottime() - began_at
            if elapsed_s > IDLE_CLOSE_S:
                self._close_idle()
            if elapsed_s > MIN_LEAVE_S and not self.front.count_busy():
                break
            await asyncio.sleep(0.1)
        self.watch.stop()
        self.notices.stop()
        self.members.announce(everyone=True)
        self.members.stop()
        for task in self._tasks:
            task.cancel()
        log_event(LOGGER, "daemon_stopped", n_busy=self.front.count_busy())
        self.front.close()
        if self._log_stream is not None:
            self._log_stream.flush_lines()

    def kill(self) -> None:
        """Drops everything at once, as the end of the process does."""
        self.watch.stop()
        self.notices.stop()
        self.registration.stop()
        self.members.stop()
        if self.duties is not None:
            self.duties.kill()
        for task in self._tasks:
            task.cancel()
        for server in (self.front, *self._control):
            server.kill()

    def _close_idle(self) -> None:
        horizon = read_boottime() - IDLE_CLOSE_S
        for connection in list(self.front.connections):
            if not connection.is_busy and connection.active_at < horizon:
                connection.close_when_written()

    def _note_settings_changed(self) -> None:
        """Tells of SIGHUP; addresses and identity change only with a restart."""
        try:
            fresh = load_boot_settings()
        except SettingsError as error:
            log_event(LOGGER, "reload_failed", logging.ERROR, error=error)
            return
        log_event(LOGGER, "settings_reloaded", changed=fresh != self.settings)

    def _read_limits(self) -> CallerLimits:
        held = self.catalogue.configuration
        return held.limits if held is not None else DEFAULT_LIMITS

    def _follow_catalogue(self) -> None:
        held = self.catalogue.configuration
        if held is not None:
            self.table.update(self.catalogue.backends, held.services)
            self.members.ready = True
            self._behind_since = None
            self.members.announce()

    @property
    def is_ready(self) -> bool:
        """Whether callers should come."""
        return (
            self.catalogue.configuration is not None
            and not self.members.leaving
            and self.catalogue.is_confirmed()
        )

    # Calls on the control addresses.

    def _answer_ready(self, request: CallerRequest, caller: CallerConnection) -> None:
        status = 200 if self.is_ready else 503
        caller.answer(status, b"", (), b"")

    def _answer_directory(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        port = self.settings.front.port
        alive = [m for m in self.members.list_alive() if m.ready and not m.leaving]
        entries = [(m.zone, Endpoint(m.ip, port)) for m in alive]
        if self.is_ready or not entries:
            entries.append((self.settings.zone, self.settings.front))
        # Every daemon is near: availability zones are a millisecond apart.
        chosen = spread_over_zones(
            entries,
            find_zone=lambda entry: entry[0],
            n_wanted=MAX_ADDRESSES,
            random_state=self._random,
        )
        document = {
            "Addresses": [str(address) for _, address in chosen],
            "TtlS": min(DIRECTORY_TTL_S, self.settings.bounds.address_ttl_s),
        }
        self._answer_json(caller, document)

    def _answer_state(self, request: CallerRequest, caller: CallerConnection) -> None:
        query = parse_query(request.target)
        since = [query.get(name, "") for name in ("configuration", "backends")]
        revisions = [int(text) if text.isdigit() else 0 for text in since]
        self._answer_json(caller, self.catalogue.export_state(*revisions))

    def _answer_metrics(self, request: CallerRequest, caller: CallerConnection) -> None:
        held = self.catalogue.configuration
        age_s = min(MAX_TOLD_AGE_S, self.catalogue.read_confirmation_age())
        gauges = {
            "members": len(self.members.list_alive()) + 1,
            "backends": len(self.catalogue.backends),
            "configuration_number": held.number if held else 0,
            "confirmation_age_seconds": round(age_s, 3),
            "busy_connections": self.front.count_busy(),
        }
        opened = sum(record.pool.n_opened for record in self.table.records.values())
        counters = {
            "store_watches": self.watch.n_calls,
            "peer_bytes": self.members.n_bytes,
            "upstream_connections": opened,
            "engine_probes": self.notices.n_asked,
        }
        body = render_metrics(gauges, counters)
        caller.answer(200, b"", ((b"content-type", b"text/plain"),), body)

    def _answer_json(self, caller: CallerConnection, document: Any) -> None:
        body = msgspec.json.encode(document)
        caller.answer(200, b"", ((b"content-type", b"application/json"),), body)

    # What goes between daemons.

    def _make_gossip(self, whole: bool) -> bytes:
        hold = self.duties.export_hold() if self.duties is not None else [0, 0]
        recent_s = RECENT_ROUNDS * self.members.round_duration_s()
        used_since = float("-inf") if whole else read_boottime() - recent_s
        return msgspec.msgpack.encode(
            [
                whole,
                self.table.export_loads(),
                self.table.export_parts(),
                self.quotas.export_totals(used_since),
                self.usage.export_counts(whole=whole),
                self.work.export_rates(),
                hold,
            ]
        )

    def _take_gossip(self, member: Member, body: Any) -> None:
        whole, loads, parts, totals, counts, rates, hold = body
        self.table.import_loads(member.name, loads)
        self.table.import_parts(parts)
        self.quotas.import_totals(member, totals, whole=whole)
        self.usage.import_counts(member.name, member.incarnation, counts)
        self.work.import_rates(member.name, rates)
        if self.duties is not None:
            self.duties.import_hold(member, hold)

    def _read_progress(self) -> tuple[int, float, int, int]:
        held = self.catalogue.configuration
        return (
            held.revision if held is not None else 0,
            self.catalogue.read_confirmation_age(),
            self.catalogue.backends_revision,
            self.catalogue.backends_digest,
        )

    def _note_progress(
        self,
        member: Member,
        configuration_revision: int,
        confirmed_at: float,
        backends_revision: int,
        backends_digest: int,
    ) -> None:
        catalogue = self.catalogue
        catalogue.confirm(configuration_revision, confirmed_at)
        own_configuration, _, own_backends, own_digest = self._read_progress()
        behind = (
            configuration_revision > own_configuration
            or backends_revision > own_backends
        )
        now = read_boottime()
        if not behind:
            # Equal revisions and other entries: one of the two has missed an end.
            differs = (
                member.watch_served
                and backends_revision == own_backends
                and backends_digest != own_digest
            )
            if not differs:
                self._differs_since.pop(member.name, None)
                return
            since = self._differs_since.setdefault(member.name, now)
            if now - since > DIFFERS_S and self._bridge is None:
                del self._differs_since[member.name]
                self._bridge = asyncio.create_task(self._fetch_state(member, 0))
            return
        if self._behind_since is None:
            self._behind_since = now
        # A watch of its own is likely to bring the change at this moment.
        patience_s = BRIDGE_AFTER_S if self.watch.is_served else 0.0
        if now - self._behind_since >= patience_s and self._bridge is None:
            self._bridge = asyncio.create_task(self._fetch_state(member, own_backends))

    async def _fetch_state(self, member: Member, backends_since: int) -> None:
        """Takes from a neighbour what this daemon has not seen; all from 0 on."""
        channel = HttpChannel(address=member.address, connect_timeout_s=STATE_TIMEOUT_S)
        held = self._read_progress()[0]
        target = f"{STATE_PATH}?configuration={held}&backends={backends_since}"
        try:
            answer = await channel.call("GET", target, timeout_s=STATE_TIMEOUT_S)
            if self.catalogue.import_state(msgspec.json.decode(answer.body)):
                log_event(LOGGER, "state_bridged", member=member.name)
                if self.watch.is_served:
                    self.watch.restart()
        except (PlatformError, msgspec.MsgspecError, KeyError, TypeError) as error:
            log_event(LOGGER, "bridge_failed", member=member.name, error=error)
        finally:
            channel.close()
            self._bridge = None
            self._behind_since = None

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.table.sweep()
            self.watch.tend()
            self.members.watch_served = self.watch.is_served
            self.members.ready = self.is_ready

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            if self._log_stream is not None:
                self._log_stream.flush_lines()


def main() -> int:
    """Runs the entry daemon.

    Returns:
        0 after a planned stop, 2 for settings that cannot be used.
    """
    try:
        settings = load_boot_settings()
    except SettingsError as error:
        print(f"berylpost edge: {error}", file=sys.stderr)
        return 2
    log_stream = install_log_stream(level=os.environ.get("BERYLPOST_LOG", "info"))
    gc.freeze()
    asyncio.run(EdgeDaemon(settings=settings, log_stream=log_stream).run())
    return 0
