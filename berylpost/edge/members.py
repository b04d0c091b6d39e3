"""Membership of the entry daemons and their gossip.

UDP datagrams carry liveness, known revisions, usage, quotas and load to every other
daemon in turn. A lost datagram delays its content by one round only, because every
figure is a running total. UDP fits better than ZeroMQ's streams, which queue messages
while a link is cut and deliver stale state afterwards. `registration` finds the first
addresses.
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
from .model import ConfigurationRank, EdgeSettings, Endpoint
from .store_era import UNKNOWN_ERA

LOGGER: Final = logging.getLogger(__name__)

# Daemons that get an announcement at once; they pass it on, so few are missed.
FAN_OUT: Final = 8
# Share of sends that carry all totals, to repair what earlier losses left out.
FULL_BODY_SHARE: Final = 0.125
# A VM that is suspended or cut off for a shorter time is still known when it returns.
FORGET_AFTER_S: Final = 20.0
N_INTRODUCED: Final = 4  # addresses of other daemons in each datagram

# First byte of a datagram with a message; no MessagePack value begins with it.
MESSAGE_MARK: Final = b"\xc1"

_ENCODER: Final = msgspec.msgpack.Encoder()


class Gossip(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One gossip datagram.

    Attributes:
        stamp: sender's boot-time clock when the datagram was made, seconds.
        echo: newest stamp that the sender got from this datagram's receiver, 0 for
            none.
        echo_incarnation: the receiver's incarnation when it sent that stamp.
        wall: sender's time of day, Unix seconds.
        leaving: whether the sender is shutting down and takes no new callers.
        ready: whether the sender serves callers.
        configuration_revision: revision of the sender's configuration.
        confirmation_age: age of the sender's last confirmation that this revision is
            current, seconds, when the datagram was made.
        backends_revision: revision up to which the sender knows the backend servers.
        backends_digest: equal for daemons that know the same entries.
        watch_served: whether the sender watches the store and gets answers.
        introduced: names and addresses of other daemons.
        body: running totals, opaque to this module.
        configuration_number: number of the sender's configuration.
        store_era: era of the store to which the revisions belong.
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
    configuration_number: int = 0
    store_era: int = UNKNOWN_ERA


_DECODER: Final = msgspec.msgpack.Decoder(Gossip)


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a daemon knows the store.

    Attributes:
        era: era of the store to which the revisions belong.
        configuration: rank of the configuration.
        backends_revision: revision up to which the backend servers are known.
        backends_digest: equal for daemons that know the same entries.
    """

    era: int
    configuration: ConfigurationRank
    backends_revision: int
    backends_digest: int


@dataclass(slots=True, kw_only=True)
class Member:
    """What is known of another daemon.

    Attributes:
        last_received_at: boot-time clock at its last datagram; -inf before the first
            one.
        listed_at: boot-time clock when this record was added.
        last_stamp: newest stamp received from it.
        confirmation_age: age of its configuration's confirmation in its last datagram,
            seconds.
        has_our_totals: whether it has echoed a stamp of this daemon's present
            incarnation and so has received all totals.
        clock_offset: lower bound of this VM's boot-time clock minus the member's: a
            stamp was sent before the member's datagram that echoes it.
        wall_offset: its time of day minus this VM's boot-time clock.
    """

    name: str
    address: Endpoint
    ip: str
    zone: str = ""
    incarnation: int = 0
    last_received_at: float = float("-inf")
    listed_at: float = 0.0
    last_stamp: float = 0.0
    wall_offset: float | None = None
    leaving: bool = False
    ready: bool = False
    confirmation_age: float = float("inf")
    watch_served: bool = False
    has_our_totals: bool = False
    clock_offset: float = float("-inf")


class Members:
    """The other daemons of the deployment.

    Args:
        settings: settings of this daemon.
        incarnation: increases with each start on the same VM.
        encode_body: encodes all running totals if called with True, otherwise those
            that changed recently.
        apply_body: called with a member and its decoded totals.
        read_progress: returns this daemon's progress and the age of its confirmation.
        on_progress: called with a member, its progress, and the earliest time
            (boot-time clock) at which its configuration was confirmed.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        incarnation: int,
        encode_body: Callable[[bool], bytes],
        apply_body: Callable[[Member, Any], None],
        read_progress: Callable[[], tuple[Progress, float]],
        on_progress: Callable[[Member, Progress, float], None],
    ) -> None:
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.ready = False
        self.watch_served = False
        self.n_bytes = 0
        self._settings = settings
        self.incarnation = incarnation
        self._encode_body = encode_body
        self._apply_body = apply_body
        self._read_progress = read_progress
        self._on_progress = on_progress
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._round_queue: list[Member] = []
        self._on_message: dict[bytes, Callable[[bytes, Endpoint], None]] = {}
        self._failure_timeout_s = find_failure_timeout_s(0)

    def bind_messages(
        self, on_message: Callable[[bytes, Endpoint], None], mark: bytes = MESSAGE_MARK
    ) -> None:
        """Sets what is called with each message and the address of its sender.

        Args:
            on_message: called with the message without its mark.
            mark: `MESSAGE_MARK`, or a longer mark that begins with it.
        """
        self._on_message[mark] = on_message

    def send_message(
        self, address: Endpoint, data: bytes, mark: bytes = MESSAGE_MARK
    ) -> None:
        """Sends a message in one datagram, which may be lost."""
        if self._transport is not None:
            self.n_bytes += len(data)
            self._transport.sendto(mark + data, tuple(address))

    async def start(self) -> None:
        """Opens the socket and starts the gossip rounds.

        Raises:
            OSError: the address is already in use.
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
        """Stops the rounds and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def list_alive(self) -> list[Member]:
        """Lists the daemons whose last datagram is within the failure timeout."""
        horizon = read_boottime() - self._failure_timeout_s
        return [m for m in self.members.values() if m.last_received_at >= horizon]

    def round_duration_s(self) -> float:
        """Returns the seconds in which each daemon sends to every other one once."""
        return find_round_s(len(self._list_current()))

    def list_serving(self) -> list[str]:
        """Lists the other daemons that may be serving, silent ones too."""
        return [m.name for m in self._list_current() if not m.leaving]

    def count_members(self) -> int:
        """Counts daemons that may be serving, including this one and silent ones."""
        return len(self.list_serving()) + 1

    def estimate_wall_clock(self) -> float:
        """Returns the median time of day over the daemons, Unix seconds.

        The clock of a single VM may jump; the median does not.
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
        """Sends a datagram at once to some of the other daemons, or to all of them."""
        current = self._list_current()
        if not everyone and len(current) > FAN_OUT:
            current = random.sample(current, FAN_OUT)
        self._send_to(current)

    def introduce_entry(self, name: str, spec: Any) -> None:
        """Adds a daemon from its entry in the store; ignores an invalid entry."""
        if not isinstance(spec, dict):
            return
        ip, port = spec.get("ip"), spec.get("port")
        if isinstance(ip, str) and isinstance(port, int):
            self._introduce(name, ip, port)

    def list_lost(self) -> list[str]:
        """Lists the daemons that were silent for longer than `FORGET_AFTER_S`."""
        current = {member.name for member in self._list_current()}
        return [name for name in self.members if name not in current]

    def forget(self, name: str) -> None:
        """Drops a daemon that is considered lost."""
        self.members.pop(name, None)

    def _list_current(self) -> list[Member]:
        horizon = read_boottime() - FORGET_AFTER_S
        return [
            m
            for m in self.members.values()
            if max(m.last_received_at, m.listed_at) >= horizon
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
                self._send_to(self._pick_targets())
            except Exception:
                LOGGER.exception("event=gossip_error")
            await asyncio.sleep(TICK_S * random.uniform(0.9, 1.1))

    def _pick_targets(self) -> list[Member]:
        """Returns the receivers of this tick; a round sends to each daemon once."""
        current = self._list_current()
        self._failure_timeout_s = find_failure_timeout_s(len(current))
        n_targets = count_sends_per_tick(len(current))
        if n_targets >= len(current):
            return current
        if len(self._round_queue) < n_targets:
            random.shuffle(current)
            queued = {member.name for member in self._round_queue}
            self._round_queue += [
                member for member in current if member.name not in queued
            ]
        targets, self._round_queue = (
            self._round_queue[:n_targets],
            self._round_queue[n_targets:],
        )
        return [m for m in targets if self.members.get(m.name) is m]

    def _send_to(self, members: list[Member]) -> None:
        if self._transport is None or not members:
            return
        settings = self._settings
        bodies: dict[bool, msgspec.Raw] = {}
        send_full_body = random.random() < FULL_BODY_SHARE
        progress, age = self._read_progress()
        number, configuration_revision = progress.configuration
        alive = self.list_alive()
        sample = random.sample(alive, min(N_INTRODUCED, len(alive)))
        introduced = tuple((m.name, m.ip, m.address.port) for m in sample)
        for member in members:
            whole = send_full_body or not member.has_our_totals
            if whole not in bodies:
                bodies[whole] = msgspec.Raw(self._encode_body(whole))
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
                    backends_revision=progress.backends_revision,
                    backends_digest=progress.backends_digest,
                    watch_served=self.watch_served,
                    introduced=introduced,
                    body=bodies[whole],
                    configuration_number=number,
                    store_era=progress.era,
                )
            )
            self.n_bytes += len(data)
            self._transport.sendto(data, tuple(member.address))

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        if data.startswith(MESSAGE_MARK):
            self.n_bytes += len(data)
            marks = [mark for mark in self._on_message if data.startswith(mark)]
            if marks:
                mark = max(marks, key=len)
                self._on_message[mark](data[len(mark) :], Endpoint(*address))
            return
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
        if now - member.last_received_at > self._failure_timeout_s:
            # Totals that changed during the silence were sent to other daemons only.
            member.has_our_totals = False
            log_event(LOGGER, "member_alive", member=gossip.name, zone=gossip.zone)
        member.last_received_at = now
        member.last_stamp = gossip.stamp
        member.zone = gossip.zone
        member.leaving = gossip.leaving
        member.ready = gossip.ready
        member.confirmation_age = gossip.confirmation_age
        # A watch of an earlier era brings no present changes.
        era = self._read_progress()[0].era
        member.watch_served = gossip.watch_served and gossip.store_era == era
        member.wall_offset = gossip.wall - now
        for name, ip, port in gossip.introduced:
            self._introduce(name, ip, port)
        if gossip.echo and gossip.echo_incarnation == self.incarnation:
            offset = gossip.echo - gossip.stamp
            member.clock_offset = max(member.clock_offset, offset)
            member.has_our_totals = True
        else:
            member.has_our_totals = False
            # The member has not yet received a stamp of this incarnation. The boot-time
            # clock may have restarted since, so an older echo says nothing about the
            # clock offset. The answer to this datagram will.
            self._send_to([member])
        sent_at = gossip.stamp + member.clock_offset
        self._on_progress(
            member,
            Progress(
                era=gossip.store_era,
                configuration=ConfigurationRank(
                    gossip.configuration_number, gossip.configuration_revision
                ),
                backends_revision=gossip.backends_revision,
                backends_digest=gossip.backends_digest,
            ),
            sent_at - max(0.0, gossip.confirmation_age),
        )
        try:
            body = msgspec.msgpack.decode(gossip.body)
        except msgspec.MsgspecError as error:
            log_event(LOGGER, "bad_datagram", logging.WARNING, error=error)
            return
        self._apply_body(member, body)

    def _find_sender(self, gossip: Gossip, address: tuple[str, int]) -> Member | None:
        """Finds or adds the member; returns None for an outdated datagram."""
        member = self.members.get(gossip.name)
        silent = member is not None and (
            read_boottime() - member.last_received_at > self._failure_timeout_s
        )
        # The incarnation is lower if the clock was set back before a restart.
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
    """Passes each datagram to a callback."""

    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the callback."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Logs that nothing listens on a member's address."""
        # The member's state does not change: `last_received_at` decides whether it is
        # alive.
        log_event(LOGGER, "datagram_refused", logging.DEBUG, error=exc)
