"""Holds back requests, and parts of prompts, that crash the servers which run them.

A daemon whose answers break on a server checks whether the server has ended, and then
reports the requests and their parts to a few other daemons. Each daemon decides from
the records that it has. When something becomes held or is released, the record passes
from daemon to daemon at once; every daemon also asks a random other one for what it has
missed, and `hold_store` tells daemons that reach no other.
"""

import asyncio
import logging
import random
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from ..errors import BerylpostError, ErrorKind
from ..hashing import hash_text
from ..logs import log_event
from ..policy.quarantine import PartRecord
from ..policy.server_process import (
    LISTENS,
    ProbeResult,
    find_crash_pause,
    has_crashed,
)
from ..policy.stream_version import rank_keepers
from ..request_holds import TRIAL_S, RequestHolds, Suspects, WireRecord
from .backend_table import BackendRecord, BackendTable
from .clock import read_boottime
from .datagrams import DatagramChannel
from .hold_store import HoldStore
from .members import FAN_OUT, Members
from .model import Endpoint
from .open_paths import NotConnectedError
from .store_era import StoreEra

LOGGER: Final = logging.getLogger(__name__)

# First bytes of this module's datagrams; no other message begins with them.
DATAGRAM_MARK: Final = b"\xc1\xc1"
N_KEEPERS: Final = 8  # daemons that each part's records are reported to
MAX_HELD_TOLD: Final = 32  # held parts named in one datagram
MAX_LOGGED_PARTS: Final = 16
PROBE_TIMEOUT_S: Final = 0.4
# A repeat of a broken request waits this long to learn whether its server has ended.
CHECK_WAIT_S: Final = 0.1
# Prompts wait this long after the start of the daemon to learn what is held.
START_WAIT_S: Final = 0.5


class _Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """Records of the sender."""

    records: tuple[WireRecord, ...]


class _Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for records; names the parts that the sender holds back."""

    held: tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _BrokenServer:
    """Requests that broke on a server of which it is not yet known if it has ended."""

    record: BackendRecord
    broke_at: float
    requests: list[Suspects] = field(default_factory=list)
    checked: asyncio.Event = field(default_factory=asyncio.Event)


class RequestQuarantine:
    """The requests and prompt parts that this daemon holds back.

    Args:
        name: name of this daemon.
        store: address of the store.
        era: era of the store.
        members: the other daemons.
        table: state of the backend servers.
    """

    def __init__(
        self,
        *,
        name: str,
        store: Endpoint,
        era: StoreEra,
        members: Members,
        table: BackendTable,
    ) -> None:
        self._era = era
        self.state = RequestHolds(
            name=name, read_clock=read_boottime, on_change=self._pass_on
        )
        self._name = name
        self._members = members
        self._table = table
        self._started_at = float("-inf")
        self._broken: dict[str, _BrokenServer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._hold_store = HoldStore(
            address=store,
            era=era,
            members=members,
            list_owned=self._list_owned,
            is_held=lambda key: key in self.state.holds,
            merge=self.state.merge_ages,
        )
        self._channel: DatagramChannel[_Report | _Pull] = DatagramChannel(
            members=members,
            mark=DATAGRAM_MARK,
            message_type=_Report | _Pull,
            handle=self._handle,
        )

    @property
    def n_held(self) -> int:
        """Number of requests and parts held back."""
        return len(self.state.holds)

    def start(self) -> None:
        """Starts to ask the other daemons; called from the event loop."""
        self._channel.start_asking(self._make_pull, lambda: self.state.decide("time"))
        self._spawn(self._hold_store.run())
        self._started_at = read_boottime()

    def stop(self) -> None:
        """Stops all tasks."""
        self._channel.stop_asking()
        for task in list(self._tasks):
            task.cancel()

    async def await_start(self) -> None:
        """Waits until this daemon knows what it must of before, or for a short time.

        That is what is held, and whether the store's copy may be outdated.
        """
        if self._hold_store.was_read.is_set() and self._era.is_dated:
            return
        left_s = self._started_at + START_WAIT_S - read_boottime()
        if left_s > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._hold_store.was_read.wait()
                    await self._era.was_dated.wait()
            except TimeoutError:
                pass  # without the store, the neighbours tell

    def admit(self, suspects: Suspects) -> bool:
        """Decides whether a request is accepted.

        Returns:
            Whether the request tries what is held.

        Raises:
            BerylpostError: something of it is held; it is refused and has not run.
        """
        held = self.state.list_held(suspects)
        if not held:
            return False
        if self.state.find_wait(held) > 0 or not all(map(self._is_first_keeper, held)):
            raise self.make_refusal(suspects)
        self.state.begin_trial(held)
        return True

    def cancel_trial(self, suspects: Suspects) -> None:
        """Lets another request try what is held, since this one was not sent."""
        self.state.cancel_trial(suspects)

    def make_refusal(self, suspects: Suspects) -> BerylpostError:
        """Makes the error that refuses a held request before it has run."""
        held = self.state.list_held(suspects)
        wait_s = self.state.find_wait(held) if held else 0.0
        detail = "the request is held back"
        if suspects.digest not in held:
            detail = "a part of the prompt is held back"
        return BerylpostError(
            ErrorKind.QUARANTINED, detail, retry_after_s=max(wait_s, TRIAL_S)
        )

    def is_held(self, suspects: Suspects) -> bool:
        """Tells whether a request or any of its parts is held."""
        return bool(self.state.list_held(suspects))

    def note_answered(self, suspects: Suspects) -> None:
        """Records that a request was answered completely."""
        self.state.note_answered(suspects)

    def note_broken(self, record: BackendRecord, suspects: Suspects) -> None:
        """Records that an answer broke off; finds out whether its server has ended."""
        # A server that was to leave has not crashed.
        if record.shutdown_at is not None:
            return
        server = record.backend.id
        broken = self._broken.get(server)
        if broken is None:
            broken = _BrokenServer(record=record, broke_at=read_boottime())
            self._broken[server] = broken
            self._spawn(self._check_server(broken))
        broken.requests.append(suspects)

    async def await_check(self, record: BackendRecord) -> None:
        """Waits until it is known whether a server has ended, or for a short time."""
        broken = self._broken.get(record.backend.id)
        if broken is None:
            return
        try:
            async with asyncio.timeout(CHECK_WAIT_S):
                await broken.checked.wait()
        except TimeoutError:
            pass  # the check goes on

    async def _check_server(self, broken: _BrokenServer) -> None:
        has_ended = await self._has_ended(broken)
        backend = broken.record.backend
        del self._broken[backend.id]
        parts = sorted({part for request in broken.requests for part in request.parts})
        digests = sorted({request.digest for request in broken.requests})
        log_event(
            LOGGER,
            "backend_ended" if has_ended else "backend_still_up",
            backend=backend.id,
            version=backend.software_version,
            n_requests=len(broken.requests),
            requests=_render_keys(digests),
            parts=_render_keys(parts),
            after_s=read_boottime() - broken.broke_at,
        )
        if has_ended:
            self._record_crash(broken)
        broken.checked.set()

    async def _has_ended(self, broken: _BrokenServer) -> bool:
        """Tells whether a server whose answers broke off has ended.

        A link that was cut looks the same at first. The entry of a server that is
        silent disappears.
        """
        record = broken.record
        results: list[ProbeResult] = []
        pause_s: float | None = 0.0
        while pause_s is not None:
            await asyncio.sleep(pause_s)
            if self._table.records.get(record.backend.id) is not record:
                return record.shutdown_at is None
            results.append(await _probe(record))
            if LISTENS[results[-1]]:
                broken.checked.set()  # repeats need not wait for the second probe
            pause_s = find_crash_pause(results)
        return has_crashed(results) and record.shutdown_at is None

    def _record_crash(self, broken: _BrokenServer) -> None:
        backend = broken.record.backend
        server = hash_text(f"{backend.id}/{backend.started_ms}")
        keys = self.state.record_crash(server, broken.requests, broken.broke_at)
        # Parts that were on one server are reported together, so that each keeper can
        # tell the culprit from the others.
        alive = {m.name: m.address for m in self._members.list_alive()}
        keepers = {
            name for key in keys for name in rank_keepers(str(key), alive)[:N_KEEPERS]
        }
        self._send_records(keys, [alive[name] for name in keepers])

    def _is_first_keeper(self, key: int) -> bool:
        if not self._members.active:
            return False
        names = [m.name for m in self._members.list_alive() if not m.leaving]
        return rank_keepers(str(key), [*names, self._name])[0] == self._name

    def _list_owned(self) -> dict[int, PartRecord]:
        """Lists the held parts that this daemon writes to the store, with ages."""
        return self.state.list_ages(filter(self._is_first_keeper, self.state.holds))

    def _pass_on(self, changed: frozenset[int]) -> None:
        """Tells a few other daemons what became held or was released."""
        alive = [member.address for member in self._members.list_reachable()]
        random.shuffle(alive)
        self._send_records(changed | self.state.holds.keys(), alive[:FAN_OUT])

    def _make_pull(self) -> _Pull:
        return _Pull(tuple(list(self.state.holds)[:MAX_HELD_TOLD]))

    def _handle(self, message: _Report | _Pull, address: Endpoint) -> None:
        """Handles a message of another daemon."""
        match message:
            case _Report(records):
                # The sender did not know that these parts were answered here.
                self._send_records(self.state.merge(records), [address])
            case _Pull(held):
                if set(held) != self.state.holds.keys():
                    self._send_records({*held, *self.state.holds}, [address])

    def _send_records(self, keys: Iterable[int], addresses: list[Endpoint]) -> None:
        for records in self.state.export(keys):
            for address in addresses:
                self._channel.send(address, _Report(records))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _render_keys(keys: list[int]) -> str:
    return ",".join(f"{key:016x}" for key in keys[:MAX_LOGGED_PARTS])


async def _probe(record: BackendRecord) -> ProbeResult:
    """Opens a connection and closes it at once.

    A link that is cut may refuse connections, so a server counts as gone only if it
    refuses those of other daemons, too.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            path = await record.pool.open_path()
    except NotConnectedError as error:
        return error.result
    except TimeoutError:
        return ProbeResult.SILENT
    path.transport.abort()
    return ProbeResult.KEPT
