"""Stand-in for the weight store: `GET /v1/weights/MODEL/VERSION`, rate-limited."""

import time
from typing import Final

from .server import FakeServer, Reply, Request, reply_json

LOADS_PER_S: Final = 5.0
BURST: Final = 10.0


class WeightStore:
    """A token bucket in front of small made-up weights."""

    def __init__(self, *, endpoint: str) -> None:
        self._tokens = BURST
        self._filled_at = time.monotonic()
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * LOADS_PER_S
        self._tokens = min(BURST, filled)
        self._filled_at = now
        if self._tokens < 1:
            return reply_json({"error": "rate"}, 429, ("Retry-After", "1"))
        self._tokens -= 1
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "weights"] or len(parts) != 4:
            return reply_json({"error": "no such weights"}, 404)
        return Reply(body=("/".join(parts[2:])).encode())
