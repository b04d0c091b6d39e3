"""Fake of the platform's object store: kinds, revisions, conditions and watches.

It serves `/v1/objects/KIND` and `/v1/objects/KIND/NAME`. A page of a list has at most
`PAGE_ITEMS` objects and, with more than one, `PAGE_BYTES`, and a watch waits at most
`MAX_WAIT_S`. The history holds the last `N_HISTORY` changes; a watch from before them
is answered with 410. `/calls` returns the number of calls by operation.

`restore` brings it back from an older copy: its era rises, and it gives out the
revisions since the copy again. Tests in other processes call `/copy` and `/restore`.
"""

import asyncio
import copy
import json
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from .server import FakeServer, Reply, Request, reply_json

MAX_VALUE_BYTES: Final = 1 << 20
MAX_WAIT_S: Final = 30.0
PAGE_ITEMS: Final = 500
PAGE_BYTES: Final = 1_000_000
N_HISTORY: Final = 10_000
PREFIX: Final = "/v1/objects/"

Document = dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """All that the store held at one revision."""

    kinds: dict[str, dict[str, Document]]
    revision: int


class ObjectStore:
    """The stored objects and their history.

    Attributes:
        kinds: documents of the objects by kind and name.
        calls: number of calls by operation.
        revision: revision of the last change.
        era: value of the header that names the era; empty for none.
        refused_kinds: kinds of which no object can be written.
        statuses: kind, name and status of each status that was written.
    """

    def __init__(self, *, endpoint: str) -> None:
        self.era = "1"
        self.refused_kinds: set[str] = set()
        self.statuses: list[tuple[str, str, Any]] = []
        self.kinds: dict[str, dict[str, Document]] = {}
        self.calls: Counter[str] = Counter()
        self.revision = 1
        self._history: deque[tuple[int, str, Document]] = deque(maxlen=N_HISTORY)
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._copy = self.take_copy()
        self.server = FakeServer(
            endpoint=endpoint, handle=self._handle, list_headers=self._list_headers
        )

    def _list_headers(self) -> tuple[tuple[str, str], ...]:
        return (("Store-Era", self.era),) if self.era else ()

    def take_copy(self) -> StoreCopy:
        """Copies all that the store holds."""
        return StoreCopy(kinds=copy.deepcopy(self.kinds), revision=self.revision)

    async def restore(self, stored: StoreCopy) -> None:
        """Comes back from an older copy."""
        self.kinds = copy.deepcopy(stored.kinds)
        self.revision = stored.revision
        kept = [item for item in self._history if item[0] <= stored.revision]
        self._history = deque(kept, maxlen=N_HISTORY)
        if self.era.isdecimal():
            self.era = str(int(self.era) + 1)
        async with self._changed:
            self._changed.notify_all()

    def compact_history(self) -> None:
        """Drops the whole history, as a compaction of the store does."""
        self._history.clear()
        self._compacted_revision = self.revision

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Stores an object as another client would and returns its revision.

        A spec of type `msgspec.Raw` is stored as the JSON that it holds.
        """
        current = self.kinds.setdefault(kind, {}).get(name)
        return await self._store(kind, name, spec, current)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object as another client would."""
        document = self.kinds.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            await self._record(kind, {"Object": document, "Removed": True})

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/calls":
            return reply_json(dict(self.calls))
        if request.path == "/copy":
            self._copy = self.take_copy()
            return reply_json({})
        if request.path == "/restore":
            await self.restore(self._copy)
            return reply_json({})
        if not request.path.startswith(PREFIX):
            return reply_json({"Error": "no such path"}, 404)
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if request.method == "PUT" and name.endswith("/status"):
            self.calls["status"] += 1
            return await self._write_status(kind, name.removesuffix("/status"), request)
        if request.method == "GET":
            if name:
                self.calls["read"] += 1
                document = self.kinds.get(kind, {}).get(name)
                return reply_json(document or {}, 200 if document else 404)
            if "Watch" in request.query:
                self.calls["watch"] += 1
                return await self._watch(kind, request)
            self.calls["list"] += 1
            return self._list(kind, request.query.get("After", ""))
        self.calls["write"] += 1
        return await self._write(kind, name, request)

    def _list(self, kind: str, after: str) -> Reply:
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        items: list[Document] = []
        n_bytes = 0
        for name in names[:PAGE_ITEMS]:
            document = self.kinds[kind][name]
            n_bytes += len(msgspec.json.encode(document))
            if items and n_bytes > PAGE_BYTES:
                break
            items.append(document)
        has_more = len(names) > len(items)
        return reply_json(
            {"Items": items, "HasMore": has_more, "StoreRevision": self.revision}
        )

    async def _write(self, kind: str, name: str, request: Request) -> Reply:
        if kind in self.refused_kinds:
            return reply_json({"Error": "unavailable"}, 503)
        if len(request.body) > MAX_VALUE_BYTES:
            return reply_json({"Error": "value over 1 MB"}, 413)
        document: Document = request.decode() or {}
        metadata: Document = document.get("Metadata", {})
        creates = request.method == "POST"
        name = metadata.get("Name", "") if creates else name
        current = self.kinds.setdefault(kind, {}).get(name)
        if creates and current is not None:
            return reply_json(current, 409)
        if not creates and current is None:
            return reply_json({}, 404)
        expected_revision = metadata.get("Revision", request.query.get("Revision"))
        if current and expected_revision is not None:
            if int(expected_revision) != current["Metadata"]["Revision"]:
                return reply_json(current, 409)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return reply_json({})
        await self._store(kind, name, document.get("Spec"), current)
        return reply_json(self.kinds[kind][name])

    async def _write_status(self, kind: str, name: str, request: Request) -> Reply:
        current = self.kinds.get(kind, {}).get(name)
        if current is None:
            return reply_json({}, 404)
        status = (request.decode() or {}).get("Status")
        self.statuses.append((kind, name, status))
        self.revision += 1
        metadata = {**current["Metadata"], "Revision": self.revision}
        document = {**current, "Metadata": metadata, "Status": status}
        self.kinds[kind][name] = document
        await self._record(kind, {"Object": document, "Removed": False})
        return reply_json(document)

    async def _store(
        self, kind: str, name: str, spec: Any, current: Document | None
    ) -> int:
        if current is not None and current["Spec"] == spec:
            return int(current["Metadata"]["Revision"])
        self.revision += 1
        created = current["Metadata"]["CreateRevision"] if current else self.revision
        metadata: Document = {
            "Name": name,
            "Revision": self.revision,
            "CreateRevision": created,
            "Finalizers": [],
            "Deleting": False,
        }
        if not isinstance(spec, msgspec.Raw):
            # Copied because the caller may go on changing its object.
            spec = json.loads(json.dumps(spec))
        document = {"Metadata": metadata, "Spec": spec, "Status": None}
        self.kinds[kind][name] = document
        revision = self.revision
        await self._record(kind, {"Object": document, "Removed": False})
        return revision

    async def _record(self, kind: str, event: Document) -> None:
        if len(self._history) == N_HISTORY:
            self._compacted_revision = self._history[0][0]
        self._history.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _watch(self, kind: str, request: Request) -> Reply:
        since = int(request.query["Watch"])
        wait_s = min(MAX_WAIT_S, int(request.query.get("WaitMs", "0")) / 1_000)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if not self._compacted_revision <= since <= self.revision:
                return reply_json({"Error": "history is gone"}, 410)
            events = [
                event
                for revision, of_kind, event in self._history
                if revision > since and of_kind == kind
            ]
            remaining_s = deadline - loop.time()
            if self.server.faults.down:
                return reply_json({"Error": "unavailable"}, 503)
            if events or remaining_s <= 0:
                return reply_json({"events": events, "StoreRevision": self.revision})
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
