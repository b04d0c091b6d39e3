"""Requests and calls that are held back because servers end while they answer them.

Owned by the relay's thread. The parts of a prompt are the messages of a chat, or the
beginning and the whole of a text; the whole request is known by its body and owner. An
engine whose answer was cut has ended if it refuses a new connection; another thread
finds that out. The records go to other daemons by messages, as in
`edge.request_quarantine`.
"""

import logging
import random
import socket
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from .endpoints import split_endpoint
from .errors import BerylpostError, ErrorKind
from .hashing import hash_text
from .kernel import Slot
from .logs import log_event
from .messages import Message, PartPull, PartReport
from .policy.membership import Table, list_active
from .policy.quarantine import SUSPICION_S, list_numbers
from .policy.server_process import has_crashed, interpret_error
from .policy.stream_version import rank_keepers
from .request_holds import TRIAL_S, RequestHolds, Suspects, digest_request
from .streams import Stream, StreamRequest

LOGGER: Final = logging.getLogger(__name__)

HELD_SLOT: Final = "held_requests"  # slot with the keys of all that is held
N_KEEPERS: Final = 8  # daemons that each part's records are reported to
FAN_OUT: Final = 8  # daemons that are told of a change at once
MAX_HELD_TOLD: Final = 32  # held parts named in one message
PREFIX_CHARS: Final = 512
PROBE_TIMEOUT_S: Final = 0.4
N_PROBES: Final = 2
# An address may accept connections for a moment after its server's process has ended.
RECHECK_S: Final = 0.3
N_PROBE_THREADS: Final = 2
PULL_INTERVAL_S: Final = 1.0
TRIAL_MEMORY_S: Final = 600.0  # a request that tries a part has ended by then


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenAnswer:
    """An answer that broke off, of a server that may have ended.

    Attributes:
        sent_at: when the request was sent, monotonic seconds.
        broke_at: when its answer broke off, or this daemon noticed it.
    """

    backend: str
    address: str
    sent_at: float
    broke_at: float
    request: Suspects


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerProbed:
    """Whether the server of a broken answer refused a new connection.

    Attributes:
        n_probes: connections tried so far.
    """

    broken: BrokenAnswer
    has_refused: bool
    n_probes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered:
    """A call to a plain service was answered completely."""

    request: Suspects


@dataclass(frozen=True, slots=True, kw_only=True)
class CallBroken:
    """The answer to a call that was sent at `sent_at` broke off."""

    backend: str
    address: str
    sent_at: float
    request: Suspects


@dataclass(frozen=True, slots=True, kw_only=True)
class CallUnsent:
    """A call that was to try what is held was not sent."""

    request: Suspects


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitCall:
    """Asks whether a call that is held may be tried; answered with its refusal."""

    request: Suspects
    answer: "Future[BerylpostError | None]"


class RelayHolds:
    """What one daemon holds back, of model requests and of calls to services.

    Args:
        self_id: id of this daemon.
        members: the slot with the table of members.
        send: sends a message to a member.
        post: puts a message into the relay's mailbox; callable from any thread.
        schedule: calls a function at a time of the monotonic clock.
        on_held: called with all that is held when it has changed.
        refuses_connections: tells whether an engine at an address refuses all daemons;
            None if only a connect of this one can tell.
    """

    def __init__(
        self,
        *,
        self_id: str,
        members: Slot[Table],
        send: Callable[[str, Message], None],
        post: Callable[[Any], None],
        schedule: Callable[[float, Callable[[], None]], None],
        on_held: Callable[[frozenset[int]], None],
        refuses_connections: Callable[[str], bool | None] = lambda _address: None,
    ) -> None:
        self._ask_paths = refuses_connections
        self._self_id = self_id
        self._members = members
        self._send = send
        self._post = post
        self._schedule = schedule
        self._on_held = on_held
        self._state = RequestHolds(
            name=self_id, read_clock=time.monotonic, on_change=self._pass_on
        )
        self._trials: dict[str, float] = {}
        self._crashed_at: dict[int, float] = {}  # by number of the crash
        self._next_pull_at = 0.0
        self._probes = ThreadPoolExecutor(N_PROBE_THREADS, thread_name_prefix="probe")

    def stop(self) -> None:
        """Ends the threads that probe servers."""
        self._probes.shutdown(wait=False, cancel_futures=True)

    def admit(self, request: StreamRequest) -> BerylpostError | None:
        """Decides on a new request; returns the refusal of a held prompt."""
        refusal, is_trial = self._decide(list_suspects(request))
        if is_trial:
            self._trials[request.id] = time.monotonic()
        return refusal

    def handle_admit(self, message: AdmitCall) -> None:
        """Decides on a call to a plain service."""
        message.answer.set_result(self._decide(message.request)[0])

    def _decide(self, request: Suspects) -> tuple[BerylpostError | None, bool]:
        """Returns the refusal of a held request, and whether it tries what is held."""
        held = self._state.list_held(request)
        if not held:
            return None, False
        wait_s = self._state.find_wait(held)
        if wait_s <= 0 and all(map(self._is_first_keeper, held)):
            self._state.begin_trial(held)
            return None, True
        return make_refusal(max(wait_s, TRIAL_S)), False

    def cancel_trial(self, request: StreamRequest) -> None:
        """Lets another request try what is held, if this one has not."""
        if self._trials.pop(request.id, None) is not None:
            self._state.cancel_trial(list_suspects(request))

    def handle_unsent(self, message: CallUnsent) -> None:
        """Lets another call try what is held."""
        self._state.cancel_trial(message.request)

    def is_held(self, request: StreamRequest) -> bool:
        """Tells whether an accepted request must not be sent to an engine."""
        if not self._state.holds or request.id in self._trials:
            return False
        return bool(self._state.list_held(list_suspects(request)))

    def note_answered(self, request: StreamRequest) -> None:
        """Records that a request was answered completely."""
        self._state.note_answered(list_suspects(request))

    def note_broken(self, stream: Stream, backend: str, address: str) -> None:
        """Records that an engine's answer was cut; finds out whether it has ended."""
        self._trials.pop(stream.request.id, None)
        suspects = list_suspects(stream.request)
        self._check_server(backend, address, stream.started_at, suspects)

    def handle_broken(self, message: CallBroken) -> None:
        """Finds out whether the server of a call that broke off has ended."""
        self._check_server(
            message.backend, message.address, message.sent_at, message.request
        )

    def handle_answered(self, message: CallAnswered) -> None:
        """Records that a call was answered completely."""
        self._state.note_answered(message.request)

    def _check_server(
        self, backend: str, address: str, sent_at: float, request: Suspects
    ) -> None:
        broken = BrokenAnswer(
            backend=backend,
            address=address,
            sent_at=sent_at,
            broke_at=time.monotonic(),
            request=request,
        )
        self._probe(broken, 1)

    def _probe(self, broken: BrokenAnswer, n_probes: int) -> None:
        def probe() -> None:
            has_refused = self._ask_paths(broken.address)
            if has_refused is None:
                has_refused = _refuses_connections(broken.address)
            self._post(
                ServerProbed(broken=broken, has_refused=has_refused, n_probes=n_probes)
            )

        self._probes.submit(probe)

    def handle_probed(self, message: ServerProbed) -> None:
        """Records a crash and reports it, or asks the address once more."""
        broken = message.broken
        if not message.has_refused and message.n_probes < N_PROBES:
            self._schedule(
                time.monotonic() + RECHECK_S,
                lambda: self._probe(broken, message.n_probes + 1),
            )
            return
        log_event(
            LOGGER,
            "backend_ended" if message.has_refused else "backend_still_up",
            backend=broken.backend,
            request=f"{broken.request.digest:016x}",
            parts=",".join(f"{key:016x}" for key in broken.request.parts[:8]),
        )
        if message.has_refused:
            self._record_crash(broken)

    def _record_crash(self, broken: BrokenAnswer) -> None:
        """Records a crash and reports it to the keepers of what was on the server."""
        number = self._find_crash(broken)
        keys = self._state.record_crash(number, [broken.request], broken.broke_at)
        others = self._list_others()
        keepers = {
            name for key in keys for name in rank_keepers(str(key), others)[:N_KEEPERS]
        }
        self._send_records(keys, keepers)

    def _find_crash(self, broken: BrokenAnswer) -> int:
        """Returns the number of the crash that broke an answer off.

        This daemon may notice it long after another one has reported it. A request
        that was sent before a known crash of its server was on it then; so was one sent
        while the address still accepted connections.
        """
        to_wall_s = time.time() - time.monotonic()
        since = max(broken.sent_at - RECHECK_S, broken.broke_at - SUSPICION_S)
        numbers = list_numbers(
            hash_text(broken.backend),
            to_wall_s + since,
            to_wall_s + broken.broke_at,
        )
        for number in numbers:
            if number in self._crashed_at:
                return number
        self._crashed_at[numbers[0]] = broken.broke_at
        return numbers[0]

    def handle_report(self, report: PartReport) -> None:
        """Adds another daemon's records; answers what they did not know."""
        now = time.monotonic()
        for record in report.records:
            for number, _, age_s, _, _ in record.observations:
                self._crashed_at.setdefault(number, now - max(0.0, age_s))
        self._send_records(self._state.merge(report.records), [report.sender])

    def handle_pull(self, pull: PartPull) -> None:
        """Answers with what the other daemon has missed."""
        if set(pull.held) != self._state.holds.keys():
            self._send_records({*pull.held, *self._state.holds}, [pull.sender])

    def tick(self, now: float) -> None:
        """Lets holds end in time and asks a random daemon for what was missed."""
        if now < self._next_pull_at:
            return
        self._next_pull_at = now + PULL_INTERVAL_S
        self._state.decide("time")
        self._trials = {
            name: at for name, at in self._trials.items() if now - at < TRIAL_MEMORY_S
        }
        self._crashed_at = {
            number: at
            for number, at in self._crashed_at.items()
            if now - at < SUSPICION_S
        }
        others = self._list_others()
        if others:
            held = tuple(list(self._state.holds)[:MAX_HELD_TOLD])
            self._send(random.choice(others), PartPull(sender=self._self_id, held=held))

    def _pass_on(self, changed: frozenset[int]) -> None:
        others = self._list_others()
        targets = random.sample(others, min(FAN_OUT, len(others)))
        self._send_records(changed | self._state.holds.keys(), targets)
        self._on_held(frozenset(self._state.holds))

    def _is_first_keeper(self, key: int) -> bool:
        names = [*self._list_others(), self._self_id]
        return rank_keepers(str(key), names)[0] == self._self_id

    def _list_others(self) -> list[str]:
        active = list_active(self._members.read())
        return [member.id for member in active if member.id != self._self_id]

    def _send_records(self, keys: Iterable[int], targets: Iterable[str]) -> None:
        for records in self._state.export(keys):
            for target in targets:
                self._send(target, PartReport(sender=self._self_id, records=records))


def make_refusal(wait_s: float) -> BerylpostError:
    """Makes the error that refuses a held request before it has run."""
    return BerylpostError(
        ErrorKind.QUARANTINED, "the request is held back", retry_after_s=wait_s
    )


def list_suspects(request: StreamRequest) -> Suspects:
    """Lists what of a request may crash engines, the most shared part first."""
    if request.chat:
        texts = [_join_message(message) for message in request.body["messages"]]
    else:
        prompt = request.prompt
        texts = [prompt[:PREFIX_CHARS], prompt]
    digest = digest_request(
        request.owner.encode(), msgspec.json.encode(request.body, order="sorted")
    )
    return Suspects(tuple(dict.fromkeys(map(hash_text, texts))), digest)


def _join_message(message: Mapping[str, Any]) -> str:
    return f"{message['role']}:{message['content']}"


def _refuses_connections(address: str) -> bool:
    """Tells whether an engine's process has ended; a cut link does not tell."""
    try:
        socket.create_connection(split_endpoint(address), PROBE_TIMEOUT_S).close()
    except OSError as error:
        log_event(LOGGER, "probe_failed", address=address, error=error)
        return has_crashed([interpret_error(error)])
    return False
