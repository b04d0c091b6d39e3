"""Fake of a model engine with continuous batching and a prefix cache.

It serves OpenAI-style `POST /v1/completions` and `/v1/chat/completions` as server-sent
events, `GET /load`, `PUT /orders` (model, version, role) with a fencing number, and
`POST /kv/export` and `/kv/import`. Its model is a hash: the next word depends on the
whole text so far, so a resumed response can be checked word by word against
`generate_words`.
"""

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from .server import CRASH_S, FakeServer, Reply, Request, reply_json

VOCABULARY: Final = tuple(
    "silage pulp whey manure straw glycerol rind mash sludge husk load tonne bay gate "
    "dry wet acid warm slow rest breathe drift tide calm night moon soft ease".split()
)
BLOCK_TOKENS: Final = 8
MAX_CACHED_BLOCKS: Final = 4_096


def generate_words(text: str) -> Iterator[str]:
    """Generates words that continue a text, each a function of all text before it."""
    state = hashlib.blake2b(text.encode(), digest_size=8)
    while True:
        word = " " + VOCABULARY[int.from_bytes(state.digest(), "big") % len(VOCABULARY)]
        state.update(word.encode())
        yield word


def render_prompt(body: dict[str, Any]) -> str:
    """Renders a completion or chat request to the text that the model continues.

    With `continue_final_message` the model continues the last message itself.
    """
    if "messages" not in body:
        return str(body.get("prompt", ""))
    turns = [f"<{m['role']}>{m['content']}" for m in body["messages"]]
    if body.get("continue_final_message"):
        return "".join(turns)
    return "".join(turns) + "<assistant>"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """Speed and limits of an engine.

    Attributes:
        slots: requests that run at once.
        token_s: time to generate one token.
        prefill_token_s: time to prefill one prompt token that is not cached.
        fenced: whether orders with an outdated fencing number are refused.
    """

    slots: int = 16
    token_s: float = 0.005
    prefill_token_s: float = 0.0002
    fenced: bool = True


class Engine:
    """One fake engine.

    Attributes:
        leaving: whether its VM has got a reclaim notice.
        prefill_tokens: prompt tokens computed so far.
        cached_tokens: prompt tokens found in the prefix cache so far.
        generated_tokens: tokens generated so far.
        started_after_notice: for each request accepted after the notice, the time
            since the notice in seconds.
        notice_time: monotonic time of the notice in seconds.
        fence: highest fencing number of the accepted orders.
        orders: accepted orders.
        received_at: when requests were received, monotonic seconds.
    """

    def __init__(self, *, endpoint: str, model: str, shape: EngineShape) -> None:
        self.model = model
        self.version = "1"
        self.role = "mixed"
        self.shape = shape
        self.leaving = False
        self.n_running = 0
        self.n_waiting = 0
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.generated_tokens = 0
        self.started_after_notice: list[float] = []
        self.notice_time = 0.0
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.received_at: list[float] = []
        self._cached_blocks: OrderedDict[str, None] = OrderedDict()
        self._slots = asyncio.Semaphore(shape.slots)
        self._crash: asyncio.Future[None] | None = None
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    def give_notice(self) -> None:
        """Tells the engine that its VM will be reclaimed."""
        self.leaving = True
        self.notice_time = time.monotonic()

    async def _handle(self, request: Request) -> Reply:
        routes = {
            "/v1/completions": self._complete,
            "/v1/chat/completions": self._complete,
            "/load": self._report_load,
            "/orders": self._apply_order,
            "/kv/export": self._export_kv,
            "/kv/import": self._import_kv,
        }
        route = routes.get(request.path)
        if route is None:
            return reply_json({"error": "no such path"}, 404)
        return route(request)

    def _report_load(self, _: Request) -> Reply:
        return reply_json(
            {
                "model": self.model,
                "version": self.version,
                "role": self.role,
                "slots": self.shape.slots,
                "running": self.n_running,
                "waiting": self.n_waiting,
                "leaving": self.leaving,
                "prefill_tokens": self.prefill_tokens,
                "cached_tokens": self.cached_tokens,
                "generated_tokens": self.generated_tokens,
                "fence": self.fence,
                "started_after_notice": self.started_after_notice,
            }
        )

    def _apply_order(self, request: Request) -> Reply:
        order = request.decode()
        if self.shape.fenced and order["fence"] < self.fence:
            return reply_json({"error": "old fencing number", "fence": self.fence}, 409)
        self.fence = max(self.fence, order["fence"])
        self.model = order.get("model", self.model)
        self.version = order.get("version", self.version)
        self.role = order.get("role", self.role)
        self.orders.append(order)
        return self._report_load(request)

    def _export_kv(self, request: Request) -> Reply:
        words = request.decode()["text"].split()
        return reply_json({"blocks": list(_hash_blocks(words))})

    def _import_kv(self, request: Request) -> Reply:
        for block in request.decode()["blocks"]:
            self._cache_block(block)
        return reply_json({})

    def _cache_block(self, block: str) -> None:
        self._cached_blocks[block] = None
        self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > MAX_CACHED_BLOCKS:
            self._cached_blocks.popitem(last=False)

    def _complete(self, request: Request) -> Reply:
        body = request.decode()
        if self.n_waiting > 4 * self.shape.slots:
            return reply_json({"error": "queue full"}, 503)
        if self.leaving:
            self.started_after_notice.append(time.monotonic() - self.notice_time)
        self.received_at.append(time.monotonic())
        metrics: dict[str, float] = {
            "num_requests_running": self.n_running,
            "num_requests_waiting": self.n_waiting,
            "leaving": int(self.leaving),
        }
        if self.server.faults.rate_limit >= 0:
            metrics["request_rate_limit"] = self.server.faults.rate_limit
        orca = msgspec.json.encode({"named_metrics": metrics}).decode()
        return Reply(
            headers=(
                ("Content-Type", "text/event-stream"),
                ("endpoint-load-metrics", f"JSON {orca}"),
            ),
            stream=self._generate(body),
        )

    async def _generate(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        self.n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.n_waiting -= 1
        self.n_running += 1
        try:
            text = render_prompt(body)
            await self._prefill(text)
            limit = int(body.get("max_tokens", 16))
            chat = "messages" in body
            due = time.monotonic()
            crash_on = self.server.faults.crash_on
            for n, word in enumerate(generate_words(text), 1):
                if crash_on and crash_on in text and n > 1:
                    self._crash = asyncio.ensure_future(self.server.crash())
                    await asyncio.sleep(CRASH_S)
                due += self.shape.token_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                self.generated_tokens += 1
                yield _render_chunk(word, chat=chat, n=n, last=n >= limit)
                if n >= limit:
                    break
            yield b"data: [DONE]\n\n"
        finally:
            self.n_running -= 1
            self._slots.release()

    async def _prefill(self, text: str) -> None:
        words = text.split()
        cached = 0
        for block in _hash_blocks(words):
            if block in self._cached_blocks:
                cached += BLOCK_TOKENS
            self._cache_block(block)
        self.cached_tokens += cached
        self.prefill_tokens += len(words) - cached
        await asyncio.sleep((len(words) - cached) * self.shape.prefill_token_s)


def _hash_blocks(words: list[str]) -> Iterator[str]:
    """Yields a hash of each full block together with all text before it."""
    state = hashlib.blake2b(digest_size=8)
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        state.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        yield state.hexdigest()


def _render_chunk(word: str, *, chat: bool, n: int, last: bool) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length" if last else None}
    choice |= {"delta": {"content": word}} if chat else {"text": word}
    document = {"choices": [choice], "usage": {"completion_tokens": n}}
    return b"data: " + msgspec.json.encode(document) + b"\n\n"
