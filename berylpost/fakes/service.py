"""Stand-in for a plain service: intake bookings that must not double.

`POST /bookings` books and returns 201; `GET /bookings` lists; `GET /count/KEY`
tells how often a booking's reference was executed; `GET /load` reports load.
"""

import asyncio
from collections import Counter

import msgspec

from .server import FakeServer, Reply, Request, reply_json


class BookingService:
    """Executes each booking it receives, even twice, and counts."""

    def __init__(
        self, *, endpoint: str, executed: Counter[str], work_s: float = 0.002
    ) -> None:
        # Replicas of one service share their database, here the counter.
        self.executed = executed
        self.n_running = 0
        self._work_s = work_s
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/load":
            return reply_json({"running": self.n_running, "slots": 64})
        if request.path == "/bookings" and request.method == "POST":
            return await self._book(request)
        if request.path == "/bookings":
            return reply_json(dict(self.executed))
        if request.path.startswith("/count/"):
            return reply_json({"count": self.executed[request.path[7:]]})
        return reply_json({"error": "no such path"}, 404)

    async def _book(self, request: Request) -> Reply:
        try:
            reference = str(request.decode()["reference"])
        except (msgspec.DecodeError, KeyError, TypeError):
            return reply_json({"error": "a booking needs a reference"}, 400)
        self.n_running += 1
        await asyncio.sleep(self._work_s)
        self.executed[reference] += 1
        self.n_running -= 1
        return reply_json({"reference": reference, "state": "booked"}, 201)
