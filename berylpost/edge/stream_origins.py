"""Remembers which software version began each stream, across the daemons.

Each daemon records the streams that it began or took up. While more than one version
of a service may have live streams, it also sends the records to a few other daemons, so
that a stream can be taken up after its daemon died. A daemon that does not know a
stream asks those. `policy.stream_version` makes the decisions.
"""

import asyncio
import itertools
import logging
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

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
from .model import Endpoint, ServingConfiguration
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
# By then the daemons that know the stream may answer again.
UNKNOWN_RETRY_S: Final = 0.5


class Origin(NamedTuple):
    """Where a stream began."""

    service: str
    version: str


class _Records(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Streams that the sender began: attempt, service, version."""

    streams: tuple[tuple[str, str, str], ...]


class _Query(msgspec.Struct, frozen=True, array_like=True, tag="query"):
    """Asks which version began a stream."""

    number: int
    attempt: str
    service: str


class _Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Answers a query.

    Attributes:
        origin: service and version; None if the stream is not known.
        possible: versions of the service that may have live streams.
    """

    number: int
    origin: tuple[str, str] | None
    possible: tuple[str, ...]


class _Inquiry:
    """The answers to one query; done when one knows or all have answered."""

    def __init__(self, *, n_asked: int) -> None:
        self.done = asyncio.Event()
        self.origin: Origin | None = None
        self.possible: set[str] = set()
        self.n_answers = 0
        self._n_asked = n_asked

    def add(self, answer: _Answer) -> None:
        """Adds one answer."""
        self.n_answers += 1
        self.possible.update(answer.possible)
        if answer.origin is not None:
            self.origin = Origin(*answer.origin)
        if self.origin is not None or self.n_answers >= self._n_asked:
            self.done.set()


class StreamOrigins:
    """The versions of the streams that callers may take up.

    Args:
        members: the other daemons.
        catalogue: source of the list of backend servers.
    """

    def __init__(self, *, members: Members, catalogue: Catalogue) -> None:
        self._members = members
        self._catalogue = catalogue
        self._origins: OrderedDict[str, tuple[float, Origin]] = OrderedDict()
        self._last_listed: dict[str, dict[str, float]] = {}
        self._listed: dict[str, set[str]] = {}
        self._memory_s = 0.0
        self._numbers = itertools.count(1)
        self._inquiries: dict[int, _Inquiry] = {}
        self._channel: DatagramChannel[_Records | _Query | _Answer] = DatagramChannel(
            members=members,
            mark=MESSAGE_MARK,
            message_type=_Records | _Query | _Answer,
            handle=self._handle,
        )

    def update(self, configuration: ServingConfiguration) -> None:
        """Notes the versions of the listed servers; call it when the catalogue changes.

        When a service gets a second version, the streams begun until then are sent to
        their keepers.
        """
        self._memory_s = MEMORY_TIMEOUTS * max(
            (r.timeout_s for g in configuration.routes.values() for r in g), default=0.0
        )
        listed: dict[str, set[str]] = {}
        for backend in self._catalogue.backends.values():
            listed.setdefault(backend.service, set()).add(backend.software_version)
        mixed_before = {name for name in listed if self._is_mixed(name)}
        self._note_listed()
        self._listed = listed
        self._note_listed()
        newly_mixed = {n for n in listed if self._is_mixed(n)} - mixed_before
        if newly_mixed:
            streams = [
                (attempt, origin)
                for attempt, (_, origin) in self._origins.items()
                if origin.service in newly_mixed
            ]
            self._send_records(streams)
            log_event(
                LOGGER,
                "versions_mixed",
                services=",".join(sorted(newly_mixed)),
                n_streams=len(streams),
            )

    def record(self, attempt: str, service: str, version: str) -> None:
        """Records the version of a stream whose first event has arrived."""
        origin = Origin(service, version)
        self._keep(attempt, origin)
        if self._is_mixed(service):
            self._send_records([(attempt, origin)])

    async def resolve(self, context: RequestContext) -> None:
        """Sets the service and version at which a caller's stream goes on.

        Raises:
            BerylpostError: the version is not known; the request has not run.
        """
        attempt = context.head.resumed_id
        known = self._origins.get(attempt)
        inquiry = _Inquiry(n_asked=0)
        if known is None:
            inquiry = await self._ask(attempt, context.service)
        origin = known[1] if known is not None else inquiry.origin
        possible = self._list_possible(context.service) | inquiry.possible
        version = choose_stream_version(
            origin.version if origin is not None else None,
            possible,
            is_current=inquiry.n_answers > 0
            or self._catalogue.read_confirmation_age() < MAX_CONFIRMATION_AGE_S,
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
            source="record" if known else "member" if origin else "list",
            possible=",".join(sorted(possible)),
            n_answers=inquiry.n_answers,
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
            self._keep(attempt, Origin(context.service, version))

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

    def _keep(self, attempt: str, origin: Origin) -> None:
        now = read_boottime()
        self._origins.pop(attempt, None)
        self._origins[attempt] = (now, origin)
        while self._origins:
            oldest = next(iter(self._origins))
            expired = now - self._origins[oldest][0] > self._memory_s
            if not expired and len(self._origins) <= MAX_RECORDS:
                break
            del self._origins[oldest]

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
            for start in range(0, len(records), MAX_RECORDS_PER_DATAGRAM):
                part = records[start : start + MAX_RECORDS_PER_DATAGRAM]
                self._channel.send(address, _Records(tuple(part)))

    async def _ask(self, attempt: str, service: str) -> _Inquiry:
        """Asks the daemons that may know a stream."""
        asked = self._rank_members(attempt)[:N_ASKED]
        inquiry = _Inquiry(n_asked=len(asked))
        if not asked:
            return inquiry
        number = next(self._numbers)
        self._inquiries[number] = inquiry
        query = _Query(number, attempt, service)
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

    def _handle(self, message: _Records | _Query | _Answer, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        match message:
            case _Records(streams):
                for attempt, service, version in streams:
                    self._keep(attempt, Origin(service, version))
            case _Query(number, attempt, service):
                known = self._origins.get(attempt)
                answer = _Answer(
                    number,
                    known[1] if known is not None else None,
                    tuple(sorted(self._list_possible(service))),
                )
                self._channel.send(address, answer)
            case _Answer(number):
                inquiry = self._inquiries.get(number)
                if inquiry is not None:
                    inquiry.add(message)
