"""Fake of the weight store: `GET /v1/weights/MODEL/VERSION` with a rate limit."""

import time
from typing import Final

from .server import FakeServer, Reply, Request, reply_json

MAX_LOADS_PER_S: Final = 5.0
BURST: Final = 10.0


class WeightStore:
    """Serves placeholders for model weights behind a token bucket."""

    def __init__(self, *, endpoint: str) -> None:
        self._tokens = BURST
        self._refilled_at = time.monotonic()
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        now = time.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * MAX_LOADS_PER_S
        self._tokens = min(BURST, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return reply_json({"error": "rate"}, 429, ("Retry-After", "1"))
        self._tokens -= 1
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "weights"] or len(parts) != 4:
            return reply_json({"error": "no such weights"}, 404)
        return Reply(body=("/".join(parts[2:])).encode())
