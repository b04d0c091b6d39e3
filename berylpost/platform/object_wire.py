"""The protocol of the object store without a transport: targets, documents, errors.

`object_store` uses it from an event loop and `objects` from threads.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, Final, TypeVar
from urllib.parse import quote

import msgspec

from ..errors import LostAnswerError, PlatformError
from ..logs import log_event
from . import names
from .headers import is_number
from .tolerant_json import EMPTY, decode_document, decode_value

LOGGER: Final = logging.getLogger(__name__)

T = TypeVar("T")

# Levels of documents down to the fields of an object; each is decoded by itself.
PAGE_DEPTH: Final = 3  # page, list, object
CHANGES_DEPTH: Final = 4  # answer, list, event, object
OBJECT_DEPTH: Final = 1
MAX_ERA: Final = (1 << 31) - 1  # keeps fencing numbers within 63 bits
OK_STATUSES: Final = frozenset({200, 201, 204})


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object as stored.

    Attributes:
        revision: revision of its last change.
        created_revision: revision of its creation; 0 if unknown.
        status: what was written as its status; None for none.
    """

    name: str
    revision: int
    created_revision: int
    spec: Any
    status: Any = None


# Returns what to keep of an object that was read, None for nothing.
Reduce = Callable[[StoredObject], StoredObject | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All objects of a kind, and the store revision from which to watch for changes."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """One page of a listing.

    Attributes:
        revision: revision of the store when it made the page.
        continue_after: name of the last object of the page; empty on the last page.
    """

    items: tuple[StoredObject, ...]
    revision: int
    continue_after: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change; for a removed object, `item` is its last state."""

    item: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The changes that a watch returned and the revision for the next watch."""

    changes: tuple[Change, ...]
    revision: int


class _WireMetadata(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="Name")
    revision: int = msgspec.field(name="Revision")
    created: int | None = msgspec.field(name="CreateRevision", default=0)


class _WireObject(msgspec.Struct, frozen=True):
    metadata: _WireMetadata = msgspec.field(name="Metadata")
    spec: msgspec.Raw = msgspec.field(name="Spec", default=EMPTY)
    status: msgspec.Raw = msgspec.field(name="Status", default=EMPTY)


class _WirePage(msgspec.Struct, frozen=True):
    revision: int = msgspec.field(name="StoreRevision")
    items: tuple[msgspec.Raw, ...] | None = msgspec.field(name="Items", default=())
    has_more: bool | None = msgspec.field(name="HasMore", default=False)


class _WireEvent(msgspec.Struct, frozen=True):
    object: msgspec.Raw = msgspec.field(name="Object", default=EMPTY)
    removed: bool | None = msgspec.field(name="Removed", default=False)


class _WireChanges(msgspec.Struct, frozen=True):
    revision: int = msgspec.field(name="StoreRevision")
    events: tuple[_WireEvent, ...] | None = ()


class ConflictError(PlatformError):
    """The condition of a write did not hold.

    Attributes:
        current: the stored object, if there is one and the store returned it.
    """

    def __init__(self, message: str, current: StoredObject | None) -> None:
        super().__init__(message)
        self.current = current


class HistoryGoneError(PlatformError):
    """The store no longer has the changes after the revision; list objects again."""


def make_kind_target(kind: str, after: str = "") -> str:
    """Makes the request target that lists the objects of a kind after a name."""
    target = f"{names.OBJECTS_PATH}/{kind}"
    return f"{target}?After={quote(after, safe='')}" if after else target


def make_watch_target(kind: str, revision: int, wait_s: float) -> str:
    """Makes the request target that waits for changes after a revision."""
    wait_ms = int(wait_s * 1_000)
    return f"{names.OBJECTS_PATH}/{kind}?Watch={revision}&WaitMs={wait_ms}"


def make_object_target(kind: str, name: str, revision: int | None = None) -> str:
    """Makes the request target of an object, optionally conditional on a revision."""
    target = f"{names.OBJECTS_PATH}/{kind}/{quote(name, safe='')}"
    return target if revision is None else f"{target}?Revision={revision}"


def encode_object(name: str, spec: Any, revision: int | None = None) -> bytes:
    """Encodes an object to create, or to replace if it is at a revision."""
    metadata: dict[str, Any] = {"Name": name}
    if revision is not None:
        metadata["Revision"] = revision
    return msgspec.json.encode({"Metadata": metadata, "Spec": spec})


def make_status_target(kind: str, name: str) -> str:
    """Makes the request target of an object's status."""
    return f"{make_object_target(kind, name)}/status"


def encode_status(name: str, status: Any) -> bytes:
    """Encodes an object's status to write."""
    return msgspec.json.encode({"Metadata": {"Name": name}, "Status": status})


def check_status(call: str, status: int, accepted: Iterable[int] = ()) -> None:
    """Checks that the status means success or is one of the accepted ones.

    Args:
        call: method and target of the call, for messages.
        status: HTTP status of the response.
        accepted: further statuses to accept.

    Raises:
        HistoryGoneError: a watch asked for changes that the store no longer has.
        PlatformError: any other status; the call had no effect.
    """
    if status in OK_STATUSES or status in accepted:
        return
    if status == 410:
        raise HistoryGoneError(f"{call}: the store no longer has the changes")
    raise PlatformError(f"{call}: status {status}")


def keep_object(stored: StoredObject) -> StoredObject | None:
    """Keeps all of an object, for kinds whose objects are small."""
    return stored


def reduce_spec(
    *spec_types: type[msgspec.Struct],
) -> Callable[[StoredObject], StoredObject]:
    """Makes a function that keeps the fields of one of several types of specs.

    The spec of an object is None if it has none of them.
    """

    def reduce(stored: StoredObject) -> StoredObject:
        for spec_type in spec_types:
            try:
                spec = msgspec.convert(stored.spec, spec_type)
            except msgspec.ValidationError:
                continue
            return replace(stored, spec=msgspec.to_builtins(spec))
        return replace(stored, spec=None)

    return reduce


def decode_page(body: bytes, reduce: Reduce = keep_object) -> Page:
    """Decodes one page of a listing; leaves out what names no object.

    Args:
        body: the response.
        reduce: returns what to keep of an object, None to leave it out; called for
            each object before the next one is decoded.

    Raises:
        LostAnswerError: the response is not a page.
    """
    page = _decode(body, _WirePage, PAGE_DEPTH)
    items = []
    last_name = ""
    for document in page.items or ():
        stored = _parse_object(document)
        if stored is None:
            continue
        last_name = stored.name
        kept = reduce(stored)
        if kept is not None:
            items.append(kept)
    if page.has_more and not last_name:
        n_items = len(page.items or ())
        log_event(LOGGER, "page_without_names", logging.ERROR, n_items=n_items)
    return Page(
        items=tuple(items),
        revision=page.revision,
        continue_after=last_name if page.has_more else "",
    )


def decode_changes(body: bytes, reduce: Reduce = keep_object) -> Changes:
    """Decodes the response to a watch; leaves out what names no object.

    Args:
        body: the response.
        reduce: as for `decode_page`.

    Raises:
        LostAnswerError: the response is not a list of changes.
    """
    document = _decode(body, _WireChanges, CHANGES_DEPTH)
    changes = []
    for event in document.events or ():
        stored = _parse_object(event.object)
        kept = reduce(stored) if stored is not None else None
        if kept is not None:
            changes.append(Change(item=kept, removed=bool(event.removed)))
    return Changes(changes=tuple(changes), revision=document.revision)


def decode_object(body: bytes) -> StoredObject:
    """Decodes one object.

    Raises:
        LostAnswerError: the response is not an object.
    """
    stored = _parse_object(_cut(body))
    if stored is None:
        raise LostAnswerError("response is not a stored object")
    return stored


def decode_write_response(call: str, status: int, body: bytes) -> StoredObject:
    """Decodes the response to a write.

    Raises:
        ConflictError: the condition did not hold.
        LostAnswerError: the response cannot be decoded, so the effect is unknown.
    """
    if status == 404:
        raise ConflictError(f"{call}: no such object", None)
    if status == 409:
        raise ConflictError(
            f"{call}: object is at another revision", _parse_object(_cut(body))
        )
    return decode_object(body)


def parse_era(value: bytes) -> int | None:
    """Parses the era of the store; None if it is missing or cannot be one."""
    text = value.strip().decode("latin-1")
    return int(text) if is_number(text) and int(text) <= MAX_ERA else None


def _decode(body: bytes, document_type: type[T], depth: int) -> T:
    try:
        return decode_document(body, document_type, depth=depth)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"response cannot be decoded: {error}") from error


def _cut(body: bytes) -> msgspec.Raw:
    return _decode(body, msgspec.Raw, OBJECT_DEPTH)


def _parse_object(document: msgspec.Raw) -> StoredObject | None:
    """Parses a stored object; returns None if its name or revision is missing.

    A spec that cannot be decoded is None, which is valid for no kind of object.
    """
    try:
        stored = msgspec.json.decode(document, type=_WireObject)
    except msgspec.MsgspecError as error:
        log_event(LOGGER, "bad_object", logging.WARNING, error=error)
        return None
    metadata = stored.metadata
    try:
        spec = decode_value(stored.spec)
    except ValueError as error:
        log_event(
            LOGGER, "bad_spec", logging.WARNING, object=metadata.name, error=error
        )
        spec = None
    return StoredObject(
        name=metadata.name,
        revision=metadata.revision,
        created_revision=metadata.created or 0,
        spec=spec,
        status=_parse_status(stored.status),
    )


def _parse_status(document: msgspec.Raw) -> Any:
    """Parses a status; returns None if it is missing or cannot be decoded."""
    if bytes(document) == bytes(EMPTY):
        return None
    try:
        return decode_value(document)
    except ValueError:
        return None
