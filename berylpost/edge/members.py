"""Membership of the entry daemons and what they tell each other.

Each daemon writes itself into the store when it starts and reads the list once; from
then on datagrams carry liveness, the revisions seen, usage, quotas and load. A lost
datagram costs one round: every figure is a running total. Datagrams fit here better
than ZeroMQ's streams, which hold back and deliver old state after a cut.
"""

import asyncio
import logging
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from ..platform import names
from ..platform.object_store import ObjectStore
from ..platform.object_wire import ConflictError
from .clock import read_age_clock
from .model import EdgeSettings, Endpoint

LOGGER: Final = logging.getLogger(__name__)

ROUND_S: Final = 0.25  # four rounds fit into the second after which callers give up
FULL_MESH: Final = 12  # daemons up to which every round reaches everyone
FAN_OUT: Final = 8  # daemons reached in a round beyond that
ALIVE_S: Final = 1.6  # six rounds without a datagram; loses none to chance at 3% loss
FORGET_S: Final = 20.0  # a VM that is suspended or cut off for less comes back as known
RELIST_S: Final = 5.0  # how often a daemon that hears nobody lists the others again
N_INTRODUCED: Final = 4  # other daemons named in each datagram

_ENCODER: Final = msgspec.msgpack.Encoder()


class Gossip(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One datagram.

    Attributes:
        stamp: sender's age clock when it was made.
        echo: the receiver's last stamp that the sender has seen, 0 for none.
        echo_incarnation: of the receiver when it sent that stamp.
        wall: sender's time of day.
        leaving: the sender takes no new callers.
        ready: the sender serves.
        configuration_revision: that the sender holds.
        confirmation_age: of that revision, seconds, when the datagram was made.
        backends_revision: up to which the sender has seen changes.
        backends_digest: equal for daemons that know the same entries.
        watch_served: the sender watches the store and is answered.
        introduced: names and addresses of other daemons.
        body: running totals, opaque here.
    """

    name: str
    incarnation: int
    ip: str
    zone: str
    stamp: float
    echo: float
    echo_incarnation: int
    wall: float
    leaving: bool
    ready: bool
    configuration_revision: int
    confirmation_age: float
    backends_revision: int
    backends_digest: int
    watch_served: bool
    introduced: tuple[tuple[str, str, int], ...]
    body: msgspec.Raw


_DECODER: Final = msgspec.msgpack.Decoder(Gossip)


@dataclass(slots=True, kw_only=True)
class Member:
    """Another daemon as heard.

    Attributes:
        heard_at: age clock of the last datagram; -inf when never heard.
        last_stamp: the newest stamp of its own that it sent.
        confirmation_age: of its configuration when it last spoke, seconds.
        clock_offset: this VM's age clock less the member's, at the least: a stamp
            that the member has seen came before the one that it answers with.
        wall_offset: its time of day less this VM's age clock.
    """

    name: str
    address: Endpoint
    ip: str
    zone: str = ""
    incarnation: int = 0
    heard_at: float = float("-inf")
    listed_at: float = 0.0
    last_stamp: float = 0.0
    wall_offset: float | None = None
    leaving: bool = False
    ready: bool = False
    confirmation_age: float = float("inf")
    watch_served: bool = False
    clock_offset: float = float("-inf")


class Members:
    """The other daemons of the deployment.

    Args:
        settings: of this daemon.
        incarnation: higher at each start on the same VM.
        make_body: makes the running totals for a round.
        take_body: called with a member and its decoded totals.
        read_progress: configuration revision, its confirmation's age, and the
            revision and digest of the backend servers, as held here.
        on_progress: called with a member's configuration revision, the age clock at
            which that was confirmed at the earliest, and its backends' revision and
            digest.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        incarnation: int,
        make_body: Callable[[], bytes],
        take_body: Callable[[Member, Any], None],
        read_progress: Callable[[], tuple[int, float, int, int]],
        on_progress: Callable[[Member, int, float, int, int], None],
    ) -> None:
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.ready = False
        self.watch_served = False
        self.n_bytes = 0
        self._settings = settings
        self.incarnation = incarnation
        self._make_body = make_body
        self._take_body = take_body
        self._read_progress = read_progress
        self._on_progress = on_progress
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._revision = 0

    async def start(self) -> None:
        """Opens the socket and starts the rounds.

        Raises:
            OSError: the address is taken.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(tuple(self._settings.peer))
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive), sock=sock
        )
        self._tasks = [
            asyncio.create_task(self._run_rounds()),
            asyncio.create_task(self._register()),
        ]

    def stop(self) -> None:
        """Ends the rounds and closes the socket."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def list_alive(self) -> list[Member]:
        """Lists the daemons that were heard lately."""
        horizon = read_age_clock() - ALIVE_S
        return [m for m in self.members.values() if m.heard_at >= horizon]

    def count_fleet(self) -> int:
        """Counts daemons that may be serving, this one and silent ones included."""
        horizon = read_age_clock() - FORGET_S
        known = sum(
            1
            for m in self.members.values()
            if max(m.heard_at, m.listed_at) >= horizon and not m.leaving
        )
        return known + 1

    def estimate_wall_clock(self) -> float:
        """Returns the time of day as most daemons see it, Unix seconds.

        One VM's clock may jump; the median over the daemons does not.
        """
        now = read_age_clock()
        offsets = [time.time() - now]
        offsets += [
            m.wall_offset for m in self.list_alive() if m.wall_offset is not None
        ]
        offsets.sort()
        middle = len(offsets) // 2
        if len(offsets) % 2:
            return now + offsets[middle]
        return now + (offsets[middle - 1] + offsets[middle]) / 2

    def announce(self) -> None:
        """Sends a round at once."""
        self._send_round()

    async def deregister(self) -> None:
        """Takes this daemon out of the store; failure leaves it to the others."""
        store = ObjectStore(address=self._settings.store)
        try:
            await store.delete(names.KIND_MEMBERS, self._settings.name)
        except PlatformError as error:
            log_event(LOGGER, "deregister_failed", logging.WARNING, error=error)
        finally:
            store.close()

    async def remove_lost(self) -> None:
        """Takes daemons that were silent for long out of the store; duty of one."""
        now = read_age_clock()
        lost = [
            m
            for m in self.members.values()
            if now - max(m.heard_at, m.listed_at) > FORGET_S
        ]
        if not lost:
            return
        store = ObjectStore(address=self._settings.store)
        try:
            for member in lost:
                await store.delete(names.KIND_MEMBERS, member.name)
                self.members.pop(member.name, None)
                log_event(LOGGER, "member_removed", member=member.name)
        except PlatformError as error:
            log_event(LOGGER, "remove_member_failed", logging.WARNING, error=error)
        finally:
            store.close()

    async def _register(self) -> None:
        """Writes this daemon into the store, then reads the others until heard."""
        settings = self._settings
        store = ObjectStore(address=settings.store)
        spec = {
            "ip": settings.ip,
            "port": settings.peer.port,
            "zone": settings.zone,
            "incarnation": self.incarnation,
        }
        registered = False
        while True:
            try:
                if not registered:
                    registered = await self._write_entry(store, spec)
                listing = await store.list_objects(names.KIND_MEMBERS)
                for item in listing.items:
                    self._introduce_entry(item.name, item.spec)
            except PlatformError as error:
                log_event(LOGGER, "register_failed", logging.WARNING, error=error)
                await asyncio.sleep(random.uniform(0.3, 0.8))
                continue
            await asyncio.sleep(RELIST_S * random.uniform(0.8, 1.2))
            while self.list_alive():
                await asyncio.sleep(RELIST_S)

    async def _write_entry(self, store: ObjectStore, spec: Any) -> bool:
        name = self._settings.name
        try:
            await store.create(names.KIND_MEMBERS, name, spec)
        except ConflictError as conflict:
            if conflict.current is not None and conflict.current.spec != spec:
                revision = conflict.current.revision
                await store.replace(names.KIND_MEMBERS, name, spec, revision=revision)
        return True

    def _introduce_entry(self, name: str, spec: Any) -> None:
        if name == self._settings.name or not isinstance(spec, dict):
            return
        ip, port = spec.get("ip"), spec.get("port")
        if isinstance(ip, str) and isinstance(port, int):
            self._introduce(name, ip, port)

    def _introduce(self, name: str, ip: str, port: int) -> None:
        known = self.members.get(name)
        if known is not None or name == self._settings.name:
            return
        address = Endpoint(ip, port)
        self.members[name] = Member(
            name=name, address=address, ip=ip, listed_at=read_age_clock()
        )
        self._send_to([self.members[name]])

    async def _run_rounds(self) -> None:
        while True:
            try:
                self._send_round()
            except Exception:
                LOGGER.exception("event=gossip_error")
            await asyncio.sleep(ROUND_S * random.uniform(0.9, 1.1))

    def _send_round(self) -> None:
        now = read_age_clock()
        current = [
            m
            for m in self.members.values()
            if now - max(m.heard_at, m.listed_at) <= FORGET_S
        ]
        if len(current) > FULL_MESH:
            current = random.sample(current, FAN_OUT)
        self._send_to(current)

    def _send_to(self, members: list[Member]) -> None:
        if self._transport is None or not members:
            return
        settings = self._settings
        body = msgspec.Raw(self._make_body())
        configuration_revision, age, backends_revision, digest = self._read_progress()
        alive = self.list_alive()
        picked = random.sample(alive, min(N_INTRODUCED, len(alive)))
        introduced = tuple((m.name, m.ip, m.address.port) for m in picked)
        for member in members:
            data = _ENCODER.encode(
                Gossip(
                    name=settings.name,
                    incarnation=self.incarnation,
                    ip=settings.ip,
                    zone=settings.zone,
                    stamp=read_age_clock(),
                    echo=member.last_stamp,
                    echo_incarnation=member.incarnation,
                    wall=time.time(),
                    leaving=self.leaving,
                    ready=self.ready,
                    configuration_revision=configuration_revision,
                    confirmation_age=age,
                    backends_revision=backends_revision,
                    backends_digest=digest,
                    watch_served=self.watch_served,
                    introduced=introduced,
                    body=body,
                )
            )
            self.n_bytes += len(data)
            self._transport.sendto(data, tuple(member.address))

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            gossip = _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        if gossip.name == self._settings.name:
            return
        self.n_bytes += len(data)
        member = self._find_sender(gossip, address)
        if member is None:
            return
        now = read_age_clock()
        if now - member.heard_at > ALIVE_S:
            log_event(LOGGER, "member_heard", member=gossip.name, zone=gossip.zone)
        member.heard_at = now
        member.last_stamp = gossip.stamp
        member.zone = gossip.zone
        member.leaving = gossip.leaving
        member.ready = gossip.ready
        member.confirmation_age = gossip.confirmation_age
        member.watch_served = gossip.watch_served
        member.wall_offset = gossip.wall - now
        for name, ip, port in gossip.introduced:
            self._introduce(name, ip, port)
        if gossip.echo and gossip.echo_incarnation == self.incarnation:
            offset = gossip.echo - gossip.stamp
            member.clock_offset = max(member.clock_offset, offset)
        else:
            # It has not heard this start of the daemon; the age clock may have begun
            # anew since. Its answer will tell the clocks apart.
            self._send_to([member])
        sent_at = gossip.stamp + member.clock_offset
        self._on_progress(
            member,
            gossip.configuration_revision,
            sent_at - max(0.0, gossip.confirmation_age),
            gossip.backends_revision,
            gossip.backends_digest,
        )
        try:
            body = msgspec.msgpack.decode(gossip.body)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        self._take_body(member, body)

    def _find_sender(self, gossip: Gossip, address: tuple[str, int]) -> Member | None:
        """Finds or adds the member; None for a datagram older than what is known."""
        member = self.members.get(gossip.name)
        silent = member is not None and (read_age_clock() - member.heard_at > ALIVE_S)
        # A restarted VM whose clock was set back has a lower incarnation.
        if (
            member is None
            or gossip.incarnation > member.incarnation
            or (silent and gossip.incarnation != member.incarnation)
        ):
            member = Member(
                name=gossip.name,
                address=Endpoint(gossip.ip, address[1]),
                ip=gossip.ip,
                incarnation=gossip.incarnation,
                listed_at=read_age_clock(),
            )
            self.members[gossip.name] = member
        if gossip.incarnation < member.incarnation or gossip.stamp < member.last_stamp:
            return None
        return member


class _Receiver(asyncio.DatagramProtocol):
    """Hands each datagram on."""

    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a datagram on."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Notes an address without a listener."""
        # An address without a listener; its silence is judged by `heard_at`.
        log_event(LOGGER, "datagram_refused", logging.DEBUG, error=exc)
