"""Objects of the store as values by key: read, conditional write, list and watch.

The part of a key before the first slash is the kind of the object in the store, the
rest is its name. The value is the spec of the object. `object_wire` has the protocol.

The safety of all code that uses this module depends on one property: a conditional
write takes effect only if the object is at the version that the write gives.
"""

import base64
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final, Protocol

import urllib3

from ..errors import LostAnswerError, PlatformError
from ..logs import log_event
from ..metrics import STORE_CALLS
from . import names, object_wire
from .object_wire import ConflictError, HistoryGoneError
from .web import call, make_pool

LOGGER: Final = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 10.0  # a third of the longest wait that the store allows
WATCH_SLACK_S: Final = 2.0  # an empty watch may end this much later than requested
KIND_PREFIX: Final = "berylpost-"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """A value and its version, which is the revision of the object in the store.

    Version 0 means that the object does not exist.
    """

    version: int
    value: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Result of a conditional write that was refused and had no effect.

    Attributes:
        version: version of the object; 0 if it does not exist.
    """

    version: int


class Objects(Protocol):
    """Operations that berylpost needs of an object store."""

    def read(self, key: str) -> StoredObject:
        """Reads one object; its version is 0 if it does not exist."""

    def write(self, key: str, value: bytes, *, version: int) -> int | Conflict:
        """Writes if the object is at `version`; returns its new version.

        Version 0 means that the object does not exist yet.
        """

    def delete(self, key: str, *, version: int) -> None:
        """Deletes if the object is at `version`."""

    def list_keys(self, prefix: str) -> list[str]:
        """Lists the keys that begin with `prefix`, in order."""

    def watch(
        self, prefix: str, should_continue: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields the current objects, then each change while `should_continue()`.

        Raises:
            PlatformError: the store did not answer.
        """


class HttpObjects:
    """Objects of the store over HTTP, for use from threads.

    Args:
        url: base address, http://IP-NUMBER:PORT.
        timeout_s: timeout of one call, in seconds.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._pool = make_pool(timeout_s=timeout_s)
        self._era: int | None = None  # as the last response that named one

    def read(self, key: str) -> StoredObject:
        """Reads one object; see `Objects.read`."""
        kind, name = _split_key(key)
        target = object_wire.make_object_target(kind, name)
        response = self._call("read", "GET", target, accept=(404,))
        if response.status == 404:
            return StoredObject(version=0, value=b"")
        return _decode_value(object_wire.decode_object(response.data))

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
            stored = object_wire.decode_write_response(
                key, response.status, response.data
            )
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
        listed, _ = self._list(prefix)
        return sorted(key for key, _ in listed)

    def watch(
        self, prefix: str, should_continue: Callable[[], bool]
    ) -> Iterator[tuple[str, StoredObject]]:
        """Yields the current objects, then each change; see `Objects.watch`."""
        kind, _ = _split_key(prefix)
        revision: int | None = None
        era: int | None = None
        while should_continue():
            if revision is None or era != self._era:
                # After a restore, a revision stands for other contents.
                listed, revision = self._list(prefix)
                era = self._era
                yield from listed
                continue
            target = object_wire.make_watch_target(kind, revision, WATCH_WAIT_S)
            try:
                response = self._call(
                    "watch", "GET", target, timeout_s=WATCH_WAIT_S + WATCH_SLACK_S
                )
            except HistoryGoneError:
                revision = None
                continue
            if era != self._era:
                continue
            changes = object_wire.decode_changes(response.data)
            revision = changes.revision
            for change in changes.changes:
                key = _join_key(kind, change.item.name)
                if key.startswith(prefix) and not change.removed:
                    yield from _decode_entry(key, change.item)

    def _list(self, prefix: str) -> tuple[list[tuple[str, StoredObject]], int]:
        kind, _ = _split_key(prefix)
        listed = []
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
                    listed += _decode_entry(key, item)
            after = page.continue_after
            if not after:
                return listed, first_revision

    def _call(
        self,
        operation: str,
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
            self._note_era(response.headers.get(names.STORE_ERA.decode(), ""))
            object_wire.check_status(f"{method} {target}", response.status, accept)
        except LostAnswerError:
            STORE_CALLS.labels(operation, "lost").inc()
            raise
        except PlatformError:
            STORE_CALLS.labels(operation, "failed").inc()
            raise
        STORE_CALLS.labels(operation, "answered").inc()
        return response

    def _note_era(self, value: str) -> None:
        era = object_wire.parse_era(value.encode("latin-1"))
        if era is not None and era != self._era:
            log_event(LOGGER, "store_era", era=era, before=self._era)
            self._era = era


def _split_key(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return KIND_PREFIX + kind, name


def _join_key(kind: str, name: str) -> str:
    return f"{kind.removeprefix(KIND_PREFIX)}/{name}"


def _decode_entry(
    key: str, stored: object_wire.StoredObject
) -> list[tuple[str, StoredObject]]:
    """Decodes one entry of a list; an empty list and a log line for an odd one."""
    try:
        return [(key, _decode_value(stored))]
    except PlatformError as error:
        log_event(LOGGER, "bad_object", logging.WARNING, key=key, error=error)
        return []


def _decode_value(stored: object_wire.StoredObject) -> StoredObject:
    """Decodes the value of a stored object.

    Raises:
        PlatformError: the spec is not Base64 text.
    """
    try:
        value = base64.b64decode(stored.spec, validate=True)
    except (TypeError, ValueError) as error:
        raise PlatformError(f"{stored.name}: spec is not Base64 text") from error
    return StoredObject(version=stored.revision, value=value)
