"""The object API as named values: read, conditional write, list, watch.

A key's first word is the kind of the object in the store, the rest its name; a value
is the object's spec. `object_wire` has the protocol.

Safety of everything above rests on one property: a conditional write takes effect
only if the object is at the version it names.
"""

import base64
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final, Protocol

import urllib3

from ..errors import LostAnswerError, PlatformError
from ..metrics import STORE_CALLS
from . import object_wire
from .object_wire import ConflictError, HistoryGoneError
from .web import call, make_pool

WATCH_WAIT_S: Final = 10.0  # a third of the longest that the store waits
WATCH_SLACK_S: Final = 2.0  # how much later than asked an empty watch may answer
KIND_PREFIX: Final = "berylpost-"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """A value and the version it has; version 0 means that there is none."""

    version: int
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A conditional write was refused; it had no effect."""

    version: int


class Objects(Protocol):
    """What berylpost needs of an object API."""

    def read(self, key: str) -> StoredObject:
        """Reads one object; version 0 when there is none."""

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes if the object is at `version`, 0 for none; returns the new one."""

    def delete(self, key: str, *, version: int) -> None:
        """Deletes if the object is at `version`."""

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order."""

    def watch(
        self, prefix: str, should_continue: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields what is there, then each change while it is wanted.

        Ends by `PlatformError` when the store does not answer.
        """


class HttpObjects:
    """The object API over HTTP, for threads.

    Args:
        url: base address, http://IP-NUMBER:PORT.
        timeout_s: for one call, in seconds.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._pool = make_pool(timeout_s=timeout_s)

    def read(self, key: str) -> StoredObject:
        """Reads one object; see `Objects.read`."""
        kind, name = _split_key(key)
        target = object_wire.make_object_target(kind, name)
        response = self._call("read", "GET", target, accept=(404,))
        if response.status == 404:
            return StoredObject(version=0, value=b"")
        return _open(object_wire.decode_object(response.data))

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes conditionally; see `Objects.write`."""
        kind, name = _split_key(key)
        spec = base64.b64encode(value).decode()
        method, target = "POST", object_wire.make_kind_target(kind)
        if version:
            method, target = "PUT", object_wire.make_object_target(kind, name)
        body = object_wire.encode_object(name, spec, version or None)
        response = self._call("write", method, target, body=body, accept=(404, 409))
        try:
            stored = object_wire.decode_written(key, response.status, response.data)
        except ConflictError as conflict:
            current = conflict.current
            return Conflict(version=current.revision if current else 0)
        return stored.revision

    def delete(self, key: str, *, version: int) -> None:
        """Deletes conditionally; see `Objects.delete`."""
        kind, name = _split_key(key)
        target = object_wire.make_object_target(kind, name, version)
        self._call("delete", "DELETE", target, accept=(404, 409))

    def list_keys(self, prefix: str) -> list[str]:
        """Lists keys in order; see `Objects.list_keys`."""
        found, _ = self._list(prefix)
        return sorted(key for key, _ in found)

    def watch(
        self, prefix: str, should_continue: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields what is there, then each change; see `Objects.watch`."""
        kind, _ = _split_key(prefix)
        revision: int | None = None
        while should_continue():
            if revision is None:
                found, revision = self._list(prefix)
                yield from found
                continue
            target = object_wire.make_watch_target(kind, revision, WATCH_WAIT_S)
            try:
                response = self._call(
                    "watch", "GET", target, timeout_s=WATCH_WAIT_S + WATCH_SLACK_S
                )
            except HistoryGoneError:
                revision = None
                continue
            changes = object_wire.decode_changes(response.data)
            revision = changes.revision
            for change in changes.changes:
                key = _join_key(kind, change.item.name)
                if key.startswith(prefix) and not change.removed:
                    yield key, _open(change.item)

    def _list(self, prefix: str) -> tuple[list[tuple[str, StoredObject]], int]:
        kind, _ = _split_key(prefix)
        found = []
        first_revision: int | None = None
        after = ""
        while True:
            target = object_wire.make_kind_target(kind, after)
            page = object_wire.decode_page(self._call("list", "GET", target).data)
            if first_revision is None:
                first_revision = page.revision
            for item in page.items:
                key = _join_key(kind, item.name)
                if key.startswith(prefix):
                    found.append((key, _open(item)))
            after = page.next_name
            if not after:
                return found, first_revision

    def _call(
        self,
        kind: str,
        method: str,
        target: str,
        *,
        body: bytes | None = None,
        accept: tuple[int, ...] = (),
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        url = self._url + target
        try:
            response = call(self._pool, method, url, body=body, timeout_s=timeout_s)
            object_wire.check_status(f"{method} {target}", response.status, accept)
        except LostAnswerError:
            STORE_CALLS.labels(kind, "lost").inc()
            raise
        except PlatformError:
            STORE_CALLS.labels(kind, "failed").inc()
            raise
        STORE_CALLS.labels(kind, "answered").inc()
        return response


def _split_key(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return KIND_PREFIX + kind, name


def _join_key(kind: str, name: str) -> str:
    return f"{kind.removeprefix(KIND_PREFIX)}/{name}"


def _open(stored: object_wire.StoredObject) -> StoredObject:
    """Opens the value of an object of ours.

    Raises:
        PlatformError: its spec is not one of our values.
    """
    try:
        value = base64.b64decode(stored.spec, validate=True)
    except (TypeError, ValueError) as error:
        raise PlatformError(f"{stored.name}: not a value of ours") from error
    return StoredObject(version=stored.revision, value=value)
