"""Fake of a service without a model: bookings, which must not be executed twice.

`POST /bookings` executes a booking and returns 201, `GET /bookings` returns how often
each reference was executed, `GET /count/REFERENCE` returns it for one reference,
`GET /events` streams `N_EVENTS` server-sent events, and `GET /load` reports the load.
"""

import asyncio
import dataclasses
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from .server import CRASH_S, FakeServer, Reply, Request, reply_json

N_EVENTS: Final = 4


async def generate_events() -> AsyncIterator[bytes]:
    """Generates the events of `GET /events`."""
    for number in range(1, N_EVENTS + 1):
        yield b"id: %d\ndata: w%d\n\n" % (number, number)


class BookingService:
    """Executes each booking it receives, repeated ones too, and counts executions.

    Args:
        endpoint: IP-NUMBER:PORT to listen on.
        executed: executions by reference, shared by the servers of the service.
        work_s: time to execute a booking.

    Attributes:
        leaving: whether its answers say that it leaves.
        received_at: when calls were received, `/load` excluded, monotonic seconds.
    """

    def __init__(
        self, *, endpoint: str, executed: Counter[str], work_s: float = 0.002
    ) -> None:
        # Servers of one service share a database; the counter takes its place.
        self.executed = executed
        self.n_running = 0
        self.leaving = False
        self.received_at: list[float] = []
        self._work_s = work_s
        self._crash: asyncio.Future[None] | None = None
        self.server = FakeServer(endpoint=endpoint, handle=self._handle)

    async def _handle(self, request: Request) -> Reply:
        reply = await self._answer(request)
        if self.leaving:
            report = 'JSON {"named_metrics": {"leaving": 1}}'
            headers = (*reply.headers, ("endpoint-load-metrics", report))
            reply = dataclasses.replace(reply, headers=headers)
        return reply

    async def _answer(self, request: Request) -> Reply:
        crash_on = self.server.faults.crash_on
        if crash_on and (crash_on in request.path or crash_on.encode() in request.body):
            self._crash = asyncio.ensure_future(self.server.crash())
            await asyncio.sleep(CRASH_S)
            raise ConnectionResetError("the server has ended")
        if request.path == "/load":
            return reply_json({"running": self.n_running, "slots": 64})
        self.received_at.append(time.monotonic())
        if request.path == "/bookings" and request.method == "POST":
            return await self._book(request)
        if request.path == "/bookings":
            return reply_json(dict(self.executed))
        if request.path == "/events":
            headers = (("Content-Type", "text/event-stream"),)
            return Reply(headers=headers, stream=generate_events())
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
