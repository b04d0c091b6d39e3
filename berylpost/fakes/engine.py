"""Stand-in for a model engine with continuous batching and a prefix cache.

OpenAI-style `POST /v1/completions` and `/v1/chat/completions` as server-sent
events; `GET /load`; `PUT /orders` (model, version, role) with a fencing number;
`POST /kv/export` and `/kv/import`; `GET /ledger` for tests. Its model is a hash:
the next word depends on the whole text so far, so a resumed answer can be checked
word by word against `generate_words`.
"""

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from .server import Reply, Request, StandIn, reply_json

WORDS: Final = tuple(
    "silage pulp whey manure straw glycerol rind mash sludge husk load tonne bay gate "
    "dry wet acid warm slow rest breathe drift tide calm night moon soft ease".split()
)
BLOCK_TOKENS: Final = 8
CACHE_BLOCKS: Final = 4_096


def generate_words(text: str) -> Iterator[str]:
    """Continues a text; each word is a function of all text before it."""
    state = hashlib.blake2b(text.encode(), digest_size=8)
    while True:
        word = " " + WORDS[int.from_bytes(state.digest(), "big") % len(WORDS)]
        state.update(word.encode())
        yield word


def render_prompt(body: dict[str, Any]) -> str:
    """Renders a completion or chat body to the text the model continues.

    A last assistant message with `continue_final_message` is continued in place.
    """
    if "messages" not in body:
        return str(body.get("prompt", ""))
    turns = [f"<{m['role']}>{m['content']}" for m in body["messages"]]
    if body.get("continue_final_message"):
        return "".join(turns)
    return "".join(turns) + "<assistant>"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """Speeds and bounds of an engine."""

    slots: int = 16
    token_s: float = 0.005
    prefill_token_s: float = 0.0002
    fenced: bool = True


class Engine:
    """One engine: its slots, prefix cache, orders and what it computed."""

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
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._slots = asyncio.Semaphore(shape.slots)
        self.server = StandIn(endpoint=endpoint, handle=self._handle)

    def give_notice(self) -> None:
        """Tells the engine that its VM will be taken."""
        self.leaving = True
        self.notice_time = time.monotonic()

    async def _handle(self, request: Request) -> Reply:
        routes = {
            "/v1/completions": self._complete,
            "/v1/chat/completions": self._complete,
            "/load": self._report,
            "/orders": self._order,
            "/kv/export": self._export,
            "/kv/import": self._import,
        }
        route = routes.get(request.path)
        if route is None:
            return reply_json({"error": "no such path"}, 404)
        return route(request)

    def _report(self, _: Request) -> Reply:
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

    def _order(self, request: Request) -> Reply:
        order = request.decode()
        if self.shape.fenced and order["fence"] < self.fence:
            return reply_json({"error": "old fencing number", "fence": self.fence}, 409)
        self.fence = max(self.fence, order["fence"])
        self.model = order.get("model", self.model)
        self.version = order.get("version", self.version)
        self.role = order.get("role", self.role)
        self.orders.append(order)
        return self._report(request)

    def _export(self, request: Request) -> Reply:
        words = request.decode()["text"].split()
        return reply_json({"blocks": list(_hash_blocks(words))})

    def _import(self, request: Request) -> Reply:
        for block in request.decode()["blocks"]:
            self._keep_block(block)
        return reply_json({})

    def _keep_block(self, block: str) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > CACHE_BLOCKS:
            self._blocks.popitem(last=False)

    def _complete(self, request: Request) -> Reply:
        body = request.decode()
        if self.n_waiting > 4 * self.shape.slots:
            return reply_json({"error": "queue full"}, 503)
        if self.leaving:
            self.started_after_notice.append(time.monotonic() - self.notice_time)
        metrics = {
            "num_requests_running": self.n_running,
            "num_requests_waiting": self.n_waiting,
            "leaving": int(self.leaving),
        }
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
            for n, word in enumerate(generate_words(text), 1):
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
            if block in self._blocks:
                cached += BLOCK_TOKENS
            self._keep_block(block)
        self.cached_tokens += cached
        self.prefill_tokens += len(words) - cached
        await asyncio.sleep((len(words) - cached) * self.shape.prefill_token_s)


def _hash_blocks(words: list[str]) -> Iterator[str]:
    """Hashes each full block together with all text before it."""
    state = hashlib.blake2b(digest_size=8)
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        state.update(" ".join(words[start : start + BLOCK_TOKENS]).encode())
        yield state.hexdigest()


def _render_chunk(word: str, *, chat: bool, n: int, last: bool) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length" if last else None}
    choice |= {"delta": {"content": word}} if chat else {"text": word}
    document = {"choices": [choice], "usage": {"completion_tokens": n}}
    return b"data: " + msgspec.json.encode(document) + b"\n\n"
