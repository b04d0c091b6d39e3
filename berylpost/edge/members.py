"""Membership of the entry daemons and what they tell each other.

Datagrams carry liveness, the revisions seen, usage, quotas and load, to every other
daemon in turn. A lost datagram costs one round: every figure is a running total.
Datagrams fit here better than ZeroMQ's streams, which hold back and deliver old state
after a cut. `registration` brings the first addresses.
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

from ..logs import log_event
from ..policy.rounds import (
    TICK_S,
    count_sends_per_tick,
    find_failure_timeout_s,
    find_round_s,
)
from .clock import read_boottime
from .model import EdgeSettings, Endpoint

LOGGER: Final = logging.getLogger(__name__)

FAN_OUT: Final = 8  # daemons told at once of news; they tell on, so few are left out
WHOLE_SHARE: Final = 0.125  # of ticks that tell all totals, for what was lost before
FORGET_S: Final = 20.0  # a VM that is suspended or cut off for less comes back as known
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
        knows_us: it has answered a datagram of this start, so it has all totals.
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
    knows_us: bool = False
    clock_offset: float = float("-inf")


class Members:
    """The other daemons of the deployment.

    Args:
        settings: of this daemon.
        incarnation: higher at each start on the same VM.
        make_body: makes the running totals: all, or those that changed lately.
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
        make_body: Callable[[bool], bytes],
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
        self._task: asyncio.Task[None] | None = None
        self._turn: list[Member] = []
        self._silence_s = find_failure_timeout_s(0)

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
        self._task = asyncio.create_task(self._run_rounds())

    def stop(self) -> None:
        """Ends the rounds and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def list_alive(self) -> list[Member]:
        """Lists the daemons that were heard lately."""
        horizon = read_boottime() - self._silence_s
        return [m for m in self.members.values() if m.heard_at >= horizon]

    def round_duration_s(self) -> float:
        """Returns seconds in which the daemons hear each other once."""
        return find_round_s(len(self._list_current()))

    def count_members(self) -> int:
        """Counts daemons that may be serving, this one and silent ones included."""
        horizon = read_boottime() - FORGET_S
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
        now = read_boottime()
        offsets = [time.time() - now]
        offsets += [
            m.wall_offset for m in self.list_alive() if m.wall_offset is not None
        ]
        offsets.sort()
        middle = len(offsets) // 2
        if len(offsets) % 2:
            return now + offsets[middle]
        return now + (offsets[middle - 1] + offsets[middle]) / 2

    def announce(self, *, everyone: bool = False) -> None:
        """Tells some other daemons at once, or all of them."""
        current = self._list_current()
        if not everyone and len(current) > FAN_OUT:
            current = random.sample(current, FAN_OUT)
        self._send_to(current)

    def introduce_entry(self, name: str, spec: Any) -> None:
        """Takes a daemon's entry in the store."""
        if not isinstance(spec, dict):
            return
        ip, port = spec.get("ip"), spec.get("port")
        if isinstance(ip, str) and isinstance(port, int):
            self._introduce(name, ip, port)

    def list_lost(self) -> list[str]:
        """Lists the daemons that were silent for so long that they are given up."""
        current = {member.name for member in self._list_current()}
        return [name for name in self.members if name not in current]

    def forget(self, name: str) -> None:
        """Drops a daemon that was given up."""
        self.members.pop(name, None)

    def _list_current(self) -> list[Member]:
        horizon = read_boottime() - FORGET_S
        return [
            m for m in self.members.values() if max(m.heard_at, m.listed_at) >= horizon
        ]

    def _introduce(self, name: str, ip: str, port: int) -> None:
        known = self.members.get(name)
        if known is not None or name == self._settings.name:
            return
        address = Endpoint(ip, port)
        self.members[name] = Member(
            name=name, address=address, ip=ip, listed_at=read_boottime()
        )
        self._send_to([self.members[name]])

    async def _run_rounds(self) -> None:
        while True:
            try:
                self._send_to(self._take_turn())
            except Exception:
                LOGGER.exception("event=gossip_error")
            await asyncio.sleep(TICK_S * random.uniform(0.9, 1.1))

    def _take_turn(self) -> list[Member]:
        """Returns the daemons to tell in this tick; a round tells each of them once."""
        current = self._list_current()
        self._silence_s = find_failure_timeout_s(len(current))
        n_told = count_sends_per_tick(len(current))
        if n_told >= len(current):
            return current
        if len(self._turn) < n_told:
            random.shuffle(current)
            told = {member.name for member in self._turn}
            self._turn += [member for member in current if member.name not in told]
        told_now, self._turn = self._turn[:n_told], self._turn[n_told:]
        return [m for m in told_now if self.members.get(m.name) is m]

    def _send_to(self, members: list[Member]) -> None:
        if self._transport is None or not members:
            return
        settings = self._settings
        bodies: dict[bool, msgspec.Raw] = {}
        tell_all = random.random() < WHOLE_SHARE
        configuration_revision, age, backends_revision, digest = self._read_progress()
        alive = self.list_alive()
        picked = random.sample(alive, min(N_INTRODUCED, len(alive)))
        introduced = tuple((m.name, m.ip, m.address.port) for m in picked)
        for member in members:
            whole = tell_all or not member.knows_us
            if whole not in bodies:
                bodies[whole] = msgspec.Raw(self._make_body(whole))
            data = _ENCODER.encode(
                Gossip(
                    name=settings.name,
                    incarnation=self.incarnation,
                    ip=settings.ip,
                    zone=settings.zone,
                    stamp=read_boottime(),
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
                    body=bodies[whole],
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
        now = read_boottime()
        if now - member.heard_at > self._silence_s:
            # What changed meanwhile was told to others only.
            member.knows_us = False
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
            member.knows_us = True
        else:
            member.knows_us = False
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
        silent = member is not None and (
            read_boottime() - member.heard_at > self._silence_s
        )
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
                listed_at=read_boottime(),
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
