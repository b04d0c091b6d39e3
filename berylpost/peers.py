"""The task for communication between daemons: membership and gossip.

It owns one ROUTER socket that other daemons connect to and one DEALER socket for
each member that it sends to. `policy.membership` makes the membership decisions;
this module carries them out and forwards every other message to the task that
`RECIPIENTS` names.
"""

import logging
import random
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import zmq
from zmq.auth.thread import ThreadAuthenticator

from .errors import SettingsError
from .hashing import hash_bytes
from .kernel import (
    STOP_TIMEOUT_S,
    Context,
    Inbox,
    Plugin,
    Slot,
    register_plugin,
    run_step,
)
from .logs import log_event
from .messages import (
    Backend,
    ConfigurationPull,
    ConfigurationPush,
    DeferAnswer,
    DeferRequest,
    GossipUpdate,
    Handover,
    HandoverAnswer,
    IntentAnswer,
    IntentRequest,
    Join,
    Member,
    Message,
    Notice,
    OutcomeAnswer,
    OutcomeReport,
    PartPull,
    PartReport,
    Probe,
    ProbeAnswer,
    RateQuestion,
    RateReport,
    SyncDigest,
    SyncTable,
    decode,
    encode,
)
from .metrics import MEMBERS, PEER_BYTES, PEER_REFUSALS
from .policy.membership import (
    GONE_STATES,
    Action,
    Broadcast,
    DuplicateId,
    Rules,
    SendProbe,
    StateChange,
    Table,
    advance,
    digest_table,
    list_corrections,
    make_table,
    merge_members,
    record_probe_answer,
    take_piggybacked_records,
    update_self,
)
from .settings import PeerSettings

LOGGER: Final = logging.getLogger(__name__)
TICK_MS: Final = 50
BROADCAST_DELAY_S: Final = 0.02
BROADCAST_POLL_MS: Final = 10
JOIN_RETRY_S: Final = 0.5
# Mean interval between join requests to seeds. The two sides of a partitioned region
# find each other within about this time after the partition ends.
REJOIN_S: Final = 30.0
MAX_QUEUED_MESSAGES: Final = 1_000
# A handover holds the answers so far of all running requests.
MAX_MESSAGE_BYTES: Final = 64 << 20
# Number of probes and probe answers that carry a changed backend server record.
BACKEND_TRANSMISSIONS: Final = 6
MAX_BACKENDS_PER_MESSAGE: Final = 10
MAX_CORRECTIONS: Final = 50
ZAP_DOMAIN: Final = b"peers"

RECIPIENTS: Final[Mapping[type, str]] = {
    ConfigurationPull: "configurations",
    ConfigurationPush: "configurations",
    IntentRequest: "ledger",
    OutcomeReport: "ledger",
    DeferRequest: "ledger",
    DeferAnswer: "services",
    IntentAnswer: "services",
    OutcomeAnswer: "services",
    Handover: "drain",
    HandoverAnswer: "drain",
    PartReport: "relay",
    PartPull: "relay",
    RateReport: "relay",
    RateQuestion: "relay",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Sends a message to a member; one to this daemon itself is dispatched locally."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateOwnState:
    """Changes the state in this daemon's own member record."""

    state: str
    successor: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnounceConfigurationNumbers:
    """Announces the numbers of the configurations in force on this daemon."""

    numbers: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnounceBackends:
    """Announces backend server records to all neighbours without delay."""

    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationNumbersReceived:
    """Tells `configurations` the numbers that are in force on another member."""

    sender: str
    numbers: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendsReceived:
    """Tells `backends` and its listeners of new backend server records."""

    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged:
    """Tells tasks registered by `watch_members` that the state of a member changed."""

    member: Member
    before: str


def make_rules(settings: PeerSettings) -> Rules:
    """Builds the membership rules from the settings."""
    return Rules(
        probe_interval_s=settings.probe_interval_s,
        probe_timeout_s=settings.probe_timeout_s,
        suspicion_s=settings.suspicion_s,
        tombstone_s=settings.tombstone_s,
        degree=settings.degree,
    )


class PeersTask:
    """The peers task of one daemon.

    Args:
        context: settings, slots and the other tasks.
        random_state: random generator for join intervals and the choice of sync peers.
        should_drop: whether to drop an outgoing message to an address; for tests.
        zmq_context: context shared by several members in one process, for benchmarks.
    """

    def __init__(
        self,
        *,
        context: Context,
        random_state: random.Random,
        should_drop: Callable[[str], bool] = lambda _address: False,
        zmq_context: "zmq.Context[Any] | None" = None,
    ) -> None:
        self._context = context
        self._random = random_state
        self._should_drop = should_drop
        self._settings = context.settings.peers
        self._rules = make_rules(self._settings)
        self._table = make_table(self._make_member(), time.monotonic())
        self.members: Slot[Table] = context.open_slot("members", self._table)
        self._backends: Slot[Mapping[str, Backend]] = context.open_slot("backends", {})
        self._backend_transmissions_left: dict[str, int] = {}
        self._numbers: tuple[tuple[str, int], ...] = ()
        self._next_sync_at = 0.0
        self._next_join_at = 0.0
        self._pending_broadcast: dict[str, Member] = {}
        self._broadcast_at = 0.0
        self._join_turn = 0
        self._watchers: list[str] = []
        self._zmq = zmq_context or zmq.Context()
        self._owns_zmq = zmq_context is None
        self._dealers: dict[tuple[str, str], zmq.Socket[bytes]] = {}
        self._inbox = Inbox()
        self._authenticator: ThreadAuthenticator | None = None
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            Send: self._handle_send,
            UpdateOwnState: self._handle_update_own_state,
            AnnounceConfigurationNumbers: self._handle_numbers,
            AnnounceBackends: self._handle_backends,
            Probe: self._receive_probe,
            ProbeAnswer: self._receive_answer,
            Join: self._receive_join,
            SyncDigest: self._receive_digest,
            SyncTable: self._receive_table,
            Notice: lambda message: self._apply_update(message.sender, message.news),
        }

    def _make_member(self) -> Member:
        settings = self._context.settings
        return Member(
            id=settings.daemon.id,
            zone=settings.daemon.zone,
            http=settings.listen.http,
            peers=settings.listen.peers,
            # The record of a restarted daemon must take precedence over records that
            # other members still hold from before the restart.
            incarnation=int(time.time() * 1_000),
            key=settings.peers.public_key or "",
            tunnels=settings.listen.tunnels or "",
        )

    # Lifecycle.

    def watch_members(self, task: str) -> None:
        """Subscribes a task to `MemberChanged`; call before `start`."""
        self._watchers.append(task)

    def start(self) -> None:
        """Binds the socket and starts the thread.

        Raises:
            SettingsError: the address cannot be bound.
        """
        self._router = self._zmq.socket(zmq.ROUTER)
        self._router.linger = 0
        self._router.rcvhwm = MAX_QUEUED_MESSAGES * 10
        self._router.maxmsgsize = MAX_MESSAGE_BYTES
        if self._settings.public_key and self._settings.secret_key:
            self._start_curve()
        try:
            self._router.bind(f"tcp://{self._context.settings.listen.peers}")
        except zmq.ZMQError as error:
            address = self._context.settings.listen.peers
            raise SettingsError(f"$.listen.peers: {address}: {error}") from error
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self._thread.start()

    def _start_curve(self) -> None:
        """Accepts only daemons whose public key the settings list."""
        accepted = {k.encode() for k in self._settings.accepted_keys}
        accepted.add((self._settings.public_key or "").encode())

        class _AcceptedKeys:
            def callback(self, domain: str, key: bytes) -> bool:
                if key in accepted:
                    return True
                PEER_REFUSALS.labels("key").inc()
                return False

        self._authenticator = ThreadAuthenticator(self._zmq)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN.decode(), credentials_provider=_AcceptedKeys()
        )
        self._router.zap_domain = ZAP_DOMAIN
        self._router.curve_server = True
        self._router.curve_secretkey = (self._settings.secret_key or "").encode()
        self._router.curve_publickey = (self._settings.public_key or "").encode()

    def stop(self) -> None:
        """Stops the thread and closes all sockets."""
        self._stopping = True
        self._inbox.wake()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)
            for dealer in self._dealers.values():
                dealer.close(linger=200)
            self._router.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._owns_zmq:
            self._zmq.destroy(linger=200)
        self._inbox.close()

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox."""
        self._inbox.post(message)

    def send(self, to: str, message: Message) -> None:
        """Sends a message to a member; shorthand for posting `Send`."""
        self.post(Send(to=to, message=message))

    def _run(self) -> None:
        poller = zmq.Poller()
        wake = self._inbox.wake_socket.fileno()
        poller.register(self._router, zmq.POLLIN)
        poller.register(wake, zmq.POLLIN)
        while not self._stopping:
            events = dict(
                poller.poll(BROADCAST_POLL_MS if self._pending_broadcast else TICK_MS)
            )
            if wake in events:
                self._inbox.clear_wakeup()
            for message in self._inbox.take():
                run_step("peers", self._dispatch, message)
            if self._router in events:
                self._receive()
            run_step("peers", self._tick)

    def _receive(self) -> None:
        for _ in range(MAX_QUEUED_MESSAGES):
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            PEER_BYTES.labels("in").inc(sum(map(len, frames)))
            try:
                message = decode(frames[-1])
            except msgspec.MsgspecError:
                PEER_REFUSALS.labels("malformed").inc()
                continue
            run_step("peers", self._dispatch, message)

    def _dispatch(self, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
            return
        recipient = RECIPIENTS[type(message)]
        if recipient in self._context.tasks:
            self._context.post(recipient, message)

    # Sending.

    def _handle_send(self, request: Send) -> None:
        if request.to == self._table.self_id:
            self._dispatch(request.message)
            return
        entry = self._table.entries.get(request.to)
        if entry is not None:
            self._send_to(entry.member.peers, entry.member.key, request.message)

    def _send_to(self, address: str, key: str, message: Message) -> None:
        if self._should_drop(address):
            return
        dealer = self._dealers.get((address, key)) or self._connect(address, key)
        data = encode(message)
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.Again:
            PEER_REFUSALS.labels("queue_full").inc()
            return
        PEER_BYTES.labels("out").inc(len(data))

    def _connect(self, address: str, key: str) -> "zmq.Socket[bytes]":
        dealer = self._zmq.socket(zmq.DEALER)
        dealer.linger = 0
        dealer.sndhwm = MAX_QUEUED_MESSAGES
        dealer.maxmsgsize = MAX_MESSAGE_BYTES
        dealer.reconnect_ivl = 100
        dealer.reconnect_ivl_max = 2_000
        if self._settings.public_key and self._settings.secret_key:
            dealer.curve_serverkey = (key or self._settings.public_key).encode()
            dealer.curve_publickey = self._settings.public_key.encode()
            dealer.curve_secretkey = self._settings.secret_key.encode()
        dealer.connect(f"tcp://{address}")
        self._dealers[address, key] = dealer
        return dealer

    def _close_dealers(self) -> None:
        """Closes sockets to endpoints that no current member uses."""
        in_use = {
            (e.member.peers, e.member.key)
            for e in self._table.entries.values()
            if e.member.state not in GONE_STATES
        }
        for endpoint in set(self._dealers) - in_use:
            self._dealers.pop(endpoint).close(linger=0)

    # Periodic work.

    def _tick(self) -> None:
        now = time.monotonic()
        self._apply(*advance(self._table, now, self._rules))
        self._flush_broadcast()
        alone = len(self._table.entries) == 1
        if now >= self._next_join_at:
            interval_s = (
                JOIN_RETRY_S if alone else REJOIN_S * self._random.uniform(0.5, 1.5)
            )
            self._next_join_at = now + interval_s
            self._join()
        if now >= self._next_sync_at:
            self._next_sync_at = now + self._settings.sync_interval_s
            if self._table.neighbours:
                peer = self._random.choice(self._table.neighbours)
                digest = SyncDigest(sender=self._table.self_id, digest=self._digest())
                self._handle_send(Send(to=peer, message=digest))
            self._close_dealers()

    def _join(self) -> None:
        """Sends a join request to the next seed, with the next accepted key.

        During a key rotation a seed may listen with any of the accepted keys.
        """
        seeds = [s for s in self._settings.seeds if s != self._settings_address()]
        if not seeds:
            return
        own_key = self._settings.public_key or ""
        keys = list(dict.fromkeys([own_key, *self._settings.accepted_keys]))
        turn = self._join_turn
        self._join_turn += 1
        seed = seeds[turn % len(seeds)]
        key = keys[turn // len(seeds) % len(keys)]
        join = Join(
            sender=self._table.self_id,
            member=self._self_member(),
            digest=self._digest(),
        )
        self._send_to(seed, key, join)

    def _settings_address(self) -> str:
        return self._context.settings.listen.peers

    def _self_member(self) -> Member:
        return self._table.entries[self._table.self_id].member

    def _digest(self) -> int:
        state = (digest_table(self._table), self._numbers, self._list_backend_states())
        return hash_bytes(msgspec.msgpack.encode(state))

    def _list_backend_states(self) -> list[tuple[str, str]]:
        found = self._backends.read().values()
        return sorted((b.id, b.state) for b in found if b.state != "gone")

    # Membership.

    def _apply(self, table: Table, actions: list[Action]) -> None:
        changed = table is not self._table
        self._table = table
        if changed:
            self.members.publish(table)
        for action in actions:
            match action:
                case SendProbe():
                    self._send_probe(action)
                case StateChange():
                    self._report_change(action)
                case Broadcast():
                    self._queue_broadcast(action.members)
                case DuplicateId():
                    # The newer process continues; this one stops taking work by no
                    # longer being ready.
                    log_event(
                        LOGGER, "duplicate_id", logging.ERROR, other=action.other.peers
                    )
                    self._context.readiness["unique_id"] = lambda: False

    def _queue_broadcast(self, members: tuple[Member, ...]) -> None:
        """Collects member records for `BROADCAST_DELAY_S` before they are sent.

        Without the delay, a simultaneous start of many daemons would send one message
        for each change.
        """
        if not self._pending_broadcast:
            self._broadcast_at = time.monotonic() + BROADCAST_DELAY_S
        self._pending_broadcast.update({member.id: member for member in members})

    def _flush_broadcast(self) -> None:
        if not self._pending_broadcast or time.monotonic() < self._broadcast_at:
            return
        members = tuple(self._pending_broadcast.values())
        self._pending_broadcast = {}
        for start in range(0, len(members), MAX_CORRECTIONS):
            self._notify_neighbours(
                GossipUpdate(members=members[start : start + MAX_CORRECTIONS])
            )

    def _report_change(self, action: StateChange) -> None:
        member = action.member
        log_event(
            LOGGER,
            "member_changed",
            member=member.id,
            before=action.before,
            state=member.state,
            incarnation=member.incarnation,
        )
        states = [e.member.state for e in self._table.entries.values()]
        for state in {action.before, member.state} - {""}:
            MEMBERS.labels(state).set(states.count(state))
        for task in self._watchers:
            message = MemberChanged(member=member, before=action.before)
            self._context.post(task, message)

    def _send_probe(self, action: SendProbe) -> None:
        to = action.helper or action.target
        probe = Probe(
            sender=self._table.self_id,
            sequence=action.sequence,
            news=self._take_update_to_send(),
            target=action.target if action.helper else "",
        )
        self._handle_send(Send(to=to, message=probe))

    def _take_update_to_send(self) -> GossipUpdate:
        self._table, members = take_piggybacked_records(self._table)
        known = self._backends.read()
        names = list(self._backend_transmissions_left)[:MAX_BACKENDS_PER_MESSAGE]
        for name in names:
            self._backend_transmissions_left[name] -= 1
            if self._backend_transmissions_left[name] <= 0:
                del self._backend_transmissions_left[name]
        backends = tuple(known[name] for name in names if name in known)
        return GossipUpdate(members=members, numbers=self._numbers, backends=backends)

    def _apply_update(self, sender: str, update: GossipUpdate) -> None:
        now = time.monotonic()
        self._apply(*merge_members(self._table, update.members, now, self._rules))
        own_numbers = dict(self._numbers)
        if any(own_numbers.get(name, 0) < number for name, number in update.numbers):
            received = ConfigurationNumbersReceived(
                sender=sender, numbers=update.numbers
            )
            self._post_if_running("configurations", received)
        if update.backends:
            received_backends = BackendsReceived(backends=update.backends)
            self._post_if_running("backends", received_backends)

    def _post_if_running(self, task: str, message: Any) -> None:
        if task in self._context.tasks:
            self._context.post(task, message)

    def _receive_probe(self, probe: Probe) -> None:
        self._apply_update(probe.sender, probe.news)
        if probe.target and probe.target != self._table.self_id:
            # Keeps the original sender, so that the target answers it directly.
            forwarded = msgspec.structs.replace(probe, target="", news=GossipUpdate())
            self._handle_send(Send(to=probe.target, message=forwarded))
            return
        update = self._take_update_to_send()
        requester = self._table.entries.get(probe.sender)
        if requester is not None and requester.member.state not in ("alive", "leaving"):
            # The requester must learn how it is recorded here, to refute it if it can.
            reported = (*update.members, requester.member)
            update = msgspec.structs.replace(update, members=reported)
        answer = ProbeAnswer(
            sender=self._table.self_id, sequence=probe.sequence, news=update
        )
        self._handle_send(Send(to=probe.sender, message=answer))

    def _receive_answer(self, answer: ProbeAnswer) -> None:
        pending = self._table.pending.get(answer.sequence)
        if pending is not None and pending.target == answer.sender:
            self._table = record_probe_answer(self._table, answer.sequence)
        self._apply_update(answer.sender, answer.news)

    def _receive_join(self, join: Join) -> None:
        same = join.digest == self._digest()
        now = time.monotonic()
        self._apply(*merge_members(self._table, [join.member], now, self._rules))
        if same:
            return
        table = SyncTable(
            sender=self._table.self_id, news=self._make_full_update(), reply=True
        )
        self._send_to(join.member.peers, join.member.key, table)
        self._send_corrections(join.sender, [join.member])

    def _send_corrections(self, sender: str, members: Iterable[Member]) -> None:
        """Sends a daemon the records held here that are newer than those it sent."""
        corrections = list_corrections(self._table, members)
        for start in range(0, len(corrections), MAX_CORRECTIONS):
            part = tuple(corrections[start : start + MAX_CORRECTIONS])
            notice = Notice(sender=self._table.self_id, news=GossipUpdate(members=part))
            self._handle_send(Send(to=sender, message=notice))

    def _make_full_update(self) -> GossipUpdate:
        members = tuple(
            e.member for e in self._table.entries.values() if e.member.state != "dead"
        )
        backends = tuple(self._backends.read().values())
        return GossipUpdate(members=members, numbers=self._numbers, backends=backends)

    def _receive_digest(self, digest: SyncDigest) -> None:
        if digest.digest == self._digest():
            return
        table = SyncTable(
            sender=self._table.self_id, news=self._make_full_update(), reply=True
        )
        self._handle_send(Send(to=digest.sender, message=table))

    def _receive_table(self, table: SyncTable) -> None:
        self._send_corrections(table.sender, table.news.members)
        self._apply_update(table.sender, table.news)
        if table.reply:
            answer = SyncTable(
                sender=self._table.self_id, news=self._make_full_update()
            )
            self._handle_send(Send(to=table.sender, message=answer))

    # From this daemon's other tasks.

    def _handle_update_own_state(self, change: UpdateOwnState) -> None:
        now = time.monotonic()
        self._apply(
            *update_self(
                self._table,
                now,
                self._rules,
                state=change.state,
                successor=change.successor,
            )
        )

    def _handle_numbers(self, announce: AnnounceConfigurationNumbers) -> None:
        if announce.numbers == self._numbers:
            return
        self._numbers = announce.numbers
        self._notify_neighbours(GossipUpdate(numbers=announce.numbers))

    def _handle_backends(self, announce: AnnounceBackends) -> None:
        for backend in announce.backends:
            self._backend_transmissions_left[backend.id] = BACKEND_TRANSMISSIONS
        for start in range(0, len(announce.backends), MAX_BACKENDS_PER_MESSAGE):
            part = announce.backends[start : start + MAX_BACKENDS_PER_MESSAGE]
            self._notify_neighbours(GossipUpdate(backends=part))

    def _notify_neighbours(self, update: GossipUpdate) -> None:
        """Sends an update to all neighbours, which forward what is new to them."""
        notice = Notice(sender=self._table.self_id, news=update)
        for neighbour in self._table.neighbours:
            self._handle_send(Send(to=neighbour, message=notice))


def _build(context: Context) -> PeersTask:
    seed = f"{context.settings.daemon.id}/{time.time_ns()}"
    return PeersTask(context=context, random_state=random.Random(seed))


register_plugin(Plugin(name="peers", requires=(), build=_build))
