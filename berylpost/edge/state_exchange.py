"""Fetches from other daemons what this one lacks of the store's state.

Gossip tells which daemons know more. A state is fetched from one that has just said so;
if it does not arrive soon, since that daemon has ended or its link is cut, the next one
is asked beside it. What is not known yet is so late by a few tenths of a second for
each source that fails, not by its time-out.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

import msgspec

from ..errors import PlatformError
from ..logs import log_event
from .catalogue import PARTIAL_DIGEST, Catalogue
from .clock import read_boottime
from .http_channel import HttpChannel
from .member import Member, Progress
from .members import Members
from .store_watch import StoreWatch

LOGGER: Final = logging.getLogger(__name__)

STATE_PATH: Final = "/state"
STATE_TIMEOUT_S: Final = 1.0  # for a megabyte between two daemons at 10 Mbit/s
# A connection between regions takes some 20 ms; a lost SYN is sent again after 1 s.
CONNECT_TIMEOUT_S: Final = 0.3
# Changes take a few milliseconds; after this time another daemon is asked, too.
HEDGE_S: Final = 0.3
MAX_FETCHES: Final = 3
# Daemons that said within this time that they know more may be asked.
SOURCE_TTL_S: Final = 1.0
# A daemon that did not deliver is asked after the others for this long.
FAILED_TTL_S: Final = 5.0
FETCH_DELAY_S: Final = 0.6  # a working watch delivers the change sooner
# Two gossip rounds, within which a change may still be in transit.
DIGEST_MISMATCH_S: Final = 0.4


class StateExchange:
    """Keeps this daemon's state of the store as new as that of the others.

    Args:
        catalogue: the state of the store.
        members: the other daemons.
        watch: this daemon's own watches.
        read_progress: returns how far this daemon knows the store.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        members: Members,
        watch: StoreWatch,
        read_progress: Callable[[], Progress],
    ) -> None:
        self._catalogue = catalogue
        self._members = members
        self._watch = watch
        self._read_progress = read_progress
        self._outdated_since: float | None = None
        self._mismatch_since: dict[str, float] = {}
        # When each daemon last said that it knows more.
        self._sources: dict[str, float] = {}
        # When each daemon last failed to deliver a state.
        self._failed_at: dict[str, float] = {}
        # Daemons that are being asked.
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._hedge: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Ends what is being fetched."""
        if self._hedge is not None:
            self._hedge.cancel()
        for task in self._fetches.values():
            task.cancel()

    def note_progress(self, member: Member, progress: Progress) -> None:
        """Fetches a state if a daemon of the same era knows more than this one."""
        own = self._read_progress()
        now = read_boottime()
        if _is_ahead(progress, own):
            self._mismatch_since.pop(member.name, None)
            self._sources[member.name] = now
            if self._outdated_since is None:
                self._outdated_since = now
            # If this daemon has a working watch, that is likely to deliver it now.
            delay_s = FETCH_DELAY_S if self._watch.is_served else 0.0
            if now - self._outdated_since < delay_s or self._fetches:
                return
            if self._has_failed(member.name):
                self._ask_next()
            else:
                self._start(member, own.backends_revision)
            return
        self._sources.pop(member.name, None)
        # Same revision but different entries: one of the two has missed a removal.
        mismatch = (
            member.watch_served
            and progress.backends_revision == own.backends_revision
            and progress.backends_digest != own.backends_digest
            and PARTIAL_DIGEST not in (progress.backends_digest, own.backends_digest)
        )
        if not mismatch:
            self._mismatch_since.pop(member.name, None)
            return
        since = self._mismatch_since.setdefault(member.name, now)
        if now - since > DIGEST_MISMATCH_S and not self._fetches:
            del self._mismatch_since[member.name]
            self._start(member, 0)

    def note_current(self) -> None:
        """Notes that the catalogue has changed; what is newer still is told anew."""
        self._outdated_since = None

    def _start(self, member: Member, backends_since: int) -> None:
        task = asyncio.create_task(self.fetch(member, backends_since))
        self._fetches[member.name] = task
        task.add_done_callback(lambda _task: self._finish(member.name))
        # A whole state may take longer, and would be sent several times.
        if backends_since and len(self._fetches) < MAX_FETCHES:
            loop = asyncio.get_running_loop()
            if self._hedge is not None:
                self._hedge.cancel()
            self._hedge = loop.call_later(HEDGE_S, self._ask_next)

    def _finish(self, name: str) -> None:
        self._fetches.pop(name, None)
        if not self._fetches:
            self._ask_next()

    def _ask_next(self) -> None:
        """Asks another daemon if what is newer has not arrived."""
        now = read_boottime()
        horizon = now - SOURCE_TTL_S
        self._failed_at = {
            n: at for n, at in self._failed_at.items() if now - at < FAILED_TTL_S
        }
        self._sources = {n: at for n, at in self._sources.items() if at >= horizon}
        if self._outdated_since is None or len(self._fetches) >= MAX_FETCHES:
            return
        names = [n for n in self._sources if n not in self._fetches]
        if not names:
            self._members.ask_others()
            return
        newest = max(names, key=lambda n: (not self._has_failed(n), self._sources[n]))
        member = self._members.members.get(newest)
        if member is not None:
            self._start(member, self._read_progress().backends_revision)

    def _has_failed(self, name: str) -> bool:
        """Tells whether a daemon lately failed to deliver a state."""
        failed_at = self._failed_at.get(name, float("-inf"))
        return read_boottime() - failed_at < FAILED_TTL_S

    async def fetch(self, member: Member, backends_since: int) -> None:
        """Fetches the state that this daemon lacks from another one.

        Args:
            member: the daemon to ask.
            backends_since: revision of the known backend servers; 0 fetches all.
        """
        began_at = read_boottime()
        channel = HttpChannel(
            address=member.address, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        number, revision = self._catalogue.read_rank()
        target = (
            f"{STATE_PATH}?number={number}&configuration={revision}"
            f"&backends={backends_since}"
        )
        waited_since = self._outdated_since or began_at
        event, cause = "state_bridged", ""
        try:
            answer = await channel.call("GET", target, timeout_s=STATE_TIMEOUT_S)
            state = msgspec.json.decode(answer.body)
            if not self._catalogue.import_state(state):
                event = "state_known"
            elif self._watch.is_served:
                self._watch.restart()
            self._outdated_since = None
            self._failed_at.pop(member.name, None)
        except (PlatformError, msgspec.MsgspecError, KeyError, TypeError) as error:
            self._sources.pop(member.name, None)
            self._failed_at[member.name] = read_boottime()
            event, cause = "state_fetch_failed", repr(error)
        finally:
            channel.close()
        now = read_boottime()
        log_event(
            LOGGER,
            event,
            member=member.name,
            # From the first news of it, and of this fetch alone.
            waited_s=now - waited_since,
            fetch_s=now - began_at,
            n_fetches=len(self._fetches),
            revision=self._catalogue.backends_revision,
            error=cause,
        )


def _is_ahead(progress: Progress, own: Progress) -> bool:
    """Tells whether a daemon knows a newer configuration or newer servers."""
    return (
        progress.configuration > own.configuration
        or progress.backends_revision > own.backends_revision
    )
