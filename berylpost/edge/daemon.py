"""Starts the components of the entry daemon and stops them on SIGTERM."""

import asyncio
import gc
import logging
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from ..errors import BerylpostError, ErrorKind, SettingsError
from ..logs import log_event
from ..platform import names
from ..platform.boot import load_boot_settings
from ..platform.headers import is_number, parse_query
from ..policy.addresses import spread_over_zones
from .backend_table import BackendTable
from .buffer_budget import BufferBudget
from .caller_requests import CallerRequest
from .caller_server import CONTROL_SHARE, CallerServer
from .callers import DEFAULT_LIMITS, CallerConnection
from .catalogue import Catalogue
from .clock import read_boottime
from .duties import Duties
from .engine_notices import ReclaimNoticePoller
from .era_record import EraRecord
from .forwarding import Forwarder
from .leaving_servers import LeavingServers
from .log_stream import FLUSH_S, LogStream, install_log_stream
from .loop_meter import LoopMeter
from .member import BodyKind, Member, Progress
from .members import Members
from .metrics import observe_request, render_metrics
from .model import (
    CallerLimits,
    ConfigurationRank,
    Customer,
    EdgeSettings,
    Endpoint,
)
from .paths import BackendPaths
from .quotas import Quotas
from .registration import Registration
from .request_quarantine import RequestQuarantine
from .rollouts import Rollouts
from .server_limits import RISK_MARK, ServerLimits
from .server_speeds import ServerSpeeds
from .speed_exchange import SpeedExchange
from .state_exchange import STATE_PATH, StateExchange
from .store_era import StoreEra
from .store_watch import StoreWatch
from .stream_origins import StreamOrigins
from .usage import Usage
from .work_meter import WorkMeter

LOGGER: Final = logging.getLogger(__name__)

SWEEP_INTERVAL_S: Final = 0.5
# Between two checks whether watchers of the store have fallen silent.
WATCH_CHECK_S: Final = 0.1
# A changed total is sent in this many rounds, so two datagrams may be lost.
RECENT_ROUNDS: Final = 3.0
MAX_REPORTED_AGE_S: Final = 1e6  # stands for "never" in the metrics
MAX_ADDRESSES: Final = 64  # callers read no more addresses from one answer
# Below the platform's maximum, so that callers notice a leaving daemon sooner.
DIRECTORY_TTL_S: Final = 2.0
# Few callers still use a directory answer that is older than this.
MIN_LEAVE_S: Final = 4.5
EXIT_MARGIN_S: Final = 0.7  # between the planned exit and SIGKILL
LEAVE_CHECK_S: Final = 0.1  # between two checks whether all callers are answered
LAST_CHECK_S: Final = 0.01  # the same after the last answers were ordered
LAST_ANSWERS_S: Final = 0.2  # to answer what is unfinished at the planned exit
# How long idle callers' connections stay open after shutdown begins.
IDLE_CLOSE_S: Final = 2.5


class EdgeDaemon:
    """All components of one entry daemon.

    Args:
        settings: settings of this daemon.
        log_stream: log handler that is flushed from the event loop, if any.
        loop_meter: measures the event loop; None if daemons share one.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        log_stream: LogStream | None,
        loop_meter: LoopMeter | None = None,
    ) -> None:
        self.settings = settings
        self._log_stream = log_stream
        self._incarnation = int(time.time() * 1_000)
        bounds = settings.bounds
        self.era = StoreEra()
        self.catalogue = Catalogue(
            revoke_s=bounds.revoke_s,
            heartbeat_s=bounds.heartbeat_s,
            memory_bytes=settings.memory_bytes,
        )
        self.era.add_listener(self.catalogue.begin_era)
        self.era.add_date_listener(self.catalogue.date_era)
        self.quotas = Quotas(bounds=bounds, find_customer=self._find_customer)
        self.members = Members(
            settings=settings,
            incarnation=self._incarnation,
            encode_body=self._encode_gossip_body,
            apply_body=self._apply_gossip_body,
            apply_row=self._apply_row,
            read_progress=self._read_progress,
            on_progress=self._handle_progress,
            on_role=self._handle_role,
            read_busy_share=loop_meter.read_share if loop_meter else lambda: 0.0,
            exclude_work=loop_meter.exclude if loop_meter else lambda _seconds: None,
        )
        self.quotas.bind(self.members)
        self.era_record = EraRecord(
            name=settings.name,
            address=settings.store,
            era=self.era,
            members=self.members,
        )
        self.registration = Registration(
            settings=settings, members=self.members, era=self.era
        )
        self.watch = StoreWatch(
            name=settings.name,
            address=settings.store,
            catalogue=self.catalogue,
            members=self.members,
            era=self.era,
        )
        self.state = StateExchange(
            catalogue=self.catalogue,
            members=self.members,
            watch=self.watch,
            read_progress=lambda: self._read_progress()[0],
        )
        self.usage = Usage(
            window_s=bounds.usage_window_s,
            read_wall_clock=self.members.estimate_wall_clock,
        )
        self.work = WorkMeter()
        self.paths = BackendPaths(
            settings=settings,
            members=self.members,
            find_backend=lambda name: self.catalogue.backends.get(name),
            count_backends=lambda: len(self.catalogue.backends),
            read_busy_share=loop_meter.read_share if loop_meter else lambda: 0.0,
        )
        self.table = BackendTable(
            zone=settings.zone,
            paths=self.paths,
            drain_s=bounds.drain_s,
            count_members=self.members.count_members,
            round_duration_s=self.members.round_duration_s,
            memory_bytes=settings.memory_bytes,
        )
        self.notice_poller = ReclaimNoticePoller(
            table=self.table, read_store_age=self.catalogue.read_confirmation_age
        )
        self.origins = StreamOrigins(
            settings=settings,
            members=self.members,
            catalogue=self.catalogue,
            era=self.era,
        )
        self.quarantine = RequestQuarantine(
            name=settings.name,
            store=settings.store,
            era=self.era,
            members=self.members,
            table=self.table,
        )
        self.limits = ServerLimits(
            name=settings.name, members=self.members, table=self.table
        )
        self.brittle = ServerLimits(
            name=settings.name,
            members=self.members,
            table=self.table,
            mark=RISK_MARK,
        )
        self.leaving_servers = LeavingServers(members=self.members, table=self.table)
        self.rollouts = Rollouts(
            settings=settings,
            incarnation=self._incarnation,
            members=self.members,
            catalogue=self.catalogue,
            era=self.era,
            watch=self.watch,
            find_lease=lambda: self.duties.lease if self.duties else None,
        )
        self.buffers = BufferBudget(memory_bytes=settings.memory_bytes)
        self.speeds = ServerSpeeds(
            find_service=self._find_service, random_state=random.Random()
        )
        self.speed_exchange = SpeedExchange(
            name=settings.name, members=self.members, speeds=self.speeds
        )
        self.forwarder = Forwarder(
            catalogue=self.catalogue,
            table=self.table,
            origins=self.origins,
            quarantine=self.quarantine,
            limits=self.limits,
            brittle=self.brittle,
            leaving=self.leaving_servers,
            rollouts=self.rollouts,
            quotas=self.quotas,
            usage=self.usage,
            work_meter=self.work,
            speeds=self.speeds,
            buffers=self.buffers,
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
                era=self.era,
                usage=self.usage,
                read_work=lambda: self.work.sum_rates(self.members.count_members()),
            )
            self.members.role.must_stay_active = self.duties.lease.is_held
        self.front = CallerServer(
            handler=self.forwarder.serve,
            read_limits=self._read_limits,
            buffers=self.buffers,
            name="front",
        )
        self.members.role.has_callers = lambda: bool(self.front.connections)
        self._random = random.Random()
        self._control_servers: list[CallerServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        await self.start()
        await self._stop.wait()
        await self.leave()

    async def start(self) -> None:
        """Opens all sockets and starts all components.

        Raises:
            OSError: an address is already in use.
        """
        settings = self.settings
        self.catalogue.add_listener(self._handle_catalogue_change)
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
        await self.paths.start()
        await self.members.start()
        self.era_record.start()
        self.registration.start()
        self.watch.start()
        self.notice_poller.start()
        self.origins.start()
        self.quarantine.start()
        self.limits.start()
        self.brittle.start()
        self.leaving_servers.start()
        self.speed_exchange.start()
        self.rollouts.start()
        if self.duties is not None:
            self.duties.start()
        self._tasks.append(asyncio.create_task(self._sweep()))
        self._tasks.append(asyncio.create_task(self._check_watch()))
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

        server = CallerServer(
            handler=answer,
            read_limits=self._read_limits,
            buffers=self.buffers,
            connection_share=CONTROL_SHARE,
            name=next(iter(paths)),
        )
        await server.start(*address)
        self._control_servers.append(server)

    async def leave(self) -> None:
        """Stops taking callers, finishes running requests and ends before SIGKILL."""
        began_at = read_boottime()
        grace_s = self.settings.bounds.grace_s
        closes_at = began_at + grace_s - EXIT_MARGIN_S
        ends_at = closes_at - LAST_ANSWERS_S
        log_event(LOGGER, "daemon_leaving", n_busy=self.front.count_busy())
        self.members.leaving = True
        for server in (self.front, *self._control_servers):
            server.leaving = True
        self.forwarder.admission.shutdown_at = ends_at
        self.members.announce(everyone=True)
        if self.duties is not None:
            await self.duties.stop()
        await self.registration.deregister()
        log_event(LOGGER, "platform_left", after_s=read_boottime() - began_at)
        while read_boottime() < ends_at:
            elapsed_s = read_boottime() - began_at
            if elapsed_s > IDLE_CLOSE_S:
                self.front.close_idle(IDLE_CLOSE_S)
            if elapsed_s > MIN_LEAVE_S and not self._has_unfinished():
                break
            await asyncio.sleep(LEAVE_CHECK_S)
        log_event(
            LOGGER,
            "callers_left",
            after_s=read_boottime() - began_at,
            n_busy=self.front.count_busy(),
            n_passed_on=self.paths.tunnels.n_open,
        )
        await self.front.end_requests(LAST_ANSWERS_S)
        while read_boottime() < closes_at and self._has_unfinished():
            await asyncio.sleep(LAST_CHECK_S)
        # No await between the last check and the close.
        for server in (self.front, *self._control_servers):
            server.note_unfinished()
            server.close()
        self.watch.stop()
        self.state.stop()
        self.notice_poller.stop()
        self.era_record.stop()
        self.origins.stop()
        self.quarantine.stop()
        self.limits.stop()
        self.brittle.stop()
        self.leaving_servers.stop()
        self.speed_exchange.stop()
        self.rollouts.stop()
        self.paths.stop()
        self.members.announce(everyone=True)
        self.members.stop()
        for task in self._tasks:
            task.cancel()
        log_event(
            LOGGER,
            "daemon_stopped",
            n_busy=self.front.count_busy(),
            after_s=read_boottime() - began_at,
            requests_open=self.front.account.n_open,
            **self.front.account.export_counts(),
        )
        if self._log_stream is not None:
            self._log_stream.flush_lines()

    def kill(self) -> None:
        """Stops at once without cleaning up, like a killed process."""
        self.watch.stop()
        self.state.stop()
        self.notice_poller.stop()
        self.era_record.stop()
        self.origins.stop()
        self.quarantine.stop()
        self.limits.stop()
        self.brittle.stop()
        self.leaving_servers.stop()
        self.speed_exchange.stop()
        self.rollouts.stop()
        self.paths.stop()
        self.registration.stop()
        self.members.stop()
        if self.duties is not None:
            self.duties.kill()
        for task in self._tasks:
            task.cancel()
        for server in (self.front, *self._control_servers):
            server.kill()

    def _has_unfinished(self) -> bool:
        """Tells whether the end of the process would leave a request unanswered."""
        servers = (self.front, *self._control_servers)
        tunnels = self.paths.tunnels
        return tunnels.has_unfinished() or any(s.has_unfinished() for s in servers)

    def _handle_sighup(self) -> None:
        """Logs a settings change; addresses and identity change only by a restart."""
        try:
            new_settings = load_boot_settings()
        except SettingsError as error:
            log_event(LOGGER, "reload_failed", logging.ERROR, error=error)
            return
        log_event(LOGGER, "settings_reloaded", changed=new_settings != self.settings)

    def _read_limits(self) -> CallerLimits:
        configuration = self.catalogue.configuration
        return configuration.limits if configuration is not None else DEFAULT_LIMITS

    def _handle_catalogue_change(self) -> None:
        configuration = self.catalogue.configuration
        if configuration is not None:
            self.table.update(self.catalogue.backends, configuration.services)
            self.origins.update(configuration)
            self.members.ready = True
            self.state.note_current()
            self.members.announce()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent to this daemon."""
        return (
            self.catalogue.configuration is not None
            and not self.members.leaving
            and self.catalogue.is_confirmed()
        )

    # Handlers of the control addresses.

    def _answer_ready(self, request: CallerRequest, caller: CallerConnection) -> None:
        status = 200 if self.is_ready else 503
        caller.answer(status, b"", (), b"")

    def _answer_directory(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        port = self.settings.front.port
        serving = self.members.list_serving_set()
        entries = [(m.zone, Endpoint(m.ip, port)) for m in serving]
        if (self.is_ready and self.members.is_serving) or not entries:
            entries.append((self.settings.zone, self.settings.front))
        # Any daemon is close enough: availability zones are a millisecond apart.
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
        texts = [
            query.get(name, "") for name in ("number", "configuration", "backends")
        ]
        number, revision, backends_since = (
            int(text) if is_number(text) else 0 for text in texts
        )
        rank = ConfigurationRank(number, revision)
        state = self.catalogue.export_state(rank, backends_since)
        self._answer_json(caller, state)

    def _answer_metrics(self, request: CallerRequest, caller: CallerConnection) -> None:
        configuration = self.catalogue.configuration
        age_s = min(MAX_REPORTED_AGE_S, self.catalogue.read_confirmation_age())
        gauges = {
            "members": len(self.members.list_reachable()) + 1,
            "active_members": len(self.members.list_alive()) + self.members.active,
            "active": float(self.members.active),
            "backends": len(self.catalogue.backends),
            "configuration_number": configuration.number if configuration else 0,
            "confirmation_age_seconds": round(age_s, 3),
            **self.front.read_gauges(),
            "held_parts": self.quarantine.n_held,
            "limited_servers": self.limits.n_limited,
            "brittle_servers": self.brittle.n_limited,
            "entry_bytes": self.catalogue.budget.n_held,
            "part_bytes": self.table.n_part_bytes,
            "suspect_servers": self.table.count_suspect(),
            "cut_links": self.paths.n_cut,
            "passed_on_connections": self.paths.tunnels.n_open,
            **self.speeds.read_errors(),
        }
        pools = [record.pool for record in self.table.records.values()]
        counters = {
            "store_watches": self.watch.n_calls,
            "peer_bytes": self.members.n_bytes,
            "upstream_connections": sum(pool.n_opened for pool in pools),
            "upstream_connects_timed_out": sum(pool.n_timed_out for pool in pools),
            "upstream_connects_refused": sum(pool.n_refused for pool in pools),
            "relayed_connects": self.paths.n_relayed,
            "passed_on_connects": self.paths.tunnels.n_opened,
            "declined_connects": self.paths.tunnels.n_refused,
            "engine_probes": self.notice_poller.n_queries,
            "bad_entries": self.catalogue.refused.n_noted,
            "entries_given_up": self.catalogue.n_given_up,
            "parts_given_up": self.table.n_parts_given_up,
            **self.front.read_counters(),
            "control_connections_displaced": self._count_control("closed"),
            "control_connections_rejected": self._count_control("rejected"),
        }
        rollout_gauges, rollout_counters = self.rollouts.export_metrics()
        body = render_metrics(
            {**gauges, **rollout_gauges}, {**counters, **rollout_counters}
        )
        caller.answer(200, b"", ((b"content-type", b"text/plain"),), body)

    def _count_control(self, name: str) -> int:
        return sum(server.counts[name] for server in self._control_servers)

    def _answer_json(self, caller: CallerConnection, document: Any) -> None:
        body = msgspec.json.encode(document)
        caller.answer(200, b"", ((b"content-type", b"application/json"),), body)

    # State exchanged with the other daemons.

    def _encode_gossip_body(self, kind: BodyKind) -> bytes:
        if kind is BodyKind.SUMMARY:
            return msgspec.msgpack.encode(
                [kind, self.table.sum_loads(), self.quotas.export_levels()]
            )
        hold = self.duties.export_hold() if self.duties is not None else [0, 0]
        whole = kind is BodyKind.WHOLE
        recent_s = RECENT_ROUNDS * self.members.round_duration_s()
        used_since = float("-inf") if whole else read_boottime() - recent_s
        return msgspec.msgpack.encode(
            [
                kind,
                self.table.export_loads(),
                self.table.export_parts(),
                self.quotas.export_totals(used_since),
                self.usage.export_counts(whole=whole),
                self.work.export_rates(),
                hold,
            ]
        )

    def _apply_gossip_body(self, member: Member, body: Any) -> None:
        if body[0] == BodyKind.SUMMARY:
            if not self.members.active:
                _, loads, levels = body
                self.table.import_summary(loads)
                self.quotas.import_levels(levels)
            return
        kind, loads, parts, totals, counts, rates, hold = body
        whole = kind == BodyKind.WHOLE
        if not member.active:
            self.members.note_row(member, totals, counts)
            self._apply_row(member, totals, counts)
            self.table.import_loads(member.name, loads)
            return
        self.table.import_loads(member.name, loads)
        self.table.import_parts(parts)
        self.quotas.import_totals(member, totals, whole=whole)
        self.usage.import_counts(member.name, member.incarnation, counts)
        self.work.import_rates(member.name, rates)
        if self.duties is not None:
            self.duties.import_hold(member, hold)

    def _apply_row(self, member: Member, totals: Any, counts: Any) -> None:
        self.quotas.import_row(member, totals)
        self.usage.import_counts(member.name, member.incarnation, counts)

    def _find_customer(self, name: str) -> Customer | None:
        configuration = self.catalogue.configuration
        return configuration.customers.get(name) if configuration else None

    def _find_service(self, backend: str) -> str:
        known = self.catalogue.backends.get(backend)
        return known.service if known is not None else ""

    def _handle_role(self, active: bool) -> None:
        self.quotas.forget_totals()

    def _read_progress(self) -> tuple[Progress, float]:
        catalogue = self.catalogue
        progress = Progress(
            era=catalogue.era,
            configuration=catalogue.read_rank(),
            backends_revision=catalogue.backends_revision,
            backends_digest=catalogue.backends_digest,
        )
        return progress, catalogue.read_confirmation_age()

    def _handle_progress(
        self, member: Member, progress: Progress, confirmed_at: float
    ) -> None:
        self.era.note_neighbour(progress.era)
        if progress.era != self.catalogue.era:
            return  # the member has yet to learn that the store was restored
        self.catalogue.confirm(progress.configuration, confirmed_at)
        self.state.note_progress(member, progress)

    async def _check_watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_CHECK_S)
            self.watch.update()
            self.members.watch_served = self.watch.is_served

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.table.sweep()
            self.speeds.sweep(self.table.records)
            self.members.ready = self.is_ready

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            if self._log_stream is not None:
                self._log_stream.flush_lines()


def main(
    make_loop: Callable[[LoopMeter], asyncio.AbstractEventLoop] = LoopMeter.make_loop,
) -> int:
    """Runs the entry daemon.

    Args:
        make_loop: makes the event loop, with the meter as its selector.

    Returns:
        0 after a graceful shutdown, 2 if the settings are invalid.
    """
    try:
        settings = load_boot_settings()
    except SettingsError as error:
        print(f"berylpost edge: {error}", file=sys.stderr)
        return 2
    log_stream = install_log_stream(level=os.environ.get("BERYLPOST_LOG", "info"))
    gc.freeze()
    meter = LoopMeter()
    with asyncio.Runner(loop_factory=lambda: make_loop(meter)) as runner:
        daemon = EdgeDaemon(settings=settings, log_stream=log_stream, loop_meter=meter)
        runner.run(daemon.run())
    # Handlers that the end of the loop has cancelled have logged since.
    log_event(LOGGER, "process_ends")
    log_stream.flush_lines()
    return 0
