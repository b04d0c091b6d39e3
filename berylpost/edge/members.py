"""Membership of the entry daemons and their gossip.

UDP datagrams carry liveness, known revisions, usage, quotas and load. Active daemons
send them to every other active daemon in turn; a standby daemon asks one of them at a
time, which passes on what it hears from it. `policy.serving_set` decides which daemons
are active. A lost datagram delays its content by one round only, because every figure
is a running total. UDP fits better than ZeroMQ's streams, which queue messages while a
link is cut and deliver stale state afterwards. `registration` finds the first
addresses.
"""

import asyncio
import logging
import random
import socket
import time
from collections.abc import Callable
from typing import Any, Final

import msgspec

from ..endpoints import split_endpoint
from ..logs import OnceLog, log_event
from ..policy.rounds import (
    STANDBY_INTERVAL_S,
    STANDBY_TIMEOUT_S,
    TICK_S,
    count_sends_per_tick,
    find_failure_timeout_s,
    find_round_s,
)
from ..policy.serving_set import MIN_SERVING
from .clock import read_boottime
from .gossip import (
    MESSAGE_MARK,
    Gossip,
    Serving,
    Standby,
    decode_body,
    decode_gossip,
    encode_gossip,
)
from .member import BodyKind, Member, Progress
from .model import ConfigurationRank, EdgeSettings, Endpoint
from .serving_role import ServingRole

LOGGER: Final = logging.getLogger(__name__)

# Daemons that get an announcement at once; they pass it on, so few are missed.
FAN_OUT: Final = 8
# Share of sends that carry all totals, to repair what earlier losses left out.
FULL_BODY_SHARE: Final = 0.125
# A VM that is suspended or cut off for a shorter time is still known when it returns.
FORGET_AFTER_S: Final = 20.0
N_INTRODUCED: Final = 4  # addresses of other active daemons in each datagram
# Introduced daemons contacted in one tick: a lost one that others still introduce adds
# little traffic.
MAX_CONTACTED: Final = 4
# A standby daemon is heard of in each of its intervals, at most a round later.
STANDBY_NEWS_S: Final = 1.5 * STANDBY_INTERVAL_S
# A standby daemon is passed on in one round, since it asks again soon, and what it used
# in two, so one datagram may be lost. Rounds vary by a tenth.
STANDBY_ROUNDS: Final = 1.1
ROW_ROUNDS: Final = 2.2
# Bounds a datagram to a few kilobytes; callers read no more addresses either.
MAX_LISTED: Final = 64
N_ASKED_WITHOUT_ACTIVE: Final = 3
# A datagram between regions and its answer take some 20 ms.
ANSWER_TIMEOUT_S: Final = 0.15
# How often a standby daemon asks others in place of one that does not answer, and how
# many at a time.
MAX_UNANSWERED: Final = 2
N_ASKED_AGAIN: Final = 2
# How often a standby daemon asks again within its interval.
MAX_ASKED_AGAIN: Final = 3
# How long the median of the times of day is used before it is computed again.
WALL_CLOCK_CACHE_S: Final = 0.25


class Members:
    """The other daemons of the deployment, and this daemon's role among them.

    Args:
        settings: settings of this daemon.
        incarnation: increases with each start on the same VM.
        encode_body: encodes the totals of a kind.
        apply_body: called with a member and its decoded totals.
        apply_row: called with a standby member and the quota and usage totals that
            another daemon had from it.
        read_progress: returns this daemon's progress and the age of its confirmation.
        on_progress: called with a member, its progress, and the earliest time
            (boot-time clock) at which its configuration was confirmed.
        on_role: called when this daemon becomes active or a standby.
        read_busy_share: returns the share of the time for which callers keep this
            daemon busy.
        exclude_work: called with the seconds that gossip took.

    Attributes:
        role: whether this daemon is active, and which daemons are to serve callers.
    """

    def __init__(
        self,
        *,
        settings: EdgeSettings,
        incarnation: int,
        encode_body: Callable[[BodyKind], bytes],
        apply_body: Callable[[Member, Any], None],
        apply_row: Callable[[Member, Any, Any], None],
        read_progress: Callable[[], tuple[Progress, float]],
        on_progress: Callable[[Member, Progress, float], None],
        on_role: Callable[[bool], None],
        read_busy_share: Callable[[], float],
        exclude_work: Callable[[float], None],
    ) -> None:
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.ready = False
        self.watch_served = False
        self.is_cut_off = False
        self.n_bytes = 0
        self.role = ServingRole(settings=settings, started_at=read_boottime())
        self._settings = settings
        self.incarnation = incarnation
        self._encode_body = encode_body
        self._apply_body = apply_body
        self._apply_row = apply_row
        self._read_progress = read_progress
        self._on_progress = on_progress
        self._on_role = on_role
        self._read_busy_share = read_busy_share
        self._exclude_work = exclude_work
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._round_queue: list[Member] = []
        self._bad_entries = OnceLog(logger=LOGGER, event="bad_member")
        self._on_message: dict[bytes, Callable[[bytes, Endpoint], None]] = {}
        self._failure_timeout_s = find_failure_timeout_s(0)
        self._busy_share = 0.0
        self._n_asked_again = 0
        self._n_contacted = 0
        # Boot-time clock at the last answer of an active daemon.
        self._answered_at = float("-inf")
        self._wall_offset = 0.0
        self._wall_offset_at = float("-inf")

    def bind_messages(
        self, on_message: Callable[[bytes, Endpoint], None], mark: bytes = MESSAGE_MARK
    ) -> None:
        """Sets what is called with each message and the address of its sender.

        Args:
            on_message: called with the message without its mark.
            mark: `MESSAGE_MARK`, or a longer mark that begins with it.

        Raises:
            ValueError: the mark is in use; the other messages would not be handled.
        """
        if mark in self._on_message:
            raise ValueError(f"two kinds of messages have the mark {mark!r}")
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
            lambda: _Receiver(self._receive_metered), sock=sock
        )
        self._task = asyncio.create_task(self._run_rounds())

    def stop(self) -> None:
        """Stops the rounds and closes the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def list_alive(self) -> list[Member]:
        """Lists the active daemons that were heard from within the failure timeout."""
        horizon = read_boottime() - self._failure_timeout_s
        return [
            m
            for m in self.members.values()
            if m.active and m.last_received_at >= horizon
        ]

    def list_reachable(self) -> list[Member]:
        """Lists all daemons that were heard from lately, those that stand by too."""
        now = read_boottime()
        return [m for m in self.members.values() if self._is_alive(m, now)]

    def find_tunnels(self, name: str) -> Endpoint | None:
        """Returns where a daemon passes connections to backend servers on."""
        member = self.members.get(name)
        if member is None:
            return None
        return Endpoint(member.ip, self._settings.tunnels.port)

    def list_serving_set(self) -> list[Member]:
        """Lists the other daemons to which callers are to be sent."""
        alive = [m for m in self.list_reachable() if m.ready and not m.leaving]
        return [m for m in alive if m.name in self.role.serving] or alive

    @property
    def active(self) -> bool:
        """Whether this daemon exchanges totals; otherwise it stands by."""
        return self.role.active

    @property
    def is_serving(self) -> bool:
        """Whether callers are to be sent to this daemon."""
        return not self.role.serving or self.role.is_in_set

    def round_duration_s(self) -> float:
        """Returns the seconds in which active daemons send to one another once."""
        return find_round_s(len(self._list_current_active()))

    def list_serving(self) -> list[str]:
        """Lists the other daemons that may be serving, silent ones too."""
        return [m.name for m in self._list_current_active() if not m.leaving]

    def count_members(self) -> int:
        """Counts daemons that may be serving, including this one and silent ones."""
        return len(self.list_serving()) + 1

    def estimate_wall_clock(self) -> float:
        """Returns the median time of day over the daemons, Unix seconds.

        The clock of a single VM may jump; the median does not.
        """
        now = read_boottime()
        if now - self._wall_offset_at > WALL_CLOCK_CACHE_S:
            self._wall_offset = self._find_wall_offset(now)
            self._wall_offset_at = now
        return now + self._wall_offset

    def _find_wall_offset(self, now: float) -> float:
        offsets = [time.time() - now]
        offsets += [
            m.wall_offset for m in self.list_alive() if m.wall_offset is not None
        ]
        offsets.sort()
        middle = len(offsets) // 2
        if len(offsets) % 2:
            return offsets[middle]
        return (offsets[middle - 1] + offsets[middle]) / 2

    def announce(self, *, everyone: bool = False) -> None:
        """Sends a datagram at once to some of the active daemons, or to all of them.

        A standby daemon announces only that it leaves: its next question tells the
        rest soon enough.
        """
        if not self.active:
            if self.leaving:
                self._send_to(self._pick_asked())
            return
        current = self._list_current_active()
        if not everyone and len(current) > FAN_OUT:
            current = random.sample(current, FAN_OUT)
        self._send_to(current)

    def introduce_entry(self, name: str, spec: Any) -> None:
        """Adds a daemon from its entry in the store; ignores an invalid entry."""
        fields = spec if isinstance(spec, dict) else {}
        try:
            ip, port = split_endpoint(f"{fields.get('ip')}:{fields.get('port')}")
        except ValueError as error:
            self._bad_entries.note(name, member=name, error=error)
            return
        self._bad_entries.forget(name)
        self._introduce(name, ip, port)

    def list_lost(self) -> list[str]:
        """Lists the daemons that were silent for longer than `FORGET_AFTER_S`."""
        active_s = read_boottime() - self.role.active_since
        if not self.active or active_s < FORGET_AFTER_S:
            return []  # it may not have heard of the standby daemons yet
        current = {member.name for member in self._list_current()}
        return [name for name in self.members if name not in current]

    def forget(self, name: str) -> None:
        """Drops a daemon that is considered lost."""
        self.members.pop(name, None)

    def _is_alive(self, member: Member, now: float) -> bool:
        timeout_s = self._failure_timeout_s if member.active else STANDBY_TIMEOUT_S
        return now - member.last_received_at <= timeout_s

    def _list_current(self) -> list[Member]:
        now = read_boottime()
        return [m for m in self.members.values() if _is_current(m, now)]

    def _list_current_active(self) -> list[Member]:
        """Lists active daemons; those only listed may be active, as far as known."""
        return [
            m
            for m in self._list_current()
            if m.active and (self.active or m.last_received_at > float("-inf"))
        ]

    def _introduce(self, name: str, ip: str, port: int) -> None:
        known = self.members.get(name)
        if known is not None or name == self._settings.name:
            return
        address = Endpoint(ip, port)
        self.members[name] = Member(
            name=name, address=address, ip=ip, listed_at=read_boottime()
        )
        if len(self.members) <= MIN_SERVING:
            self._send_to([self.members[name]])

    def _contact(self, name: str, now: float) -> None:
        """Sends to an introduced daemon that this one does not know as active.

        Two daemons that become active at the same time know each other as standby
        daemons, and neither sends rounds to the other.
        """
        member = self.members.get(name)
        if member is None or not self.active or self._n_contacted >= MAX_CONTACTED:
            return
        is_exchanging = member.active and _is_current(member, now)
        silent_s = now - member.last_received_at
        stands_by = not member.active and silent_s < STANDBY_NEWS_S
        if not is_exchanging and not stands_by:
            self._n_contacted += 1
            self._send_to([member])

    async def _run_rounds(self) -> None:
        while True:
            pause_s = TICK_S
            began_at = read_boottime()
            self._n_asked_again = 0
            self._n_contacted = 0
            try:
                self._update_role()
                self._send_to(self._pick_targets())
                if not self.active:
                    self._await_answer(began_at, MAX_UNANSWERED)
                self._exclude_work(read_boottime() - began_at)
                pause_s = TICK_S if self.active else STANDBY_INTERVAL_S
            except Exception:
                LOGGER.exception("event=gossip_error")
            await asyncio.sleep(pause_s * random.uniform(0.9, 1.1))

    def _update_role(self) -> None:
        """Decides whether this daemon is active or stands by."""
        now = read_boottime()
        self._busy_share = self._read_busy_share()
        if self.active:
            self._failure_timeout_s = find_failure_timeout_s(
                len(self._list_current_active())
            )
            changes = self.role.update_active(
                self.list_reachable(),
                now=now,
                ready=self.ready,
                leaving=self.leaving,
                busy_share=self._busy_share,
            )
        else:
            changes = self.role.update_standby(now=now, leaving=self.leaving)
        if not changes:
            return
        if self.active:
            for member in self.members.values():
                member.has_our_totals = False
                member.totals_since = now
        else:
            self._failure_timeout_s = STANDBY_TIMEOUT_S
        log_event(
            LOGGER,
            "role_changed",
            active=self.active,
            in_set=self.role.is_in_set,
            n_serving=len(self.role.serving),
            n_alive=len(self.list_alive()),
            answer_age_s=now - self.role.answered_at,
        )
        self._on_role(self.active)

    def _pick_targets(self) -> list[Member]:
        """Returns the receivers of this tick; a round sends to each daemon once."""
        if not self.active:
            return self._pick_asked()
        current = self._list_current_active()
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

    def ask_others(self) -> None:
        """Asks other daemons now; active ones hear from all in each round anyway."""
        if not self.active:
            self._send_to(self._pick_others())

    def _await_answer(self, asked_at: float, n_left: int) -> None:
        """Asks others if the daemon that was asked does not answer."""
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_TIMEOUT_S, self._check_answered, asked_at, n_left)

    def _check_answered(self, asked_at: float, n_left: int) -> None:
        if self.active or self._answered_at >= asked_at or not n_left:
            return
        self._send_to(self._pick_others())
        self._await_answer(asked_at, n_left - 1)

    def _pick_others(self) -> list[Member]:
        """Returns several daemons to ask, active ones if it can."""
        known = self.list_alive() or list(self.members.values())
        return random.sample(known, min(N_ASKED_AGAIN, len(known)))

    def _pick_asked(self) -> list[Member]:
        """Returns the daemons that a standby daemon asks: an active one if it can."""
        alive = self.list_alive()
        if alive:
            # The others may stand by since they were last heard from.
            in_set = [m for m in alive if m.name in self.role.serving]
            return [random.choice(in_set or alive)]
        known = list(self.members.values())
        return random.sample(known, min(N_ASKED_WITHOUT_ACTIVE, len(known)))

    def _send_to(self, members: list[Member], *, is_answer: bool = False) -> None:
        if self._transport is None or not members:
            return
        settings = self._settings
        bodies: dict[BodyKind, msgspec.Raw] = {}
        send_full_body = random.random() < FULL_BODY_SHARE
        progress, age = self._read_progress()
        number, configuration_revision = progress.configuration
        now = read_boottime()
        standbys = self._export_standbys(now) if self.active else ()
        serving: tuple[Serving, ...] = ()
        alive = self.list_alive()
        sample = random.sample(alive, min(N_INTRODUCED, len(alive)))
        introduced = tuple((m.name, m.ip, m.address.port) for m in sample)
        for member in members:
            kind = BodyKind.WHOLE
            if self.active and not member.active:
                kind = BodyKind.SUMMARY
            elif self.active and member.has_our_totals and not send_full_body:
                kind = BodyKind.RECENT
            if kind not in bodies:
                bodies[kind] = msgspec.Raw(self._encode_body(kind))
            exchanges_totals = self.active and member.active
            if is_answer and not exchanges_totals:
                serving = self._export_serving(now, member.name)
            data = encode_gossip(
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
                    introduced=introduced if exchanges_totals else (),
                    body=bodies[kind],
                    configuration_number=number,
                    store_era=progress.era,
                    active=self.active,
                    is_answer=is_answer,
                    n_cores=settings.n_cores,
                    busy_share=round(self._busy_share, 3),
                    standbys=standbys if exchanges_totals else (),
                    serving=serving,
                    is_cut_off=self.is_cut_off,
                )
            )
            self.n_bytes += len(data)
            self._transport.sendto(data, tuple(member.address))

    def _export_standbys(self, now: float) -> tuple[Standby, ...]:
        """Exports the standby daemons that were heard from in the last rounds."""
        round_s = self.round_duration_s()
        changed_since = now - ROW_ROUNDS * round_s
        heard = [
            m
            for m in self.members.values()
            if m.heard_at >= now - STANDBY_ROUNDS * round_s
            or m.row_changed_at >= changed_since
        ]
        heard.sort(key=lambda member: member.heard_at, reverse=True)
        return tuple(
            Standby(
                name=m.name,
                incarnation=m.incarnation,
                ip=m.ip,
                port=m.address.port,
                zone=m.zone,
                n_cores=m.n_cores,
                stamp=m.last_stamp,
                ready=m.ready,
                leaving=m.leaving,
                totals=m.row[0] if m.row_changed_at >= changed_since else {},
                counts=m.row[1] if m.row_changed_at >= changed_since else {},
                is_cut_off=m.is_cut_off,
            )
            for m in heard[:MAX_LISTED]
            if not m.active
        )

    def _export_serving(self, now: float, asker: str) -> tuple[Serving, ...]:
        """Exports daemons that a standby daemon may send callers to or ask.

        Args:
            now: boot-time clock.
            asker: the daemon that is told; it is listed if it is in the set itself.
        """
        settings = self._settings
        known = [
            m
            for m in self.list_reachable()
            if m.active or m.name in self.role.serving or m.name == asker
        ]
        random.shuffle(known)
        known.sort(key=lambda member: member.name != asker)
        entries = [
            Serving(
                name=m.name,
                ip=m.ip,
                port=m.address.port,
                zone=m.zone,
                age_s=max(0.0, now - m.last_received_at),
                in_set=m.name in self.role.serving,
                active=m.active,
                ready=m.ready,
                leaving=m.leaving,
                watch_served=m.watch_served,
                is_cut_off=m.is_cut_off,
            )
            for m in known[:MAX_LISTED]
        ]
        if self.active:
            entries.append(
                Serving(
                    name=settings.name,
                    ip=settings.ip,
                    port=settings.peer.port,
                    zone=settings.zone,
                    age_s=0.0,
                    in_set=self.role.is_in_set,
                    active=True,
                    ready=self.ready,
                    leaving=self.leaving,
                    watch_served=self.watch_served,
                    is_cut_off=self.is_cut_off,
                )
            )
        return tuple(entries)

    def _receive_metered(self, data: bytes, address: tuple[str, int]) -> None:
        began_at = read_boottime()
        self._receive(data, address)
        self._exclude_work(read_boottime() - began_at)

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        if data.startswith(MESSAGE_MARK):
            self.n_bytes += len(data)
            marks = [mark for mark in self._on_message if data.startswith(mark)]
            if marks:
                mark = max(marks, key=len)
                self._on_message[mark](data[len(mark) :], Endpoint(*address))
            return
        try:
            gossip = decode_gossip(data)
            body = decode_body(gossip.body)
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
        if not self._is_alive(member, now):
            # Totals that changed during the silence were sent to other daemons only.
            member.has_our_totals = False
            log_event(LOGGER, "member_alive", member=gossip.name, zone=gossip.zone)
        if gossip.active and not member.active:
            # While it stood by it got summaries only.
            member.has_our_totals = False
            member.totals_since = now
        self._update_member(member, gossip, now)
        if gossip.is_answer and gossip.active:
            self._answered_at = now
        for name, ip, port in gossip.introduced:
            self._introduce(name, ip, port)
            self._contact(name, now)
        self._note_echo(member, gossip)
        if self.active:
            for standby in gossip.standbys:
                self._note_standby(standby, now)
        for serving in gossip.serving:
            self._note_serving(serving, now)
        if gossip.active and gossip.serving and not self.active:
            self.role.note_answer((s.name for s in gossip.serving if s.in_set), now)
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
        self._apply_body(member, body)

    def _update_member(self, member: Member, gossip: Gossip, now: float) -> None:
        member.last_received_at = now
        member.last_stamp = gossip.stamp
        member.zone = gossip.zone
        member.leaving = gossip.leaving
        member.ready = gossip.ready
        member.active = gossip.active
        member.n_cores = gossip.n_cores
        member.is_cut_off = gossip.is_cut_off
        member.busy_share = gossip.busy_share
        member.confirmation_age = gossip.confirmation_age
        if not gossip.active:
            member.heard_at = now
        # A watch of an earlier era brings no present changes.
        era = self._read_progress()[0].era
        member.watch_served = gossip.watch_served and gossip.store_era == era
        member.wall_offset = gossip.wall - now

    def _note_echo(self, member: Member, gossip: Gossip) -> None:
        """Reads what the member has of this daemon; answers if it has too little."""
        echoed = bool(gossip.echo) and gossip.echo_incarnation == self.incarnation
        if echoed:
            offset = gossip.echo - gossip.stamp
            member.clock_offset = max(member.clock_offset, offset)
            if gossip.active and gossip.echo >= member.totals_since:
                member.has_our_totals = True
        else:
            # The member has not yet received a stamp of this incarnation. The boot-time
            # clock may have restarted since, so an older echo says nothing about the
            # clock offset. The answer to this datagram will.
            member.has_our_totals = False
        if not gossip.is_answer and not (gossip.active and echoed):
            self._send_to([member], is_answer=True)
        elif gossip.is_answer and not gossip.active and not self.active:
            self._ask_again()

    def _ask_again(self) -> None:
        """Asks another daemon, since the one that was asked stands by, too."""
        if self._n_asked_again < MAX_ASKED_AGAIN:
            self._n_asked_again += 1
            self._send_to(self._pick_asked())

    def note_row(self, member: Member, totals: Any, counts: Any) -> None:
        """Records the totals that a standby member sent, to be passed on if changed."""
        if member.row != (totals, counts):
            member.row = (totals, counts)
            member.row_changed_at = read_boottime()

    def _note_standby(self, standby: Standby, now: float) -> None:
        """Records a standby daemon that an active one heard from."""
        if standby.name == self._settings.name:
            return
        member = self.members.get(standby.name)
        if member is None or standby.incarnation > member.incarnation:
            member = self.members[standby.name] = Member(
                name=standby.name,
                address=Endpoint(standby.ip, standby.port),
                ip=standby.ip,
                incarnation=standby.incarnation,
                listed_at=now,
            )
        elif (
            standby.incarnation < member.incarnation
            or standby.stamp <= member.last_stamp
        ):
            return
        member.last_received_at = now
        member.last_stamp = standby.stamp
        member.zone = standby.zone
        member.n_cores = standby.n_cores
        member.ready = standby.ready
        member.leaving = standby.leaving
        member.active = False
        member.is_cut_off = standby.is_cut_off
        self._apply_row(member, standby.totals, standby.counts)

    def _note_serving(self, serving: Serving, now: float) -> None:
        """Records a daemon that another one has heard from more recently."""
        if serving.name == self._settings.name:
            return
        member = self.members.get(serving.name)
        if member is None:
            member = self.members[serving.name] = Member(
                name=serving.name,
                address=Endpoint(serving.ip, serving.port),
                ip=serving.ip,
                listed_at=now,
            )
        received_at = now - serving.age_s
        if received_at <= member.last_received_at:
            return
        member.last_received_at = received_at
        member.zone = serving.zone
        member.ready = serving.ready
        member.leaving = serving.leaving
        member.watch_served = serving.watch_served
        member.is_cut_off = serving.is_cut_off
        member.active = serving.active

    def _find_sender(self, gossip: Gossip, address: tuple[str, int]) -> Member | None:
        """Finds or adds the member; returns None for an outdated datagram."""
        member = self.members.get(gossip.name)
        silent = member is not None and not self._is_alive(member, read_boottime())
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


def _is_current(member: Member, now: float) -> bool:
    """Tells whether a member was heard from, or added, lately enough to be sent to."""
    return now - max(member.last_received_at, member.listed_at) <= FORGET_AFTER_S


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
