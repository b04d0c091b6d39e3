"""Stand-in for the platform's object API: versions, conditional update, watch.

`GET|PUT|DELETE /v1/objects/KEY` with the version as ETag, `If-Match: "N"` or
`If-None-Match: *`; `GET /v1/objects?prefix=P` lists; `GET /v1/watch?prefix=P&
since=V` streams changes as JSON lines, first what is newer than V. Values are
limited to 1 MB. Counts calls by kind, a waiting watch as one.
"""

import asyncio
import base64
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from .server import Reply, Request, StandIn, reply_json

MAX_VALUE_BYTES: Final = 1_000_000
HEARTBEAT_S: Final = 5.0
PREFIX: Final = "/v1/objects/"


class ObjectStore:
    """The kept objects and the watches that wait on them."""

    def __init__(self, *, endpoint: str) -> None:
        self.values: dict[str, tuple[int, bytes]] = {}
        self.calls: Counter[str] = Counter()
        self._version = 0
        self._changed = asyncio.Condition()
        self.server = StandIn(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/v1/watch":
            return self._watch(request)
        if request.path == "/v1/objects":
            return self._list(request)
        if request.path == "/calls":
            return reply_json(dict(self.calls))
        if not request.path.startswith(PREFIX):
            return reply_json({"error": "no such path"}, 404)
        key = request.path.removeprefix(PREFIX)
        if request.method == "GET":
            self.calls["read"] += 1
            return self._get(key)
        self.calls["write"] += 1
        return await self._write(key, request)

    def _get(self, key: str) -> Reply:
        if key not in self.values:
            return reply_json({"error": "no such object"}, 404)
        version, value = self.values[key]
        return Reply(headers=(("ETag", f'"{version}"'),), body=value)

    def _list(self, request: Request) -> Reply:
        self.calls["list"] += 1
        prefix = request.query.get("prefix", "")
        found = [
            {"key": key, "version": version}
            for key, (version, _) in sorted(self.values.items())
            if key.startswith(prefix)
        ]
        return reply_json({"objects": found})

    async def _write(self, key: str, request: Request) -> Reply:
        current = self.values.get(key, (0, b""))[0]
        wanted = request.headers.get("if-match", "").strip('"')
        fresh = request.headers.get("if-none-match") == "*"
        if (wanted and wanted != str(current)) or (fresh and current):
            return reply_json({"error": "version", "version": current}, 412)
        if request.method == "DELETE":
            self.values.pop(key, None)
            return reply_json({})
        if len(request.body) > MAX_VALUE_BYTES:
            return reply_json({"error": "value over 1 MB"}, 413)
        self._version += 1
        version = self._version  # another write may come while watches are told
        self.values[key] = (version, request.body)
        async with self._changed:
            self._changed.notify_all()
        return reply_json({}, 200, ("ETag", f'"{version}"'))

    def _watch(self, request: Request) -> Reply:
        self.calls["watch"] += 1
        since = int(request.query.get("since", "0"))
        stream = self._stream_changes(request.query.get("prefix", ""), since)
        return Reply(headers=(("Content-Type", "application/jsonl"),), stream=stream)

    async def _stream_changes(self, prefix: str, since: int) -> AsyncIterator[bytes]:
        beat_at = time.monotonic() + HEARTBEAT_S
        while True:
            newer = sorted(
                (version, key, value)
                for key, (version, value) in self.values.items()
                if version > since and key.startswith(prefix)
            )
            for version, key, value in newer:
                since = version
                beat_at = time.monotonic() + HEARTBEAT_S
                yield (
                    msgspec.json.encode(
                        {
                            "key": key,
                            "version": version,
                            "value": base64.b64encode(value).decode(),
                        }
                    )
                    + b"\n"
                )
            if self.server.faults.down:
                return
            try:
                # Changes elsewhere wake it too and must not put the beat off.
                left_s = max(0.01, beat_at - time.monotonic())
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                beat_at = time.monotonic() + HEARTBEAT_S
                yield b"{}\n"
