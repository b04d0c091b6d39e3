"""Client of the platform's object store, for use from an event loop.

Objects have a kind, a name and a revision. Writes may be conditional on the revision,
and a watch returns the changes after a revision.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final

from ..edge.clock import read_boottime
from ..edge.http_channel import HttpAnswer, HttpChannel, OversizedBodyError
from ..edge.model import Endpoint
from ..errors import LostAnswerError, PlatformError
from ..logs import log_event
from . import names
from .object_wire import (
    CHANGES_DEPTH,
    OBJECT_DEPTH,
    PAGE_DEPTH,
    Changes,
    HistoryGoneError,
    Listing,
    Reduce,
    StoredObject,
    check_status,
    decode_changes,
    decode_object,
    decode_page,
    decode_write_response,
    encode_object,
    encode_status,
    keep_object,
    make_kind_target,
    make_object_target,
    make_status_target,
    make_watch_target,
    parse_era,
)
from .tolerant_json import is_decodable, repair_document

LOGGER: Final = logging.getLogger(__name__)

CALL_TIMEOUT_S: Final = 1.5  # enough for a store 60 times slower than its usual 4 ms
CONNECT_TIMEOUT_S: Final = 0.7  # below 1 s, after which a lost SYN is sent again
# Larger documents with text that cannot be decoded are repaired in a thread, beside the
# event loop.
MAX_INLINE_BYTES: Final = 65_536
WATCH_SLACK_S: Final = 0.7  # an empty watch may end this much later than requested


class ObjectStore:
    """Calls the store over one persistent connection.

    Args:
        address: address of the store.
        note_era: called with the era that each answer names, None for none, and the
            boot-time clock at which the call was made; tells whether the answer counts.
    """

    def __init__(
        self, *, address: Endpoint, note_era: Callable[[int | None, float], bool]
    ) -> None:
        self._note_era = note_era
        self._bad_era = b""
        self._channel = HttpChannel(
            address=address, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def list_objects(self, kind: str, reduce: Reduce = keep_object) -> Listing:
        """Lists all objects of a kind, page by page.

        Args:
            kind: the kind.
            reduce: returns what to keep of an object, None to leave it out.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        items: list[StoredObject] = []
        # A watch from the first page's revision includes changes between pages.
        revision: int | None = None
        era: int | None = None
        after = ""
        while True:
            answer = await self._call("GET", make_kind_target(kind, after))
            era, era_before = self._read_era(answer), era
            if after and era != era_before:
                raise PlatformError(f"list of {kind}: the store changed its era")
            page = decode_page(await _repair(answer.body, PAGE_DEPTH), reduce)
            items += page.items
            revision = page.revision if revision is None else revision
            after = page.continue_after
            if not after:
                return Listing(items=tuple(items), revision=revision)

    async def watch(
        self, kind: str, revision: int, wait_s: float, reduce: Reduce = keep_object
    ) -> Changes:
        """Waits for changes to objects of a kind after a revision.

        Args:
            kind: the kind.
            revision: revision after which changes count.
            wait_s: longest wait for a change, seconds.
            reduce: returns what to keep of an object, None to leave it out.

        Raises:
            HistoryGoneError: the store no longer has the changes after the revision,
                or more than fit into one answer; list the objects again.
            PlatformError: the store did not answer or refused.
        """
        target = make_watch_target(kind, revision, wait_s)
        try:
            answer = await self._call("GET", target, timeout_s=wait_s + WATCH_SLACK_S)
        except OversizedBodyError as error:
            raise HistoryGoneError(f"{target}: {error}") from error
        return decode_changes(await _repair(answer.body, CHANGES_DEPTH), reduce)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Reads one object; returns None if it does not exist.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        target = make_object_target(kind, name)
        answer = await self._call("GET", target, accept=(404,))
        if answer.status == 404:
            return None
        return decode_object(await _repair(answer.body, OBJECT_DEPTH))

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Creates an object.

        Raises:
            ConflictError: the object already exists.
            PlatformError: the write was refused and had no effect.
            LostAnswerError: it is unknown whether the write took effect.
        """
        target = make_kind_target(kind)
        return await self._write("POST", target, encode_object(name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, *, revision: int
    ) -> StoredObject:
        """Replaces an object if it is still at a revision.

        Raises:
            ConflictError: the object has changed or no longer exists.
            PlatformError: the write was refused and had no effect.
            LostAnswerError: it is unknown whether the write took effect.
        """
        target = make_object_target(kind, name)
        return await self._write("PUT", target, encode_object(name, spec, revision))

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Writes an object's status and leaves its spec unchanged.

        Raises:
            PlatformError: the write was refused and had no effect.
            LostAnswerError: it is unknown whether the write took effect.
        """
        target = make_status_target(kind, name)
        await self._call("PUT", target, body=encode_status(name, status))

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; does nothing if it does not exist.

        Raises:
            PlatformError: the store did not answer or refused.
        """
        await self._call("DELETE", make_object_target(kind, name), accept=(404,))

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()

    async def _write(self, method: str, target: str, body: bytes) -> StoredObject:
        answer = await self._call(method, target, body=body, accept=(404, 409))
        return decode_write_response(f"{method} {target}", answer.status, answer.body)

    async def _call(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        body: bytes = b"",
        accept: tuple[int, ...] = (),
    ) -> HttpAnswer:
        asked_at = read_boottime()
        answer = await self._channel.call(
            method, target, timeout_s=timeout_s, body=body
        )
        if not self._note_era(self._read_era(answer), asked_at):
            raise LostAnswerError(f"{method} {target}: answer of an earlier era")
        check_status(f"{method} {target}", answer.status, accept)
        return answer

    def _read_era(self, answer: HttpAnswer) -> int | None:
        value = answer.headers.get(names.STORE_ERA, b"")
        era = parse_era(value)
        if era is None and value != self._bad_era:
            self._bad_era = value
            log_event(LOGGER, "bad_store_era", logging.WARNING, value=value[:40])
        return era


async def _repair(body: bytes, depth: int) -> bytes:
    """Returns a document that takes the event loop no long time to decode."""
    if len(body) <= MAX_INLINE_BYTES or is_decodable(body):
        return body
    return await asyncio.to_thread(repair_document, body, depth=depth)
