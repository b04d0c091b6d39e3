"""One engine sends an event without end, in small pieces; callers of others wait."""

import asyncio
import itertools
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from review.stand_ins_2 import (
    KEY,
    Answer,
    Record,
    Request,
    Site,
    call,
    make_configuration,
    make_headers,
    make_route,
    serve,
    write_answer,
)

TIMEOUT_S: Final = 1.5  # `TimeoutMs` of the route for bookings
LATE_S: Final = 0.5
N_LATE: Final = 8
DEADLINE_S: Final = 4.0  # for which the booking clients wait
N_BOOKINGS: Final = 120
BOOKING_PAUSE_S: Final = 0.1
N_STREAMS: Final = 8
TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
TOKEN: Final = b"word "
# 10,000 pieces of 10 bytes a second, a thousandth of the engine's link.
N_PIECES: Final = 200
PIECES_PAUSE_S: Final = 0.02


async def tell(
    request: Request, writer: asyncio.StreamWriter, *, is_endless: bool
) -> bool:
    """Answers a stream with five events, or with one that does not end."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [*make_headers(request), "Transfer-Encoding: chunked"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (len(TOKEN), TOKEN)
    if is_endless:
        writer.write(b"c\r\nid: 1\ndata: \r\n")
        while True:  # until the caller closes
            writer.write(chunk * N_PIECES)
            await writer.drain()
            await asyncio.sleep(PIECES_PAUSE_S)
    for number in range(1, 6):
        event = b"id: %d\ndata: word\n\n" % number
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.sleep(0.05)
    writer.write(b"0\r\n\r\n")
    return True


async def book(request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answers a booking at once."""
    write_answer(request, writer, body=b"booked")
    return True


async def run(folder: Path, record: Record) -> int:
    """Runs the case; returns 1 if the rule was broken, else 0."""
    site = Site(folder=folder, record=record)
    routes = [
        make_route("book", "non_idempotent", "desk", MaxAttempts=1),
        make_route(
            "tell", "streaming", "pool", CanResume=True, GapAimMs=250, TimeoutMs=15_000
        ),
    ]
    services = [{"Name": n, "MaxConns": 600} for n in ("desk", "pool")]
    for number, server_id in enumerate(("engine-1", "engine-2")):

        async def handle(
            request: Request, writer: asyncio.StreamWriter, name: str = server_id
        ) -> bool:
            is_endless = TROUBLE and name == "engine-1"
            record.note(f"{name} runs {request.id} endless={is_endless}")
            return await tell(request, writer, is_endless=is_endless)

        await serve(server_id, site.ip(101 + number), site.port, handle)
        await site.register(server_id, site.ip(101 + number))
    await serve("desk-1", site.ip(110), site.port, book)
    await site.register("desk-1", site.ip(110), Service="desk")
    try:
        await site.start(make_configuration(routes, services), n_daemons=1)
        return await _judge(site, record)
    finally:
        await site.stop()


async def _judge(site: Site, record: Record) -> int:
    front = (site.daemons[0].ip, site.front)
    numbers = itertools.count(1)
    answers: list[Answer] = []

    async def send(path: str, deadline_s: float) -> Answer:
        attempt = f"{path.strip('/')}-{next(numbers)}"
        headers = {
            "Authorization": f"Bearer {KEY}",
            "X-Berylpost-Attempt-Id": attempt,
            "X-Berylpost-Deadline-Ms": str(int(deadline_s * 1_000)),
        }
        record.note(f"client sends {attempt}")
        answer = await call(
            front, "POST", f"{path}1", headers=headers, body=b"x", timeout_s=deadline_s
        )
        record.note(
            f"{attempt} status={answer.status} complete={answer.is_complete} "
            f"after {answer.seconds:.3f} s"
        )
        return answer

    async def send_booking() -> None:
        answers.append(await send("/book/", DEADLINE_S))

    await asyncio.sleep(2.0)
    tasks = [asyncio.create_task(send("/tell/", 15.0)) for _ in range(N_STREAMS)]
    bookings = []
    for _ in range(N_BOOKINGS):
        bookings.append(asyncio.create_task(send_booking()))
        await asyncio.sleep(BOOKING_PAUSE_S)
    await asyncio.gather(*bookings)
    for task in tasks:
        task.cancel()
    unanswered = [a for a in answers if not a.is_complete or a.seconds > TIMEOUT_S]
    stuck = [
        a for a in unanswered if not a.is_complete or a.seconds > TIMEOUT_S + LATE_S
    ]
    record.note(
        f"{len(answers)} bookings, {len(unanswered)} not answered after "
        f"{TIMEOUT_S} s, {len(stuck)} not {LATE_S} s later"
    )
    return int(len(stuck) >= N_LATE and len(stuck) > len(unanswered) / 2)


def main() -> int:
    """Runs the case; returns 2 if it could not run."""
    record = Record(Path(__file__).parent / "record.txt")
    began_at = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(run(Path(folder), record))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        status = 2
    record.note(f"exit status {status} after {time.monotonic() - began_at:.0f} s")
    return status


if __name__ == "__main__":
    sys.exit(main())
