"""Remembers which software version began each stream, across the daemons.

Each daemon records the streams that it began or took up. While more than one version
of a service may have live streams, it also sends the records to a few other daemons, so
that a stream can be taken up after its daemon died. A daemon that does not know a
stream asks those. Before, it sends them to two heirs, in batches: if it is silent when
the second version comes, they send its records on. What outlasts all daemons is in
`stream_store`: a daemon begins no stream at a version that comes beside another one
until the store has a table of its streams, so that those of a silent daemon without a
table are of the earlier version. `policy.stream_version` makes the decisions.
"""

import asyncio
import itertools
import logging
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any, Final

from ..errors import ErrorKind
from ..logs import log_event
from ..policy.stream_version import (
    N_ASKED,
    N_KEEPERS,
    choose_stream_version,
    list_possible_versions,
    rank_keepers,
)
from .catalogue import Catalogue
from .clock import read_boottime
from .datagrams import DatagramChannel
from .gossip import MESSAGE_MARK
from .member import Member
from .members import Members
from .model import EdgeSettings, Endpoint, ServingConfiguration
from .store_era import StoreEra
from .stream_messages import Answer, Inquiry, Query, Records
from .stream_store import StreamStore, Versions
from .stream_tables import Origin, hash_attempt, name_stream
from .work import RequestContext, make_refusal

LOGGER: Final = logging.getLogger(__name__)

# A caller may take a stream up just before its route's time-out and wait as long again.
MEMORY_TIMEOUTS: Final = 2.0
MAX_RECORDS: Final = 20_000  # two minutes of 52 streams a second and their copies
MAX_RECORDS_PER_DATAGRAM: Final = 16  # 64 bytes each, below the usual MTU
# Time for the answers of other daemons; a round trip takes a few milliseconds.
ANSWER_TIMEOUT_S: Final = 0.15
# Without an answer, the own list of servers counts as current for this long after its
# last confirmation.
MAX_CONFIRMATION_AGE_S: Final = 2.0
# Daemons that get the records of one that begins streams of a single version.
N_HEIRS: Final = 2
# Streams of this time are not known when their daemon falls silent.
BATCH_S: Final = 0.25
# Time in which a daemon that is not silent sends a datagram, at least.
SILENCE_S: Final = 0.5
STORE_TIMEOUT_S: Final = 0.4  # a read takes a few milliseconds
# Error of the times in the store; a clock that jumps is off by seconds.
CLOCK_ERROR_S: Final = 10.0
# By then the daemons that know the stream may answer again.
UNKNOWN_RETRY_S: Final = 0.5


class StreamOrigins:
    """The versions of the streams that callers may take up.

    Args:
        settings: settings of this daemon.
        members: the other daemons.
        catalogue: source of the list of backend servers.
        era: era of the store.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        members: Members,
        catalogue: Catalogue,
        era: StoreEra,
    ) -> None:
        self._name = settings.name
        self._members = members
        self._catalogue = catalogue
        # Time, origin, and the daemon that sent the record, by attempt.
        self._origins: OrderedDict[str, tuple[float, Origin, Endpoint | None]] = (
            OrderedDict()
        )
        # Streams that the heirs have not been told of.
        self._batch: list[tuple[str, Origin]] = []
        self._last_listed: dict[str, dict[str, float]] = {}
        self._listed: dict[str, set[str]] = {}
        # The only version that each service had before it got several.
        self._earlier: dict[str, str] = {}
        self._memory_s = 0.0
        # Services with streams that callers may take up.
        self._services: frozenset[str] = frozenset()
        # Streams that this daemon began or took up, by the hash of their attempt.
        self._own: OrderedDict[int, tuple[float, Origin]] = OrderedDict()
        self._started_at = read_boottime()
        self._numbers = itertools.count(1)
        self._inquiries: dict[int, Inquiry] = {}
        self._channel: DatagramChannel[Records | Query | Answer] = DatagramChannel(
            members=members,
            mark=MESSAGE_MARK,
            message_type=Records | Query | Answer,
            handle=self._handle,
        )
        self._store = StreamStore(
            name=settings.name,
            address=settings.store,
            era=era,
            members=members,
            list_versions=self._list_versions,
            list_streams=self._list_mixed_streams,
            read_memory=lambda: self._memory_s,
            is_complete=self._is_complete,
            merge=self._merge_stored,
        )

    def start(self) -> None:
        """Starts to read and write what outlasts all daemons."""
        self._store.start()

    def stop(self) -> None:
        """Stops."""
        self._store.stop()

    def update(self, configuration: ServingConfiguration) -> None:
        """Notes the versions of the listed servers; call it when the catalogue changes.

        When a service gets a second version, the streams begun until then are sent to
        their keepers.
        """
        self._memory_s = MEMORY_TIMEOUTS * max(
            (r.timeout_s for g in configuration.routes.values() for r in g), default=0.0
        )
        self._services = frozenset(
            share.service
            for group in configuration.routes.values()
            for route in group
            if route.can_resume
            for share in route.shares
        )
        listed: dict[str, set[str]] = {}
        for backend in self._catalogue.backends.values():
            listed.setdefault(backend.service, set()).add(backend.software_version)
        before = {name: self._list_possible(name) for name in listed}
        mixed_before = {name for name in listed if len(before[name]) > 1}
        self._note_listed()
        if listed != self._listed:
            self._store.notify()
        self._listed = listed
        self._note_listed()
        newly_mixed = {n for n in listed if self._is_mixed(n)} - mixed_before
        for name in newly_mixed:
            self._earlier.pop(name, None)
            if len(before[name]) == 1:
                (self._earlier[name],) = before[name]
        if newly_mixed:
            streams = [
                (attempt, origin)
                for attempt, (_, origin, sender) in self._origins.items()
                if origin.service in newly_mixed and sender is None
            ]
            self._send_records(streams)
            asyncio.get_running_loop().call_later(
                max(SILENCE_S, 2 * self._members.round_duration_s()),
                self._send_for_silent,
                read_boottime(),
                newly_mixed,
            )
            log_event(
                LOGGER,
                "versions_mixed",
                services=",".join(sorted(newly_mixed)),
                n_streams=len(streams),
            )

    def record(self, attempt: str, service: str, version: str) -> None:
        """Records the version of a stream whose first event has arrived."""
        origin = Origin(service, version)
        attempt = name_stream(attempt)
        self._keep(attempt, origin)
        self._keep_own(attempt, origin)
        if self._is_mixed(service):
            self._send_records([(attempt, origin)])
            return
        if not self._batch:
            asyncio.get_running_loop().call_later(BATCH_S, self._send_batch)
        self._batch.append((attempt, origin))

    async def resolve(self, context: RequestContext) -> None:
        """Sets the service and version at which a caller's stream goes on.

        Raises:
            BerylpostError: the version is not known; the request has not run.
        """
        attempt = name_stream(context.head.resumed_id)
        known = self._origins.get(attempt)
        inquiry = Inquiry(n_asked=0)
        if known is None:
            inquiry = await self._ask(
                attempt, context.service, self._rank_members(attempt)[:N_ASKED]
            )
        origin = known[1] if known is not None else inquiry.origin
        stored = None
        earlier = None
        if origin is None and attempt:
            stored, are_tables_known = await self._find_stored(
                attempt, context.service, inquiry
            )
            origin = stored
            if origin is None and are_tables_known:
                origin, earlier = await self._find_earlier(attempt, context.service)
        possible = self._list_possible(context.service) | inquiry.possible
        version = choose_stream_version(
            origin.version if origin is not None else None,
            possible,
            is_current=self._is_current(inquiry),
            earlier=earlier,
        )
        if origin is not None and origin.service in (
            share.service for share in context.route.shares
        ):
            context.service = origin.service
        log_event(
            LOGGER,
            "stream_taken_up",
            id=context.head.id,
            resumed=attempt,
            after=context.head.last_event_id,
            service=context.service,
            version="unknown" if version is None else version,
            source=_name_source(known, stored, origin),
            possible=",".join(sorted(possible)),
            n_answers=inquiry.n_answers,
            complete=self._is_complete() or inquiry.is_complete,
            confirmed_s=self._catalogue.read_confirmation_age(),
        )
        if version is None:
            raise make_refusal(
                ErrorKind.NO_BACKEND,
                "the software version that began the stream is not known",
                UNKNOWN_RETRY_S,
            )
        context.stream_version = version
        if attempt:
            origin = Origin(context.service, version)
            self._keep(attempt, origin)
            self._keep_own(attempt, origin)

    async def _find_stored(
        self, attempt: str, service: str, inquiry: Inquiry
    ) -> tuple[Origin | None, bool]:
        """Looks a stream up in the store, unless one version only can have begun it.

        Returns:
            The origin, and whether all tables that the store has are known.
        """
        digest = hash_attempt(attempt)
        found = self._store.find(digest)
        is_known = False
        versions = self._list_possible(service) | inquiry.possible
        if found is None and (len(versions) != 1 or not self._is_current(inquiry)):
            is_known = await self._store.refresh(STORE_TIMEOUT_S)
            found = self._store.find(digest)
        return found, is_known

    def choose_first_version(self, service: str) -> str | None:
        """Returns the version at which a new stream should begin; None for any.

        Until the store has this daemon's table, others take its streams for ones of the
        earlier version if it falls silent.
        """
        if self._store.has_table or not self._is_mixed(service):
            return None
        return self._earlier.get(service)

    async def _find_earlier(
        self, attempt: str, service: str
    ) -> tuple[Origin | None, str | None]:
        """Asks all daemons that may have begun a stream at another version.

        Returns:
            The origin if one of them knows the stream; the earlier version if all of
            them have answered and none does.
        """
        earlier = self._earlier.get(service)
        tabled = self._store.tabled - {self._name}
        members = {member.name: member for member in self._members.list_reachable()}
        if earlier is None or tabled - members.keys():
            return None, None
        asked = [members[name] for name in tabled]
        inquiry = await self._ask(attempt, service, asked)
        has_all = inquiry.n_answers == len(asked) and inquiry.origin is None
        return inquiry.origin, earlier if has_all else None

    def _is_complete(self) -> bool:
        """Tells whether this daemon knows all versions that may have live streams."""
        age_s = read_boottime() - self._started_at
        return self._store.was_complete or age_s > self._memory_s > 0

    def _is_current(self, inquiry: Inquiry) -> bool:
        """Tells whether no other version than those known can have begun a stream."""
        if inquiry.is_complete:
            return True
        age_s = self._catalogue.read_confirmation_age()
        is_fresh = inquiry.n_answers > 0 or age_s < MAX_CONFIRMATION_AGE_S
        return self._is_complete() and is_fresh

    def _list_versions(self) -> dict[str, list[str]] | None:
        """Lists the versions that serve now; None until servers are known."""
        if not self._listed:
            return None
        return {
            service: sorted(versions)
            for service, versions in self._listed.items()
            if service in self._services
        }

    def _list_mixed_streams(self) -> dict[int, Origin] | None:
        """Lists this daemon's live streams of services with several versions."""
        mixed = {service for service in self._services if self._is_mixed(service)}
        if not mixed:
            return None
        self._drop_expired(self._own)
        return {
            digest: origin
            for digest, (_, origin) in self._own.items()
            if origin.service in mixed
        }

    def _merge_stored(self, versions: Versions, own: Mapping[int, Origin]) -> None:
        """Takes over what is stored."""
        now = read_boottime()
        for service, ages in versions.items():
            last_listed = self._last_listed.setdefault(service, {})
            for version, age_s in ages.items():
                last_listed.setdefault(version, now - max(0.0, age_s - CLOCK_ERROR_S))
        for digest, origin in own.items():
            # This daemon's table is about to be replaced.
            self._own.setdefault(digest, (now, origin))

    def _note_listed(self) -> None:
        """Stamps the versions listed until now."""
        now = read_boottime()
        for service, versions in self._listed.items():
            self._last_listed.setdefault(service, {}).update(
                dict.fromkeys(versions, now)
            )

    def _list_possible(self, service: str) -> frozenset[str]:
        self._note_listed()
        return list_possible_versions(
            self._last_listed.get(service, {}),
            now=read_boottime(),
            memory_s=self._memory_s,
        )

    def _is_mixed(self, service: str) -> bool:
        return len(self._list_possible(service)) > 1

    def _keep(
        self, attempt: str, origin: Origin, sender: Endpoint | None = None
    ) -> None:
        now = read_boottime()
        self._origins.pop(attempt, None)
        self._origins[attempt] = (now, origin, sender)
        self._drop_expired(self._origins)

    def _keep_own(self, attempt: str, origin: Origin) -> None:
        self._own[hash_attempt(attempt)] = (read_boottime(), origin)
        self._drop_expired(self._own)

    def _drop_expired(self, records: OrderedDict[Any, Any]) -> None:
        """Drops records, which begin with their time, if too old or too many."""
        now = read_boottime()
        while records:
            oldest = next(iter(records))
            expired = now - records[oldest][0] > self._memory_s
            if not expired and len(records) <= MAX_RECORDS:
                break
            del records[oldest]

    def _rank_members(self, attempt: str) -> list[Member]:
        alive = {member.name: member for member in self._members.list_alive()}
        return [alive[name] for name in rank_keepers(attempt, alive)]

    def _send_records(self, streams: Iterable[tuple[str, Origin]]) -> None:
        """Sends records to their keepers."""
        by_keeper: dict[Endpoint, list[tuple[str, str, str]]] = {}
        for attempt, origin in streams:
            for member in self._rank_members(attempt)[:N_KEEPERS]:
                by_keeper.setdefault(member.address, []).append((attempt, *origin))
        for address, records in by_keeper.items():
            self._send_parts(address, records)

    def _send_parts(
        self, address: Endpoint, records: list[tuple[str, str, str]]
    ) -> None:
        for start in range(0, len(records), MAX_RECORDS_PER_DATAGRAM):
            part = records[start : start + MAX_RECORDS_PER_DATAGRAM]
            self._channel.send(address, Records(tuple(part)))

    def _send_batch(self) -> None:
        """Sends new streams to the heirs of this daemon."""
        records = [(attempt, *origin) for attempt, origin in self._batch]
        self._batch = []
        for member in self._rank_members(self._name)[:N_HEIRS]:
            self._send_parts(member.address, records)

    def _send_for_silent(self, since: float, services: set[str]) -> None:
        """Sends the records of daemons that have not been heard to their keepers.

        Args:
            since: boot-time clock at which the services got a second version.
            services: names of the services.
        """
        heard = {
            member.address
            for member in self._members.members.values()
            if max(member.last_received_at, member.heard_at) >= since
        }
        streams = [
            (attempt, origin)
            for attempt, (_, origin, sender) in self._origins.items()
            if origin.service in services and sender is not None and sender not in heard
        ]
        if streams:
            log_event(LOGGER, "streams_of_silent_daemons", n_streams=len(streams))
            self._send_records(streams)

    async def _ask(self, attempt: str, service: str, asked: list[Member]) -> Inquiry:
        """Asks daemons whether they know a stream."""
        inquiry = Inquiry(n_asked=len(asked))
        if not asked:
            return inquiry
        number = next(self._numbers)
        self._inquiries[number] = inquiry
        query = Query(number, attempt, service)
        for member in asked:
            self._channel.send(member.address, query)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await inquiry.done.wait()
        except TimeoutError:
            pass  # the caller of this method sees which answers are missing
        finally:
            del self._inquiries[number]
        return inquiry

    def _handle(self, message: Records | Query | Answer, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        match message:
            case Records(streams):
                for attempt, service, version in streams:
                    self._keep(attempt, Origin(service, version), address)
            case Query(number, attempt, service):
                known = self._origins.get(attempt)
                answer = Answer(
                    number,
                    known[1] if known is not None else None,
                    tuple(sorted(self._list_possible(service))),
                    self._is_complete(),
                )
                self._channel.send(address, answer)
            case Answer(number):
                inquiry = self._inquiries.get(number)
                if inquiry is not None:
                    inquiry.add(message)


def _name_source(known: Any, stored: Origin | None, origin: Origin | None) -> str:
    """Names where a stream's origin comes from, for log lines."""
    if known is not None:
        return "record"
    if stored is not None:
        return "store"
    return "list" if origin is None else "member"
