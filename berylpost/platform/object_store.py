"""The platform's store of objects, as the entry daemon's only client for it.

Objects have a kind, a name and a revision; writes may be conditional on the revision,
and a watch returns what changed after one.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import quote

import msgspec

from ..edge.http_channel import HttpAnswer, HttpChannel
from ..edge.model import Endpoint
from ..errors import LostAnswerError, PlatformError
from . import names

CALL_TIMEOUT_S: Final = 1.5  # 60 times slower than its usual 4 ms is still answered
CONNECT_TIMEOUT_S: Final = 0.7  # a lost opening packet is sent again after a second
WATCH_SLACK_S: Final = 0.7  # how much later than asked an empty watch may answer

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


class ObjectStore:
    """Calls the store over one kept connection.

    Args:
        address: of the store.
    """

    def __init__(self, *, address: Endpoint) -> None:
        self._channel = HttpChannel(
            address=address, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self.n_calls = 0

    async def list_objects(self, kind: str) -> Listing:
        """Lists a kind, over as many pages as it has.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        items: list[StoredObject] = []
        after = ""
        first_revision: int | None = None
        while True:
            target = f"{names.OBJECTS_PATH}/{kind}"
            if after:
                target += f"?After={quote(after, safe='')}"
            document = _decode(await self._call("GET", target))
            page = [_read_object(item) for item in document.get("Items") or ()]
            items += [item for item in page if item is not None]
            # Watching from the first page's revision shows changes between pages.
            if first_revision is None:
                first_revision = _read_revision(document, "StoreRevision")
            if not document.get("HasMore") or not page or page[-1] is None:
                return Listing(items=tuple(items), revision=first_revision)
            after = page[-1].name

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Waits for changes of a kind after a revision.

        Raises:
            HistoryGoneError: the changes are no longer kept.
            PlatformError: the store did not answer or refused.
        """
        wait_ms = int(wait_s * 1_000)
        target = f"{names.OBJECTS_PATH}/{kind}?Watch={revision}&WaitMs={wait_ms}"
        answer = await self._call("GET", target, timeout_s=wait_s + WATCH_SLACK_S)
        document = _decode(answer)
        changes = []
        for event in document.get("events") or ():
            item = _read_object(event.get("Object"))
            if item is not None:
                removed = bool(event.get("Removed"))
                changes.append(Change(item=item, removed=removed))
        return Changes(
            changes=tuple(changes), revision=_read_revision(document, "StoreRevision")
        )

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Reads one object, None if there is none.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        answer = await self._call("GET", _object_path(kind, name), accept=(404,))
        return None if answer.status == 404 else _read_object(_decode(answer))

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Creates an object.

        Raises:
            ConflictError: there is one already.
            PlatformError: refused, without effect.
            LostAnswerError: the effect is unknown.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return await self._write("POST", f"{names.OBJECTS_PATH}/{kind}", body)

    async def replace(
        self, kind: str, name: str, spec: Any, *, revision: int
    ) -> StoredObject:
        """Replaces an object that is still at a revision.

        Raises:
            ConflictError: it has changed or is gone.
            PlatformError: refused, without effect.
            LostAnswerError: the effect is unknown.
        """
        body = {"Metadata": {"Name": name, "Revision": revision}, "Spec": spec}
        return await self._write("PUT", _object_path(kind, name), body)

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; one that is gone already is no error.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        await self._call("DELETE", _object_path(kind, name), accept=(404,))

    def close(self) -> None:
        """Drops the connection."""
        self._channel.close()

    async def _write(
        self, method: str, target: str, document: Mapping[str, Any]
    ) -> StoredObject:
        body = msgspec.json.encode(document)
        answer = await self._call(method, target, body=body, accept=(404, 409))
        stored = _read_object(_decode(answer)) if answer.status != 404 else None
        if answer.status in (404, 409):
            raise ConflictError(f"{method} {target}: {answer.status}", stored)
        if stored is None:
            raise LostAnswerError(f"{method} {target}: the answer has no object")
        return stored

    async def _call(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        body: bytes = b"",
        accept: tuple[int, ...] = (),
    ) -> HttpAnswer:
        self.n_calls += 1
        answer = await self._channel.call(
            method, target, timeout_s=timeout_s, body=body
        )
        if answer.status in OK_STATUSES or answer.status in accept:
            return answer
        if answer.status == 410:
            raise HistoryGoneError(f"{method} {target}: history is gone")
        raise PlatformError(f"{method} {target}: status {answer.status}")


def _object_path(kind: str, name: str) -> str:
    return f"{names.OBJECTS_PATH}/{kind}/{quote(name, safe='')}"


def _decode(answer: HttpAnswer) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise LostAnswerError(f"answer is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise LostAnswerError("answer is not an object")
    return document


def _read_revision(document: Mapping[str, Any], field: str) -> int:
    revision = document.get(field)
    if not isinstance(revision, int):
        raise LostAnswerError(f"answer has no {field}")
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
