"""The task that holds the configurations in force and only increases their numbers.

A few daemons in each availability zone watch the object API. The others learn the
current numbers from their neighbours and pull the patches that they miss, or the
whole document when some of those patches are no longer available. Patching is
stateless: `submit_patch` runs in the thread of the operator's request, and its
safety rests solely on the conditional write of the object API.

The object API may come back from an older copy. What is in force is newer then: a patch
applies to that, and a daemon that watches writes it back.
"""

import logging
import random
import threading
import time
import uuid
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
from .peers import AnnounceConfigurationNumbers, ConfigurationNumbersReceived, Send
from .platform.objects import HttpObjects, Objects
from .policy.membership import Table, choose_watchers, list_active
from .writer import (
    ConditionalWriter,
    ObjectSnapshot,
    Verdict,
    open_envelope,
    read_object,
)

LOGGER: Final = logging.getLogger(__name__)
PREFIX: Final = "configurations/"
TICK_S: Final = 0.5
# Limit for the patches kept with the document; older ones move to audit segments.
MAX_RECENT_BYTES: Final = 200_000
MIN_RECENT: Final = 50
MAX_RECENT: Final = 100
WATCH_PAUSE_S: Final = (0.5, 5.0)
PULL_PAUSE_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationInForce:
    """A validated and indexed configuration that is in force on this daemon."""

    versioned: VersionedConfiguration
    deployment: Deployment
    tokens: Mapping[str, Identity]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationReceived:
    """A document read from the object API or produced by a patch accepted here."""

    versioned: VersionedConfiguration
    is_watched: bool = False  # whether the object API holds it now


def build_configuration_in_force(
    versioned: VersionedConfiguration,
) -> ConfigurationInForce:
    """Validates and indexes a numbered document.

    Raises:
        BerylpostError: `INVALID_CONFIGURATION`.
    """
    deployment = parse_deployment(versioned.document)
    return ConfigurationInForce(
        versioned=versioned,
        deployment=deployment,
        tokens=index_tokens(versioned.name, deployment),
    )


def apply_entries(
    versioned: VersionedConfiguration, entries: tuple[AuditEntry, ...]
) -> VersionedConfiguration | None:
    """Applies patches in order; returns None when one in the sequence is missing."""
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
) -> tuple[ObjectSnapshot, VersionedConfiguration | None]:
    """Reads a deployment's document from the object API.

    Raises:
        PlatformError: the object API did not answer, or the value is not a
            configuration document.
    """
    snapshot = read_object(objects, PREFIX + name)
    value = snapshot.open()
    if value is None:
        return snapshot, None
    return snapshot, _decode_versioned(value)


def _decode_versioned(value: bytes) -> VersionedConfiguration:
    try:
        return msgspec.json.decode(value, type=VersionedConfiguration)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"not a configuration: {error}") from error


def create_configuration(
    objects: Objects, writer: ConditionalWriter, name: str, document: dict[str, Any]
) -> VersionedConfiguration:
    """Creates a deployment's document with number 1.

    For operators with access to the platform.

    Raises:
        BerylpostError: the document is invalid, the deployment already exists, or the
            outcome of the write is unknown.
        PlatformError: the object API failed and the deployment was not created.
    """
    parse_deployment(document)
    snapshot, present = read_versioned(objects, name)
    if present is not None:
        raise BerylpostError(
            ErrorKind.STALE_NUMBER,
            f"{name} exists with number {present.number}; patch it instead",
            fields={"number": present.number},
        )
    versioned = VersionedConfiguration(name=name, number=1, document=document)
    _write_versioned(writer, snapshot, versioned)
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
    in_force: VersionedConfiguration | None = None,
) -> VersionedConfiguration:
    """Applies an operator's patch to the numbered document in the object API.

    Args:
        objects: the object API.
        writer: the conditional writer of this daemon.
        name: name of the deployment.
        base: the number the patch was made against.
        patch_id: unique id of the patch; a repeated request gets the same answer.
        author: the operator's name.
        media_type: media type of the patch, which selects one of the two formats.
        patch: the decoded patch.
        in_force: the document in force on this daemon, which may be newer than the one
            in the object API after that came back from an older copy.

    Returns:
        The document that the patch produced, as it is now in the object API.

    Raises:
        BerylpostError: `NOT_FOUND`, `STALE_NUMBER` with the current number,
            `OUTCOME_UNKNOWN`, or an error of `apply_patch` or `parse_deployment`.
        PlatformError: the object API did not answer and nothing was written.
    """
    while True:
        snapshot, current = _read_newest(objects, name, in_force)
        for entry in current.recent:
            if entry.patch_id == patch_id:
                # This patch has taken effect already; the answer may have been lost.
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
        try:
            _write_versioned(writer, snapshot, versioned)
        except BerylpostError as error:
            # The document was written back meanwhile, with the number of the base.
            if error.fields.get("number") == base:
                continue
            raise
        log_event(LOGGER, "patch_accepted", deployment=name, number=base + 1, by=author)
        return versioned


def _read_newest(
    objects: Objects, name: str, in_force: VersionedConfiguration | None
) -> tuple[ObjectSnapshot, VersionedConfiguration]:
    """Reads a document; returns the one in force in its place if that is newer.

    Raises:
        BerylpostError: there is no such deployment.
        PlatformError: the object API did not answer.
    """
    snapshot, current = read_versioned(objects, name)
    if in_force is not None and (current is None or current.number < in_force.number):
        current = in_force
    if current is None:
        raise BerylpostError(ErrorKind.NOT_FOUND, f"no deployment {name!r}")
    return snapshot, current


def write_back(
    objects: Objects, writer: ConditionalWriter, in_force: VersionedConfiguration
) -> bool:
    """Writes the document in force if the object API has an older one.

    Returns:
        Whether it was written.

    Raises:
        BerylpostError: another daemon wrote meanwhile, or the outcome is unknown.
        PlatformError: the object API did not answer.
    """
    snapshot, stored = read_versioned(objects, in_force.name)
    if stored is not None and stored.number >= in_force.number:
        return False
    _write_versioned(writer, snapshot, in_force)
    log_event(
        LOGGER,
        "configuration_written_back",
        logging.WARNING,
        deployment=in_force.name,
        number=in_force.number,
        stored=stored.number if stored is not None else 0,
    )
    return True


def _stale(number: int) -> BerylpostError:
    return BerylpostError(
        ErrorKind.STALE_NUMBER,
        f"the current number is {number}",
        fields={"number": number},
    )


def _write_versioned(
    writer: ConditionalWriter,
    snapshot: ObjectSnapshot,
    versioned: VersionedConfiguration,
) -> None:
    value = msgspec.json.encode(versioned)
    outcome = writer.write(PREFIX + versioned.name, value, over=snapshot)
    if outcome.verdict in (Verdict.WRITTEN, Verdict.SUPERSEDED):
        return
    if outcome.verdict is Verdict.UNKNOWN:
        raise BerylpostError(
            ErrorKind.OUTCOME_UNKNOWN, "ask again with the same patch id"
        )
    if outcome.snapshot is None:
        raise PlatformError("the object API refused the write; nothing was changed")
    value_now = outcome.snapshot.open()
    raise _stale(_decode_versioned(value_now).number if value_now else 0)


def spill_audit(
    objects: Objects, name: str, recent: tuple[AuditEntry, ...]
) -> tuple[AuditEntry, ...]:
    """Moves old entries from the document to an audit segment once it has too many.

    A segment's key and content are derived from its entries, so writing it twice,
    by concurrent operators or after a lost answer, is idempotent.
    """
    too_long = len(recent) > MAX_RECENT
    too_large = len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES
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
    """Holds the configurations in force; see the module docstring."""

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
        self.in_force: Slot[Mapping[str, ConfigurationInForce]] = context.open_slot(
            "configurations", {}
        )
        self._pulled_at: dict[str, float] = {}
        self._is_watching = False
        self._watch_thread: threading.Thread | None = None
        self._next_watch_at = 0.0
        self._next_read_at = 0.0
        self._names = context.settings.daemon.deployments
        self._handlers: dict[type, Callable[[Any], None]] = {
            ConfigurationReceived: self._handle_received,
            ConfigurationNumbersReceived: self._pull_newer,
            ConfigurationPull: self._answer_pull,
            ConfigurationPush: self._apply_push,
        }
        context.readiness["configurations"] = self._is_ready

    def _is_ready(self) -> bool:
        configurations = self.in_force.read()
        return all(name in configurations for name in self._names)

    def _handle_message(self, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _advance(self) -> float:
        missing = [n for n in self._names if n not in self.in_force.read()]
        if missing and time.monotonic() >= self._next_read_at:
            self._next_read_at = time.monotonic() + self._random.uniform(0.5, 2.0)
            self._read_store(missing)
        self._update_watch()
        return TICK_S

    def _read_store(self, names: list[str]) -> None:
        for name in names:
            try:
                _, versioned = read_versioned(self._objects, name)
            except PlatformError as error:
                log_event(LOGGER, "store_unavailable", logging.WARNING, error=error)
                return
            if versioned is not None:
                self._put_in_force(versioned)

    def _handle_received(self, received: ConfigurationReceived) -> None:
        versioned = received.versioned
        present = self.in_force.read().get(versioned.name)
        number = present.versioned.number if present is not None else 0
        if received.is_watched and present is not None and versioned.number < number:
            writer = ConditionalWriter(
                objects=self._objects, writer=f"{self._self_id()}.{uuid.uuid4().hex}"
            )
            try:
                write_back(self._objects, writer, present.versioned)
            except (BerylpostError, PlatformError) as error:
                log_event(LOGGER, "write_back_failed", logging.WARNING, error=error)
            return
        self._put_in_force(versioned)

    def _put_in_force(self, versioned: VersionedConfiguration) -> None:
        """Puts a document in force if its number is higher than the current one."""
        if versioned.name not in self._names:
            return
        configurations = self.in_force.read()
        present = configurations.get(versioned.name)
        before = present.versioned.number if present else 0
        if versioned.number <= before:
            return
        in_force = build_configuration_in_force(versioned)
        check_invariant(
            "configuration_moves_forward",
            in_force.versioned.number > before,
            deployment=versioned.name,
        )
        configurations = {**configurations, versioned.name: in_force}
        self.in_force.publish(configurations)
        CONFIGURATION_NUMBER.labels(versioned.name).set(versioned.number)
        log_event(
            LOGGER,
            "configuration_in_force",
            deployment=versioned.name,
            number=versioned.number,
        )
        numbers = tuple(
            sorted((n, f.versioned.number) for n, f in configurations.items())
        )
        self._context.post("peers", AnnounceConfigurationNumbers(numbers=numbers))

    # Synchronisation with neighbours.

    def _pull_newer(self, received: ConfigurationNumbersReceived) -> None:
        configurations = self.in_force.read()
        now = time.monotonic()
        for name, number in received.numbers:
            own_number = (
                configurations[name].versioned.number if name in configurations else 0
            )
            recently = now - self._pulled_at.get(name, -1e9) < PULL_PAUSE_S
            if name not in self._names or number <= own_number or recently:
                continue
            self._pulled_at[name] = now
            pull = ConfigurationPull(
                sender=self._self_id(), deployment=name, have=own_number
            )
            self._send(received.sender, pull)

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

    def _apply_push(self, push: ConfigurationPush) -> None:
        self._pulled_at.pop(push.deployment, None)
        if push.full is not None:
            self._put_in_force(push.full)
            return
        present = self.in_force.read().get(push.deployment)
        if present is None:
            return
        versioned = apply_entries(present.versioned, push.entries)
        if versioned is not None:
            self._put_in_force(versioned)

    def _self_id(self) -> str:
        return self._context.settings.daemon.id

    def _send(self, to: str, message: Message) -> None:
        self._context.post("peers", Send(to=to, message=message))

    # Watch on the object API.

    def _update_watch(self) -> None:
        """Starts the watch if this daemon is chosen as a watcher, else stops it."""
        settings = self._context.settings
        active = list_active(self._members.read())
        n_watchers = settings.platform.watchers_per_zone
        watchers = choose_watchers(active, settings.daemon.zone, n_watchers)
        wanted = settings.daemon.id in watchers
        running = self._watch_thread is not None and self._watch_thread.is_alive()
        self._is_watching = wanted
        if wanted and not running and time.monotonic() >= self._next_watch_at:
            self._watch_thread = threading.Thread(
                target=self._run_watch, name="configuration-watch", daemon=True
            )
            self._watch_thread.start()

    def _stop_watching(self) -> None:
        self._is_watching = False

    def _run_watch(self) -> None:
        """Watches the object API and posts each change to the task's own mailbox."""
        try:
            for key, stored in self._objects.watch(PREFIX, lambda: self._is_watching):
                try:
                    envelope = open_envelope(key, stored.value)
                    versioned = _decode_versioned(envelope.open())
                except (PlatformError, ValueError, RecursionError) as error:
                    # The documents of other deployments are still followed.
                    log_event(LOGGER, "bad_document", logging.WARNING, error=error)
                    continue
                self.post(ConfigurationReceived(versioned=versioned, is_watched=True))
        except PlatformError as error:
            log_event(LOGGER, "watch_ended", logging.WARNING, error=error)
        finally:
            # Random, so that not all watchers reconnect at once when the object API is
            # available again.
            self._next_watch_at = time.monotonic() + self._random.uniform(
                *WATCH_PAUSE_S
            )


def _build(context: Context) -> ConfigurationsTask:
    platform = context.settings.platform
    objects = HttpObjects(url=platform.objects, timeout_s=platform.timeout_s)
    return ConfigurationsTask(context=context, objects=objects)


register_plugin(Plugin(name="configurations", requires=("peers",), build=_build))
