"""The store's protocol without a transport: targets, documents, refusals.

`object_store` speaks it from an event loop and `objects` from threads.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import quote

import msgspec

from ..errors import LostAnswerError, PlatformError
from . import names

OK_STATUSES: Final = frozenset({200, 201, 204})


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object as stored; `revision` is that of its last change."""

    name: str
    revision: int
    created_revision: int
    spec: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All objects of a kind as of a revision of the store."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """One page of a listing; `next_name` is where to go on, empty at the end."""

    items: tuple[StoredObject, ...]
    revision: int
    next_name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change; a removed object comes with its last state."""

    item: StoredObject
    removed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """What a watch brought, and the revision to watch on from."""

    changes: tuple[Change, ...]
    revision: int


class ConflictError(PlatformError):
    """The object is not as the condition says; `current` is what is stored."""

    def __init__(self, message: str, current: StoredObject | None) -> None:
        super().__init__(message)
        self.current = current


class HistoryGoneError(PlatformError):
    """The changes after the revision are no longer kept; list again."""


def make_kind_target(kind: str, after: str = "") -> str:
    """Makes the target that lists a kind, from a name on."""
    target = f"{names.OBJECTS_PATH}/{kind}"
    return f"{target}?After={quote(after, safe='')}" if after else target


def make_watch_target(kind: str, revision: int, wait_s: float) -> str:
    """Makes the target that waits for changes after a revision."""
    wait_ms = int(wait_s * 1_000)
    return f"{names.OBJECTS_PATH}/{kind}?Watch={revision}&WaitMs={wait_ms}"


def make_object_target(kind: str, name: str, revision: int | None = None) -> str:
    """Makes the target of one object, with a condition where there is one."""
    target = f"{names.OBJECTS_PATH}/{kind}/{quote(name, safe='')}"
    return target if revision is None else f"{target}?Revision={revision}"


def encode_object(name: str, spec: Any, revision: int | None = None) -> bytes:
    """Encodes an object to be created, or replaced if it is at a revision."""
    metadata: dict[str, Any] = {"Name": name}
    if revision is not None:
        metadata["Revision"] = revision
    return msgspec.json.encode({"Metadata": metadata, "Spec": spec})


def check_status(call: str, status: int, accepted: Iterable[int] = ()) -> None:
    """Lets pass what the caller can use.

    Raises:
        HistoryGoneError: a watch asked for history that is gone.
        PlatformError: any other refusal; nothing was done.
    """
    if status in OK_STATUSES or status in accepted:
        return
    if status == 410:
        raise HistoryGoneError(f"{call}: history is gone")
    raise PlatformError(f"{call}: status {status}")


def decode_page(body: bytes) -> Page:
    """Decodes one page of a listing.

    Raises:
        LostAnswerError: it is not one.
    """
    document = _decode(body)
    found = [_read_object(item) for item in document.get("Items") or ()]
    items = tuple(item for item in found if item is not None)
    more = bool(document.get("HasMore")) and items
    return Page(
        items=items,
        revision=_read_revision(document),
        next_name=items[-1].name if more else "",
    )


def decode_changes(body: bytes) -> Changes:
    """Decodes what a watch brought.

    Raises:
        LostAnswerError: it is not that.
    """
    document = _decode(body)
    changes = []
    for event in document.get("events") or ():
        item = _read_object(event.get("Object"))
        if item is not None:
            changes.append(Change(item=item, removed=bool(event.get("Removed"))))
    return Changes(changes=tuple(changes), revision=_read_revision(document))


def decode_object(body: bytes) -> StoredObject:
    """Decodes one object.

    Raises:
        LostAnswerError: it is not one.
    """
    stored = _read_object(_decode(body))
    if stored is None:
        raise LostAnswerError("the answer has no object")
    return stored


def decode_written(call: str, status: int, body: bytes) -> StoredObject:
    """Decodes the answer to a write.

    Raises:
        ConflictError: the condition did not hold.
        LostAnswerError: the answer cannot be read, so the effect is unknown.
    """
    if status == 404:
        raise ConflictError(f"{call}: no such object", None)
    if status == 409:
        raise ConflictError(
            f"{call}: not at that revision", _read_object(_decode(body))
        )
    return decode_object(body)


def _decode(body: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"answer is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise LostAnswerError("answer is not a document")
    return document


def _read_revision(document: dict[str, Any]) -> int:
    revision = document.get("StoreRevision")
    if not isinstance(revision, int):
        raise LostAnswerError("answer has no revision")
    return revision


def _read_object(document: Any) -> StoredObject | None:
    """Reads a stored object; None when it lacks what every object has."""
    if not isinstance(document, dict):
        return None
    metadata = document.get("Metadata")
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("Name"), metadata.get("Revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    created = metadata.get("CreateRevision")
    return StoredObject(
        name=name,
        revision=revision,
        created_revision=created if isinstance(created, int) else 0,
        spec=document.get("Spec"),
    )
