"""The task that holds the configurations in force and moves them only forward.

A few daemons a zone watch the object API; the others hear numbers from neighbours
and pull what they miss, as patches or, over a gap, as a whole document. Patching
is stateless: `submit_patch` runs in the thread of the operator's request and its
safety is the object API's conditional write alone.
"""

import logging
import random
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from .configuration import (
    AuditEntry,
    Deployment,
    Identity,
    VersionedConfiguration,
    apply_patch,
    index_tokens,
    parse_deployment,
)
from .errors import BerylpostError, ErrorKind, PlatformError
from .invariants import check_invariant
from .kernel import Context, MailboxTask, Plugin, Slot, register_plugin
from .logs import log_event
from .messages import ConfigurationPull, ConfigurationPush, Message
from .metrics import CONFIGURATION_NUMBER
from .peers import AnnounceNumbers, NumbersHeard, Send
from .platform.objects import HttpObjects, Objects
from .policy.membership import Table, choose_watchers, list_active
from .writer import ConditionalWriter, Seen, Verdict, open_envelope, read_object

LOGGER: Final = logging.getLogger(__name__)
PREFIX: Final = "configurations/"
TICK_S: Final = 0.5
RECENT_BYTES: Final = 200_000  # patches kept in the document; older ones are audit
MIN_RECENT: Final = 50
MAX_RECENT: Final = 100
WATCH_PAUSE_S: Final = (0.5, 5.0)
PULL_PAUSE_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """A configuration in force here, checked and indexed."""

    versioned: VersionedConfiguration
    deployment: Deployment
    tokens: Mapping[str, Identity]


@dataclass(frozen=True, slots=True, kw_only=True)
class Offered:
    """A document from the store or from a patch that this daemon accepted."""

    versioned: VersionedConfiguration


def build_in_force(versioned: VersionedConfiguration) -> InForce:
    """Checks and indexes a numbered document.

    Raises:
        BerylpostError: `INVALID_CONFIGURATION`.
    """
    deployment = parse_deployment(versioned.document)
    return InForce(
        versioned=versioned,
        deployment=deployment,
        tokens=index_tokens(versioned.name, deployment),
    )


def apply_entries(
    versioned: VersionedConfiguration, entries: tuple[AuditEntry, ...]
) -> VersionedConfiguration | None:
    """Applies patches in order; None when one is missing in between."""
    for entry in sorted(entries, key=lambda e: e.number):
        if entry.number <= versioned.number:
            continue
        if entry.base != versioned.number:
            return None
        document = apply_patch(versioned.document, entry.media_type, entry.patch)
        versioned = VersionedConfiguration(
            name=versioned.name,
            number=entry.number,
            document=document,
            recent=(*versioned.recent, entry)[-MAX_RECENT:],
        )
    return versioned


def read_versioned(
    objects: Objects, name: str
) -> tuple[Seen, VersionedConfiguration | None]:
    """Reads a deployment's document from the object API.

    Raises:
        PlatformError: no answer, or not a document of ours.
    """
    seen = read_object(objects, PREFIX + name)
    value = seen.open()
    if value is None:
        return seen, None
    return seen, _decode_versioned(value)


def _decode_versioned(value: bytes) -> VersionedConfiguration:
    try:
        return msgspec.json.decode(value, type=VersionedConfiguration)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"not a configuration: {error}") from error


def create_configuration(
    objects: Objects, writer: ConditionalWriter, name: str, document: dict[str, Any]
) -> VersionedConfiguration:
    """Writes number 1 of a deployment, for an operator with platform access.

    Raises:
        BerylpostError: invalid, exists already, or the outcome is unknown.
    """
    parse_deployment(document)
    seen, present = read_versioned(objects, name)
    if present is not None:
        raise BerylpostError(
            ErrorKind.STALE_NUMBER,
            f"{name} exists with number {present.number}; patch it instead",
            fields={"number": present.number},
        )
    versioned = VersionedConfiguration(name=name, number=1, document=document)
    _write_versioned(writer, seen, versioned)
    return versioned


def submit_patch(
    objects: Objects,
    writer: ConditionalWriter,
    *,
    name: str,
    base: int,
    patch_id: str,
    author: str,
    media_type: str,
    patch: Any,
) -> VersionedConfiguration:
    """Applies an operator's patch to the numbered document in the object API.

    Args:
        objects: the object API.
        writer: of this daemon.
        name: of the deployment.
        base: the number the patch was made against.
        patch_id: unique for the patch; repeating it answers as before.
        author: the operator's name.
        media_type: which of the two patch formats.
        patch: the decoded patch.

    Returns:
        The document that the patch produced, as it is now in the object API.

    Raises:
        BerylpostError: `STALE_NUMBER` with the current number, or as `apply_patch`
            and `parse_deployment` say, or `OUTCOME_UNKNOWN`.
        PlatformError: the object API did not answer and nothing was written.
    """
    seen, current = read_versioned(objects, name)
    if current is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no deployment {name!r}")
    for entry in current.recent:
        if entry.patch_id == patch_id:
            # The answer to the first try may have been lost; it took effect.
            return msgspec.structs.replace(current, number=entry.number)
    if base != current.number:
        raise _stale(current.number)
    document = apply_patch(current.document, media_type, patch)
    parse_deployment(document)
    entry = AuditEntry(
        patch_id=patch_id,
        author=author,
        time=time.time(),
        base=base,
        number=base + 1,
        media_type=media_type,
        patch=patch,
    )
    recent = spill_audit(objects, name, (*current.recent, entry))
    versioned = VersionedConfiguration(
        name=name, number=base + 1, document=document, recent=recent
    )
    _write_versioned(writer, seen, versioned)
    log_event(LOGGER, "patch_accepted", deployment=name, number=base + 1, by=author)
    return versioned


def _stale(number: int) -> BerylpostError:
    return BerylpostError(
        ErrorKind.STALE_NUMBER,
        f"the current number is {number}",
        fields={"number": number},
    )


def _write_versioned(
    writer: ConditionalWriter, seen: Seen, versioned: VersionedConfiguration
) -> None:
    value = msgspec.json.encode(versioned)
    outcome = writer.write(PREFIX + versioned.name, value, over=seen)
    if outcome.verdict in (Verdict.WRITTEN, Verdict.SUPERSEDED):
        return
    if outcome.verdict is Verdict.UNKNOWN:
        raise BerylpostError(
            ErrorKind.OUTCOME_UNKNOWN, "ask again with the same patch id"
        )
    if outcome.seen is None:
        raise PlatformError("the object API refused the write; nothing was changed")
    value_now = outcome.seen.open()
    raise _stale(_decode_versioned(value_now).number if value_now else 0)


def spill_audit(
    objects: Objects, name: str, recent: tuple[AuditEntry, ...]
) -> tuple[AuditEntry, ...]:
    """Moves old entries from the document to audit segments once they are many.

    A segment's key and content follow from its entries, so writing it twice, by
    racing operators or after a lost answer, changes nothing.
    """
    too_long = len(recent) > MAX_RECENT
    too_large = len(msgspec.json.encode(recent)) > RECENT_BYTES
    if not too_long and not (too_large and len(recent) > 1):
        return recent
    n_spilled = len(recent) - MIN_RECENT if too_long else len(recent) - 1
    spilled = recent[:n_spilled]
    key = f"audit/{name}/{spilled[0].number:010d}"
    objects.write(key, msgspec.json.encode(spilled), version=0)
    return recent[n_spilled:]


def read_audit(objects: Objects, name: str, limit: int) -> list[AuditEntry]:
    """Reads the newest audit entries, newest first."""
    _, current = read_versioned(objects, name)
    if current is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no deployment {name!r}")
    entries = list(current.recent)
    for key in reversed(objects.list_keys(f"audit/{name}/")):
        if len(entries) >= limit:
            break
        segment = msgspec.json.decode(
            objects.read(key).value, type=tuple[AuditEntry, ...]
        )
        entries = [*segment, *entries]
    unique = {entry.number: entry for entry in entries}
    return [unique[number] for number in sorted(unique, reverse=True)][:limit]


class ConfigurationsTask(MailboxTask):
    """Holds what is in force; see the module's docstring."""

    def __init__(self, *, context: Context, objects: HttpObjects) -> None:
        super().__init__(
            name="configurations",
            handle=self._handle_message,
            tick=self._advance,
            close=self._stop_watching,
        )
        self._context = context
        self._objects = objects
        self._random = random.Random(f"{context.settings.daemon.id}/{time.time_ns()}")
        self._members: Slot[Table] = context.slots["members"]
        self.in_force: Slot[Mapping[str, InForce]] = context.open_slot(
            "configurations", {}
        )
        self._pulled_at: dict[str, float] = {}
        self._is_watching = False
        self._watch_thread: threading.Thread | None = None
        self._may_watch_at = 0.0
        self._read_at = 0.0
        self._names = context.settings.daemon.deployments
        self._handlers: dict[type, Callable[[Any], None]] = {
            Offered: lambda m: self._take(m.versioned),
            NumbersHeard: self._hear_numbers,
            ConfigurationPull: self._answer_pull,
            ConfigurationPush: self._take_push,
        }
        context.readiness["configurations"] = self._is_ready

    def _is_ready(self) -> bool:
        held = self.in_force.read()
        return all(name in held for name in self._names)

    def _handle_message(self, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _advance(self) -> float:
        missing = [n for n in self._names if n not in self.in_force.read()]
        if missing and time.monotonic() >= self._read_at:
            self._read_at = time.monotonic() + self._random.uniform(0.5, 2.0)
            self._read_store(missing)
        self._tend_watch()
        return TICK_S

    def _read_store(self, names: list[str]) -> None:
        for name in names:
            try:
                _, versioned = read_versioned(self._objects, name)
            except PlatformError as error:
                log_event(LOGGER, "store_unavailable", logging.WARNING, error=error)
                return
            if versioned is not None:
                self._take(versioned)

    def _take(self, versioned: VersionedConfiguration) -> None:
        """Puts a document in force if its number is higher than the present one."""
        if versioned.name not in self._names:
            return
        held = self.in_force.read()
        present = held.get(versioned.name)
        before = present.versioned.number if present else 0
        if versioned.number <= before:
            return
        in_force = build_in_force(versioned)
        check_invariant(
            "configuration_moves_forward",
            in_force.versioned.number > before,
            deployment=versioned.name,
        )
        held = {**held, versioned.name: in_force}
        self.in_force.publish(held)
        CONFIGURATION_NUMBER.labels(versioned.name).set(versioned.number)
        log_event(
            LOGGER,
            "configuration_in_force",
            deployment=versioned.name,
            number=versioned.number,
        )
        numbers = tuple(sorted((n, f.versioned.number) for n, f in held.items()))
        self._context.post("peers", AnnounceNumbers(numbers=numbers))

    # From neighbours.

    def _hear_numbers(self, heard: NumbersHeard) -> None:
        held = self.in_force.read()
        now = time.monotonic()
        for name, number in heard.numbers:
            have = held[name].versioned.number if name in held else 0
            recently = now - self._pulled_at.get(name, -1e9) < PULL_PAUSE_S
            if name not in self._names or number <= have or recently:
                continue
            self._pulled_at[name] = now
            pull = ConfigurationPull(sender=self._self_id(), deployment=name, have=have)
            self._send(heard.sender, pull)

    def _answer_pull(self, pull: ConfigurationPull) -> None:
        present = self.in_force.read().get(pull.deployment)
        if present is None or present.versioned.number <= pull.have:
            return
        versioned = present.versioned
        missing = tuple(e for e in versioned.recent if e.number > pull.have)
        complete = len(missing) == versioned.number - pull.have and pull.have > 0
        push = ConfigurationPush(
            sender=self._self_id(),
            deployment=pull.deployment,
            number=versioned.number,
            entries=missing if complete else (),
            full=None if complete else versioned,
        )
        self._send(pull.sender, push)

    def _take_push(self, push: ConfigurationPush) -> None:
        self._pulled_at.pop(push.deployment, None)
        if push.full is not None:
            self._take(push.full)
            return
        present = self.in_force.read().get(push.deployment)
        if present is None:
            return
        versioned = apply_entries(present.versioned, push.entries)
        if versioned is not None:
            self._take(versioned)

    def _self_id(self) -> str:
        return self._context.settings.daemon.id

    def _send(self, to: str, message: Message) -> None:
        self._context.post("peers", Send(to=to, message=message))

    # From the store.

    def _tend_watch(self) -> None:
        """Opens the watch when it is this daemon's turn, closes it when not."""
        settings = self._context.settings
        active = list_active(self._members.read())
        n_watchers = settings.platform.watchers_per_zone
        watchers = choose_watchers(active, settings.daemon.zone, n_watchers)
        wanted = settings.daemon.id in watchers
        running = self._watch_thread is not None and self._watch_thread.is_alive()
        self._is_watching = wanted
        if wanted and not running and time.monotonic() >= self._may_watch_at:
            self._watch_thread = threading.Thread(
                target=self._run_watch, name="configuration-watch", daemon=True
            )
            self._watch_thread.start()

    def _stop_watching(self) -> None:
        self._is_watching = False

    def _run_watch(self) -> None:
        """Waits on the watch; posts each change to the task's own mailbox."""
        try:
            for key, stored in self._objects.watch(PREFIX, lambda: self._is_watching):
                envelope = open_envelope(key, stored.value)
                self.post(Offered(versioned=_decode_versioned(envelope.open())))
        except (PlatformError, ValueError) as error:
            log_event(LOGGER, "watch_ended", logging.WARNING, error=error)
        finally:
            # Spread, so that a store that returns is not met by all at once.
            self._may_watch_at = time.monotonic() + self._random.uniform(*WATCH_PAUSE_S)


def _build(context: Context) -> ConfigurationsTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    return ConfigurationsTask(context=context, objects=objects)


register_plugin(Plugin(name="configurations", requires=("peers",), build=_build))
