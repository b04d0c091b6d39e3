"""State that this daemon keeps of each backend server besides its entry in the store.

It covers this daemon's outstanding requests, the loads that other daemons report,
recent failures, the prompt parts that the server was sent, and the connections to it.
`policy.placement` makes its decisions on snapshots of this state.
"""

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from ..logs import log_event
from ..policy.brittle import has_room
from ..policy.placement import BackendLoad
from .clock import read_boottime
from .connection_pool import ConnectionPool
from .model import Backend, BackendState, PromptPart, Service
from .paths import BackendPaths

LOGGER: Final = logging.getLogger(__name__)

# Weight of one outcome in the exponential moving average of the failure rate.
FAILURE_WEIGHT: Final = 0.15
# A server that failed for the first time, for example by a reset of the connection, is
# suspect for this long.
FIRST_SUSPECT_S: Final = 0.8
# Longest time that a server is suspect; shorter than the outages of several seconds
# that servers recover from.
MAX_SUSPECT_S: Final = 6.0
# Lifetime of a load report: six of the shortest gossip rounds.
REPORT_TTL_S: Final = 1.5
# Lifetime of a load report in gossip rounds where rounds are longer, so that the loss
# of one datagram does not lose the load.
REPORT_ROUNDS: Final = 2.2
CACHE_SHARE: Final = 0.8  # share of an engine's KV cache assumed to hold prompt parts
MIN_CONNECTIONS: Final = 4  # for each server, however many daemons share its limit
# Share of a server's connection limit that is used; the rest is for daemons that are
# not yet counted.
CONNECTION_SHARE: Final = 0.9
# Urgency levels counted separately in load reports; the deployments' specification uses
# three, and all others share the last one.
N_URGENCIES: Final = 4
# Time for which a sent part is reported: three gossip rounds, so one may be lost.
PARTS_REPORT_S: Final = 0.8
# Time for which a sent part is reported, in gossip rounds, where rounds are longer;
# most parts are reported twice.
PARTS_REPORT_ROUNDS: Final = 1.6
# Maximum number of parts in one datagram, 1.5 KB; a daemon sends up to 40 parts per
# second.
MAX_REPORTED_PARTS: Final = 64
# Longer ids are not reported, so that no caller's text fills a datagram.
MAX_REPORTED_ID_CHARS: Final = 64
# Share of the process's memory for the parts in all engines' KV caches. On a machine of
# 160 MB it holds 60,000 parts.
PART_SHARE: Final = 0.1
# Bytes of memory for a part beside its id.
PART_BYTES: Final = 256
PARTS_LOG_S: Final = 1.0  # between two log lines about parts that were given up
# Part of an engine's known parts that is given up at once.
GIVE_UP_SHARE: Final = 0.125
# A server that is still listed as ready this long after its announced shutdown is
# taken to have restarted.
RESTART_AFTER_S: Final = 5.0
# Weight of one answer in the exponential moving average of the answer time.
ANSWER_TIME_WEIGHT: Final = 0.1


class BackendRecord:
    """State that this daemon keeps of one backend server.

    Attributes:
        pending_tokens: prompt tokens that were sent and whose first output token has
            not arrived, by urgency.
        answered_at: boot-time clock at its last answer.
        suspect_since: boot-time clock at which it last became suspect.
        suspect_until: boot-time clock until which the server is suspect.
        mean_answer_s: moving average of comparable answer times; 0 when unknown.
        cached_parts: tokens of the prompt parts in the engine's KV cache, by part id,
            least recently used first.
        n_cached_tokens: sum of the tokens in `cached_parts`.
        n_part_bytes: memory that `cached_parts` takes.
        shutdown_at: boot-time clock at which a leaving server shuts down, else None.
        has_known_end: whether the server named that time itself.
        leaving: set once the server is known to be leaving.
        bad_limit: malformed request rate that it named last.
        bad_leaving: malformed value that said last whether it leaves.
        bad_brittle: malformed value that said last whether it is brittle.
        n_connecting: requests of this daemon that wait for a connection.
        refused_at: boot-time clock when it last turned a request away.
    """

    def __init__(
        self, *, backend: Backend, paths: BackendPaths, n_connections: int
    ) -> None:
        self.backend = backend
        self.pool = ConnectionPool(
            backend=backend, paths=paths, n_max=n_connections, clock=read_boottime
        )
        self.n_outstanding = 0
        self.pending_tokens = [0.0] * N_URGENCIES
        self.failure_rate = 0.0
        self.n_failures_in_row = 0
        self.answered_at = float("-inf")
        self.suspect_since = float("-inf")
        self.suspect_until = 0.0
        self.mean_answer_s = 0.0
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.n_cached_tokens = 0
        self.n_part_bytes = 0
        self.shutdown_at: float | None = None
        self.has_known_end = False
        self.leaving = asyncio.Event()
        self.bad_limit = b""
        self.bad_leaving = b""
        self.bad_brittle = b""
        self.n_connecting = 0
        self.refused_at = float("-inf")


class BackendTable:
    """State of all backend servers, by id and by service.

    Args:
        zone: availability zone of this daemon.
        paths: opens connections to the servers.
        drain_s: how long a leaving server still serves, in seconds, if it does not
            announce a time.
        count_members: returns how many daemons share the servers' connections.
        round_duration_s: returns the seconds of a gossip round, in which each daemon
            sends to every other one once.
        memory_bytes: memory that the process may use.

    Attributes:
        n_parts_given_up: prompt parts forgotten since all take too much memory.
        n_part_bytes: memory that the prompt parts in all engines' KV caches take.
    """

    def __init__(
        self,
        *,
        zone: str,
        paths: BackendPaths,
        drain_s: float,
        count_members: Callable[[], int],
        round_duration_s: Callable[[], float],
        memory_bytes: float,
    ) -> None:
        self.records: dict[str, BackendRecord] = {}
        self.n_parts_given_up = 0
        self.n_part_bytes = 0
        self._parts_logged_at = float("-inf")
        self._part_limit = memory_bytes * PART_SHARE
        self._zone = zone
        self._paths = paths
        self._drain_s = drain_s
        self._count_members = count_members
        self._round_duration_s = round_duration_s
        self._by_service: dict[str, list[BackendRecord]] = {}
        self._reports: dict[str, tuple[float, Mapping[str, Any]]] = {}
        self._services: Mapping[str, Service] = {}
        self._sent_parts: deque[tuple[float, str, PromptPart]] = deque(
            maxlen=MAX_REPORTED_PARTS
        )
        self._is_leaving: Callable[[Backend], bool] = lambda _backend: False

    def bind_leaving(self, is_leaving: Callable[[Backend], bool]) -> None:
        """Sets what tells whether a server itself said that it leaves."""
        self._is_leaving = is_leaving

    def update(
        self, backends: Mapping[str, Backend], services: Mapping[str, Service]
    ) -> None:
        """Adds, replaces and removes records to match the catalogue."""
        self._services = services
        for name in self.records.keys() - backends.keys():
            self.records.pop(name).pool.close()
        by_service: dict[str, list[BackendRecord]] = {}
        for name, backend in backends.items():
            service = services.get(backend.service)
            if service is None:
                continue
            record = self.records.get(name)
            if record is None or record.backend.address != backend.address:
                record = self.records[name] = self._make_record(backend, service)
            elif self._has_restarted(record, backend):
                # The server restarted with the same id; it has lost its state.
                record.pool.close()
                record = self.records[name] = self._make_record(backend, service)
            record.backend = backend
            self._note_leaving(record)
            by_service.setdefault(backend.service, []).append(record)
        self._by_service = by_service

    def _make_record(self, backend: Backend, service: Service) -> BackendRecord:
        return BackendRecord(
            backend=backend,
            paths=self._paths,
            n_connections=self._share_connections(service),
        )

    def _has_restarted(self, record: BackendRecord, backend: Backend) -> bool:
        """Tells whether a server has restarted with the same id."""
        if record.backend.started_ms != backend.started_ms:
            return True
        if backend.started_ms:
            # What leaves stays so until it starts again, whatever its entry says.
            return False
        if record.shutdown_at is None or backend.state is not BackendState.READY:
            return False
        # The entry may still say READY for a while after the server's own notice.
        overdue_s = read_boottime() - record.shutdown_at
        return (
            record.backend.state is BackendState.LEAVING or overdue_s > RESTART_AFTER_S
        )

    def _note_leaving(self, record: BackendRecord) -> None:
        """Records the shutdown time of a server that says that it is leaving."""
        backend = record.backend
        leaves = backend.state is BackendState.LEAVING or self._is_leaving(backend)
        if leaves and record.shutdown_at is None:
            self._set_leaving(record, backend.leaves_in_s)
        elif leaves and backend.leaves_in_s is not None and not record.has_known_end:
            # The entry names a time after the server said only that it leaves.
            self._set_leaving(record, backend.leaves_in_s)

    def record_leaving_notice(
        self, record: BackendRecord, left_s: float | None
    ) -> None:
        """Records a server's own notice that it is leaving."""
        if record.shutdown_at is None:
            self._set_leaving(record, left_s)

    def _set_leaving(self, record: BackendRecord, left_s: float | None) -> None:
        record.shutdown_at = read_boottime() + (
            self._drain_s if left_s is None else left_s
        )
        record.has_known_end = left_s is not None
        record.leaving.set()
        log_event(
            LOGGER, "backend_leaving", backend=record.backend.id, goes_in_s=left_s
        )

    def list_engines(self) -> list[BackendRecord]:
        """Returns the model engines that are not known to be leaving."""
        return [
            record
            for record in self.records.values()
            if record.shutdown_at is None and self._is_engine(record)
        ]

    def _is_engine(self, record: BackendRecord) -> bool:
        service = self._services.get(record.backend.service)
        return service is not None and service.engine is not None

    def list_usable(
        self, service: str, tried: Iterable[str] = (), version: str | None = None
    ) -> list[BackendRecord]:
        """Returns the servers of a service that accept new requests.

        Args:
            service: name of the service.
            tried: ids of servers to leave out.
            version: software version that the servers must have; None for any. A
                server that may have come back at another version before its entry
                says so is left out.
        """
        avoided = set(tried)
        servers = self._by_service.get(service, ())
        usable = [
            record
            for record in servers
            if record.shutdown_at is None
            and record.backend.id not in avoided
            and version in (None, record.backend.software_version)
        ]
        if version is None:
            return usable
        sure = [record for record in usable if record.pool.may_reach_known()]
        return sure if sure or self._is_mixed(service) else usable

    def needs_known(self, record: BackendRecord, version: str | None) -> bool:
        """Tells whether a connection must lead to the process of a server's entry.

        Args:
            record: the server that was chosen.
            version: software version at which a stream goes on; None for any.
        """
        is_mixed = self._is_mixed(record.backend.service)
        return version is not None and (is_mixed or record.pool.may_reach_known())

    def _is_mixed(self, service: str) -> bool:
        """Tells whether the servers of a service have several versions."""
        servers = self._by_service.get(service, ())
        return len({record.backend.software_version for record in servers}) > 1

    def find_version(self, record: BackendRecord) -> str:
        """Returns the version of a server that answers now.

        Args:
            record: the server when the request was sent. The connections of a process
                end with it, so it is the new process that answers after a restart.
        """
        return self.records.get(record.backend.id, record).backend.software_version

    def is_usable(self, record: BackendRecord) -> bool:
        """Tells whether a server may be sent a request at this moment."""
        return (
            self.records.get(record.backend.id) is record and record.shutdown_at is None
        )

    def view_loads(
        self, records: Iterable[BackendRecord], urgency: int = N_URGENCIES - 1
    ) -> list[BackendLoad]:
        """Returns snapshots of the servers' loads for the placement decision.

        Args:
            records: the servers.
            urgency: urgency of the request; engines prefill more urgent prompts first.
        """
        now = read_boottime()
        reports = self._list_reports(now)
        median_answer_s = self._find_median_answer_s(records)
        views = []
        for record in records:
            backend = record.backend
            n_outstanding = record.n_outstanding
            pending = sum(record.pending_tokens[: urgency + 1])
            other_outstanding = other_pending = 0.0
            for report in reports:
                entry = report.get(backend.id)
                if entry is not None:
                    other_outstanding += entry[0]
                    other_pending += sum(entry[1 : urgency + 2])
            n_outstanding += round(other_outstanding)
            pending += other_pending
            slow_factor = (
                record.mean_answer_s / median_answer_s
                if median_answer_s and record.mean_answer_s
                else 1.0
            )
            views.append(
                BackendLoad(
                    id=backend.id,
                    slots=backend.slots,
                    n_outstanding=n_outstanding,
                    pending_tokens=pending,
                    failure_rate=record.failure_rate,
                    slow_factor=min(8.0, max(0.5, slow_factor)),
                    suspect=now < record.suspect_until,
                    near=backend.zone == self._zone,
                )
            )
        return views

    def has_room(self, record: BackendRecord, share: int) -> bool:
        """Tells whether a brittle server probably takes another request.

        Args:
            record: the server.
            share: requests that this daemon may have there.
        """
        now = read_boottime()
        n_own = record.n_outstanding + record.n_connecting
        name = record.backend.id
        reports = (report.get(name) for report in self._list_reports(now))
        n_others = sum(entry[0] for entry in reports if entry is not None)
        return has_room(
            slots=record.backend.slots,
            n_own=n_own,
            share=share,
            n_known=n_own + round(n_others),
            since_refusal_s=now - record.refused_at,
        )

    def count_daemons(self) -> int:
        """Returns the number of daemons that share the servers."""
        return self._count_members()

    def _list_reports(self, now: float) -> list[Mapping[str, Any]]:
        """Returns the load reports of other daemons that have not expired."""
        ttl_s = max(REPORT_TTL_S, REPORT_ROUNDS * self._round_duration_s())
        return [r for at, r in self._reports.values() if now - at < ttl_s]

    def count_uncached(
        self, record: BackendRecord, parts: tuple[PromptPart, ...]
    ) -> float:
        """Counts the prompt tokens that are not in an engine's KV cache.

        A part counts as cached only if all parts before it are cached.
        """
        total = sum(part.n_tokens for part in parts)
        for part in parts:
            if part.id not in record.cached_parts:
                break
            total -= part.n_tokens
        return float(total)

    def note_prompt(self, record: BackendRecord, parts: tuple[PromptPart, ...]) -> None:
        """Records a prompt sent to an engine, to be reported to the other daemons."""
        self._record_cached_parts(record, parts)
        now = read_boottime()
        self._sent_parts.extend(
            (now, record.backend.id, part)
            for part in parts[:-1]
            if len(part.id) <= MAX_REPORTED_ID_CHARS
        )

    def export_parts(self) -> dict[str, list[PromptPart]]:
        """Returns recently sent shared parts by engine, for the other daemons."""
        report_s = max(PARTS_REPORT_S, PARTS_REPORT_ROUNDS * self._round_duration_s())
        horizon = read_boottime() - report_s
        while self._sent_parts and self._sent_parts[0][0] < horizon:
            self._sent_parts.popleft()
        reported: dict[str, list[PromptPart]] = {}
        for _, backend, part in self._sent_parts:
            reported.setdefault(backend, []).append(part)
        return reported

    def import_parts(self, reported: Mapping[str, Iterable[Any]]) -> None:
        """Records prompt parts that another daemon has sent to engines."""
        for backend, parts in reported.items():
            record = self.records.get(backend)
            if record is not None:
                self._record_cached_parts(
                    record, tuple(PromptPart(*part) for part in parts)
                )

    def _record_cached_parts(
        self, record: BackendRecord, parts: tuple[PromptPart, ...]
    ) -> None:
        """Adds parts to an engine's cache record; evicts the least recently used."""
        service = self._services.get(record.backend.service)
        if service is None or service.engine is None:
            return
        n_bytes_before = record.n_part_bytes
        for part in parts:
            if part.id in record.cached_parts:
                record.cached_parts.move_to_end(part.id)
            else:
                record.cached_parts[part.id] = part.n_tokens
                record.n_cached_tokens += part.n_tokens
                record.n_part_bytes += PART_BYTES + len(part.id)
        bound = service.engine.kv_tokens * CACHE_SHARE
        while record.n_cached_tokens > bound and record.cached_parts:
            _evict_part(record)
        self.n_part_bytes += record.n_part_bytes - n_bytes_before
        if self.n_part_bytes > self._part_limit:
            self._keep_part_limit()

    def _keep_part_limit(self) -> None:
        """Forgets parts of the engines with the most, if all take too much memory."""
        self._sum_part_bytes()
        while self.n_part_bytes > self._part_limit:
            largest = max(self.records.values(), key=lambda r: r.n_part_bytes)
            n_bytes_before = largest.n_part_bytes
            n_parts = 1 + int(len(largest.cached_parts) * GIVE_UP_SHARE)
            for _ in range(n_parts):
                _evict_part(largest)
            self.n_parts_given_up += n_parts
            self.n_part_bytes += largest.n_part_bytes - n_bytes_before
        now = read_boottime()
        if now - self._parts_logged_at >= PARTS_LOG_S:
            self._parts_logged_at = now
            log_event(
                LOGGER,
                "parts_given_up",
                n_parts=self.n_parts_given_up,
                limit_bytes=self._part_limit,
            )

    def _sum_part_bytes(self) -> None:
        self.n_part_bytes = sum(r.n_part_bytes for r in self.records.values())

    def note_success(self, record: BackendRecord, answer_s: float | None) -> None:
        """Records an answer; `answer_s` is its duration, None if not comparable."""
        record.answered_at = read_boottime()
        record.failure_rate *= 1 - FAILURE_WEIGHT
        record.n_failures_in_row = 0
        record.suspect_until = 0.0
        if answer_s is not None:
            known = record.mean_answer_s or answer_s
            record.mean_answer_s = known + ANSWER_TIME_WEIGHT * (answer_s - known)

    def note_failure(
        self, record: BackendRecord, *, unreachable: bool, began_at: float
    ) -> None:
        """Records a failure.

        Args:
            record: the server.
            unreachable: whether the server may no longer exist.
            began_at: boot-time clock at which the attempt began. One that began before
                the server was suspect says nothing new, so that many requests that a
                short silence fails together do not add up.
        """
        # A server that has answered nothing since is silent rather than faulty, for
        # which it is suspect; a share of failures would outlast its silence.
        if not unreachable or record.answered_at > began_at:
            record.failure_rate += FAILURE_WEIGHT * (1 - record.failure_rate)
        if not unreachable or began_at < record.suspect_since:
            return
        record.n_failures_in_row += 1
        suspect_s = FIRST_SUSPECT_S * 2 ** min(4, record.n_failures_in_row - 1)
        record.suspect_since = read_boottime()
        record.suspect_until = record.suspect_since + min(MAX_SUSPECT_S, suspect_s)
        log_event(
            LOGGER,
            "backend_suspect",
            backend=record.backend.id,
            n_failures=record.n_failures_in_row,
            rest_s=min(MAX_SUSPECT_S, suspect_s),
        )

    def count_suspect(self) -> int:
        """Counts the servers that are suspect now."""
        now = read_boottime()
        return sum(now < record.suspect_until for record in self.records.values())

    def sum_loads(self) -> dict[str, list[float]]:
        """Returns the load of all known daemons on each server."""
        sums = self.export_loads()
        for report in self._list_reports(read_boottime()):
            for name, load in report.items():
                known = sums.get(name)
                sums[name] = (
                    list(load)
                    if known is None
                    else [a + b for a, b in zip(known, load, strict=True)]
                )
        return sums

    def import_summary(self, loads: Mapping[str, Any]) -> None:
        """Records the load of all daemons, which replaces their single reports."""
        self._reports = {"": (read_boottime(), loads)}

    def export_loads(self) -> dict[str, list[float]]:
        """Returns this daemon's load on each server, for the other daemons.

        Each list has the outstanding requests, then the pending tokens by urgency.
        """
        return {
            name: [record.n_outstanding, *map(round, record.pending_tokens)]
            for name, record in self.records.items()
            if record.n_outstanding
        }

    def import_loads(self, member: str, loads: Mapping[str, Any]) -> None:
        """Records the load report of another daemon."""
        self._reports[member] = (read_boottime(), loads)

    def sweep(self) -> None:
        """Closes idle connections, updates connection limits, drops old reports."""
        now = read_boottime()
        self._sum_part_bytes()
        for record in self.records.values():
            record.pool.sweep()
            service = self._services.get(record.backend.service)
            if service is not None:
                record.pool.n_max = self._share_connections(service)
        retention_s = 2 * max(REPORT_TTL_S, REPORT_ROUNDS * self._round_duration_s())
        for member in [
            m for m, (at, _) in self._reports.items() if now - at > retention_s
        ]:
            del self._reports[member]

    def _share_connections(self, service: Service) -> int:
        share = service.max_connections * CONNECTION_SHARE / self._count_members()
        return max(MIN_CONNECTIONS, int(share))

    def _find_median_answer_s(self, records: Iterable[BackendRecord]) -> float:
        answer_times = sorted(
            record.mean_answer_s for record in records if record.mean_answer_s
        )
        return answer_times[len(answer_times) // 2] if answer_times else 0.0


def _evict_part(record: BackendRecord) -> None:
    """Forgets the part of an engine that was used least recently."""
    part_id, n_tokens = record.cached_parts.popitem(last=False)
    record.n_cached_tokens -= n_tokens
    record.n_part_bytes -= PART_BYTES + len(part_id)
