"""Judges streams event by event: `python -m soak.streams --seed 7 --seconds 30`.

Daemons and servers are processes. Callers follow streams over all their tries, take
them up elsewhere when they break, and check every event against the stream's plan. The
rig knows two rules: ORDER (no event missing or twice, no stream of two versions, none
that looks complete before its last event) and LOST (streams that are taken up go on).
`--build` runs the daemons of an earlier commit.
"""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
import time
import uuid
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import httptools

from berylpost.fakes.entry_world import HOST, make_configuration, make_route

from .builds import extract_build
from .stream_server import StreamPlan
from .world import PORT, ROOT, Daemon, World

EVENT_END: Final = b"\n\n"
DEADLINE_S: Final = 12.0
GAP_S: Final = 2.0  # without bytes, after which a caller abandons a connection
MAX_TRIES: Final = 6
PAUSE_S: Final = 0.3  # between two tries, unless the answer names another
SLOW_PAUSE_S: Final = 0.05  # between two reads of a slow caller
SLOW_BUFFER_BYTES: Final = 4_096
HEARTBEAT_S: Final = 1.2
LEAVES_S: Final = 1.5  # from a server's notice to its end
SETTLE_S: Final = 3.0
# Of each server; the daemons share them, and one may have all streams of a case.
MAX_CONNECTIONS: Final = 5_000


@dataclass(slots=True, kw_only=True)
class Server:
    """A process of a backend server."""

    id: str
    ip: str
    version: str
    process: asyncio.subprocess.Process
    born_ms: int
    leaving: bool = False


@dataclass(slots=True, kw_only=True)
class Stream:
    """A stream as its caller sees it over all tries.

    Attributes:
        ids: ids of the events that the caller holds.
        versions: versions that the events name.
        complete: whether an answer ended as complete.
        statuses: status of each try; 0 for a connection without an answer.
        n_taken_up: tries that asked for the rest.
        n_gone_on: those that brought an event or the end.
        faults: what breaks the rule.
    """

    plan: StreamPlan
    attempt: str
    ids: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    complete: bool = False
    statuses: list[int] = field(default_factory=list)
    n_taken_up: int = 0
    n_gone_on: int = 0
    faults: list[str] = field(default_factory=list)


class Answer:
    """Callbacks of the httptools parser; checks each event of one try.

    Args:
        stream: the stream.
        after: id of the last event that the caller says it has; 0 for none.
        on_event: called before each event.
    """

    def __init__(
        self,
        stream: Stream,
        after: int,
        on_event: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_event = on_event
        self.parser = httptools.HttpResponseParser(self)
        self.stream = stream
        self.after = after
        self.status = 0
        self.retry_after_s = PAUSE_S
        self.ended = False
        self.n_events = 0
        self._buffer = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes when the caller may try again."""
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_headers_complete(self) -> None:
        """Stores the status."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Checks the events that are complete."""
        if self.status != 200:
            return
        *events, self._buffer = (self._buffer + body).split(EVENT_END)
        for event in events:
            self._check(event.decode())

    def on_message_complete(self) -> None:
        """Checks that the last event was there."""
        self.ended = True
        if self.status != 200:
            return
        self.stream.complete = True
        expected = self.stream.plan.list_ids()
        last = self.stream.ids[-1:] or [self.after]
        if self._buffer:
            self.stream.faults.append("complete inside an event")
        elif last != expected[-1:]:
            self.stream.faults.append(f"complete after {last} of {expected[-1]}")

    def _check(self, event: str) -> None:
        self.on_event()
        stream = self.stream
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        name, _, version = fields["data"].split(" ", 3)[:3]
        event_id = int(fields["id"])
        if name != stream.plan.name:
            stream.faults.append(f"event of {name}")
        if self.n_events == 0:  # the caller asked for what comes after this one
            while stream.ids and stream.ids[-1] > self.after:
                stream.ids.pop()
                stream.versions.pop()
        self.n_events += 1
        expected = [i for i in stream.plan.list_ids() if i > (stream.ids or [0])[-1]]
        if event_id != (expected or [0])[0]:
            kind = "again" if event_id in stream.ids else "out of order"
            stream.faults.append(f"event {event_id} {kind}, expected {expected[:1]}")
        stream.ids.append(event_id)
        stream.versions.append(version)
        if len(set(stream.versions)) > 1:
            stream.faults.append(f"versions {sorted(set(stream.versions))}")


class StreamRig:
    """The processes, and callers that follow streams.

    Args:
        seed: seed of what is drawn.
        folder: where logs go.
        n_daemons: number of daemons.
        n_servers: number of servers at the start.
        build: folder of the daemons' code.
        unframed: share of the streams that end with their connection.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: Path,
        n_daemons: int,
        n_servers: int,
        build: Path,
        unframed: float,
    ) -> None:
        self.random = random.Random(seed)
        self.world = World(
            address_prefix=f"127.{30 + seed % 200}",
            folder=folder,
            on_run=lambda *_: None,
            builds=[build],
        )
        self.servers: list[Server] = []
        self.streams: list[Stream] = []
        self.counts: Counter[str] = Counter()
        self._n_daemons = n_daemons
        self._n_servers = n_servers
        self._unframed = unframed
        self._n_started = 0
        self._stopping = False

    async def start(self) -> None:
        """Starts all processes and waits until the daemons are ready."""
        world = self.world
        await world.store.server.start()
        await world.cloud.server.start()
        await self._put_configuration()
        for _ in range(self._n_servers):
            await self.start_server("v1")
        for number in range(self._n_daemons):
            daemon = await world._make_daemon(number)
            world.daemons.append(daemon)
            await self.start_daemon(daemon)
        async with asyncio.timeout(30.0):
            for daemon in world.daemons:
                while not await world.is_ready(daemon):
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes."""
        self._stopping = True
        for server in self.servers:
            await end_process(server.process)
        await self.world.stop()

    async def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon as it runs on the platform."""
        daemon.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylpost.edge",
            cwd=daemon.build,
            env={**os.environ, "BERYLPOST_BOOT": str(daemon.settings)},
            stdout=daemon.log,
            stderr=daemon.log,
        )
        daemon.n_starts += 1
        daemon.stopping = daemon.paused = False

    async def start_server(self, version: str, *, id: str = "", ip: str = "") -> Server:
        """Starts a server and stores its entry, as the server itself does."""
        self._n_started += 1
        id = id or f"r-{self._n_started}"
        ip = ip or f"{self.world.address_prefix}.3.{self._n_started}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.stream_server",
            *(id, ip, str(PORT), version),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        self.world.spawn(_drain(process.stdout))
        server = Server(
            id=id,
            ip=ip,
            version=version,
            process=process,
            born_ms=int(time.time() * 1_000),
        )
        self.servers.append(server)
        await self.put_server(server)
        return server

    async def put_server(self, server: Server, **fields: Any) -> None:
        """Stores the entry of a server."""
        spec = {
            "Service": "app",
            "Address": f"{server.ip}:{PORT}",
            "Zone": "a",
            "Version": server.version,
            "Slots": 512,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": server.born_ms,
            **fields,
        }
        await self.world.store.put("servers", server.id, spec)

    def list_serving(self) -> list[Server]:
        """Lists the servers that run and do not leave."""
        return [s for s in self.servers if not s.leaving]

    async def run(self, seconds: float, faults: list[str], n_callers: int) -> None:
        """Lets callers follow streams while faults of the named kinds come."""
        callers = [asyncio.create_task(self._call()) for _ in range(n_callers)]
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
            name = self.random.choice(faults)
            self.counts[f"fault {name}"] += 1
            self.world.spawn(FAULTS[name](self))
        self._stopping = True
        await asyncio.gather(*callers)

    async def _put_configuration(self) -> None:
        service = {"Name": "app", "HealthPath": "/health", "MaxConns": MAX_CONNECTIONS}
        document = make_configuration(2, Services=[service])
        document["Routes"] = [
            make_route(
                name,
                "streaming",
                CanResume=name == "stream",
                GapAimMs=250,
                TimeoutMs=DEADLINE_S * 1_000,
                MaxAttempts=3 if name == "stream" else 1,
            )
            for name in ("stream", "stream/once")
        ]
        await self.world.store.put("config", "main", document)

    async def _call(self) -> None:
        while not self._stopping:
            await self._follow(self._draw_stream())

    def _draw_stream(self) -> Stream:
        draw = self.random
        size = draw.choice((10, 10, 300, 6_000))
        plan = StreamPlan(
            name=uuid.UUID(int=draw.getrandbits(128)).hex,
            n_events=draw.randint(1, 60),
            framing="close" if draw.random() < self._unframed else "chunked",
            packing=draw.choice(("whole", "pieces", "joined")),
            size=size,
            pause_ms=draw.choice((5, 40, 80)),
            skips=draw.random() < 0.5,
        )
        return Stream(plan=plan, attempt=uuid.UUID(int=draw.getrandbits(128)).hex)

    async def _follow(self, stream: Stream) -> None:
        """Follows one stream over all its tries."""
        self.streams.append(stream)
        resumes = self.random.random() < 0.8
        kind = "stream" if resumes else "stream/once"
        is_slow = self.random.random() < 0.2
        first_attempt = attempt = stream.attempt
        ends_at = time.monotonic() + DEADLINE_S
        for _ in range(MAX_TRIES if resumes else 1):
            after = 0
            if stream.ids:  # a caller may not have stored the newest events
                back = self.random.choice((1, 1, 1, 2, 3))
                after = stream.ids[-min(back, len(stream.ids))]
                stream.n_taken_up += 1
            answer = Answer(stream, after)
            left_s = ends_at - time.monotonic()
            if left_s < 0.1:
                break
            daemon = self.random.choice(self.world.daemons)
            await try_stream(
                answer, daemon, kind, attempt, first_attempt, left_s, is_slow
            )
            stream.statuses.append(answer.status)
            if after and (answer.n_events or (answer.ended and answer.status == 200)):
                stream.n_gone_on += 1
            if answer.ended and answer.status == 200:
                break
            if not stream.ids:
                first_attempt = ""
            await asyncio.sleep(min(answer.retry_after_s, 1.0))
            attempt = uuid.UUID(int=self.random.getrandbits(128)).hex
            first_attempt = first_attempt or attempt
        self.counts[f"{kind} {'whole' if stream.complete else 'cut'}"] += 1


async def try_stream(
    answer: Answer,
    daemon: Daemon,
    kind: str,
    attempt: str,
    first_attempt: str,
    left_s: float,
    is_slow: bool = False,
) -> None:
    """Sends one request for a stream, or its rest, and reads the answer.

    Args:
        answer: receives the answer.
        daemon: daemon to ask.
        kind: name of the route.
        attempt: id of this try.
        first_attempt: id of the try that brought the first event.
        left_s: the caller's deadline, seconds.
        is_slow: whether the caller reads slowly.
    """
    head = (
        f"POST /{kind}/{answer.stream.plan.render()} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Berylpost-Attempt-Id: {attempt}\r\n"
        f"X-Berylpost-Deadline-Ms: {int(left_s * 1_000)}\r\n"
        "Authorization: Bearer key-one\r\n"
    )
    if answer.after:
        head += f"Last-Event-Id: {answer.after}\r\nResumes: {first_attempt}\r\n"
    writer = None
    with contextlib.suppress(OSError, TimeoutError, httptools.HttpParserError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                daemon.ip, PORT, limit=SLOW_BUFFER_BYTES if is_slow else 1 << 16
            )
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        while not answer.ended:
            async with asyncio.timeout(GAP_S):
                data = await reader.read(SLOW_BUFFER_BYTES)
            if not data:
                break
            answer.parser.feed_data(data)
            if is_slow:
                await asyncio.sleep(SLOW_PAUSE_S)
    if writer is not None:
        writer.transport.abort()


async def _drain(pipe: asyncio.StreamReader) -> None:
    while await pipe.readline():
        pass


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Kills a process, unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


async def _crash_server(rig: StreamRig, **same: str) -> None:
    """Kills a server; another one comes, at the same id or address if so named."""
    serving = rig.list_serving()
    if len(serving) < 2:
        return
    server = rig.random.choice(serving)
    server.leaving = True
    await end_process(server.process)
    if not same:
        await asyncio.sleep(HEARTBEAT_S)
    fields = {name: getattr(server, name) for name in same}
    await rig.start_server(same.get("version", server.version), **_drop(fields))
    if "id" not in same:
        await asyncio.sleep(2 * HEARTBEAT_S)
        await rig.world.store.remove("servers", server.id)


def _drop(fields: dict[str, str]) -> dict[str, str]:
    return {name: value for name, value in fields.items() if name in ("id", "ip")}


async def _restart_server(rig: StreamRig) -> None:
    await _crash_server(rig, id="same", ip="same")


async def _upgrade_server(rig: StreamRig) -> None:
    version = rig.random.choice(("v1", "v2", "v3"))
    await _crash_server(rig, id="same", ip="same", version=version)


async def _reuse_address(rig: StreamRig) -> None:
    await _crash_server(rig, ip="same")


async def _break_streams(rig: StreamRig) -> None:
    for server in rig.list_serving():
        if server.process.stdin is not None:
            server.process.stdin.write(b"break 3\n")


async def _release(rig: StreamRig) -> None:
    """Brings a server of another version; one that serves leaves soon."""
    await rig.start_server(rig.random.choice(("v1", "v2", "v3")))
    await _reclaim_server(rig)


async def _reclaim_server(rig: StreamRig) -> None:
    """Announces that a server leaves, and ends it then."""
    serving = rig.list_serving()
    if len(serving) < 3:
        return
    server = rig.random.choice(serving)
    server.leaving = True
    await rig.put_server(
        server, State="draining", Spot=True, leaves_ms=LEAVES_S * 1_000
    )
    await asyncio.sleep(LEAVES_S)
    await end_process(server.process)
    await rig.world.store.remove("servers", server.id)
    await rig.start_server(server.version)


async def _stop_daemon(rig: StreamRig, number: signal.Signals, n: int = 1) -> None:
    up = [d for d in rig.world.daemons if d.is_up]
    n_stopped = max(0, min(n, len(up) - (n == 1)))
    for daemon in rig.random.sample(up, n_stopped):
        daemon.stopping = True
        assert daemon.process is not None
        daemon.process.send_signal(number)
        rig.world.spawn(_restart_daemon(rig, daemon))


async def _restart_daemon(rig: StreamRig, daemon: Daemon) -> None:
    assert daemon.process is not None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(10.0):
            await daemon.process.wait()
    await end_process(daemon.process)
    await asyncio.sleep(0.5)
    await rig.start_daemon(daemon)


async def _freeze_daemons(rig: StreamRig) -> None:
    up = [d for d in rig.world.daemons if d.is_up]
    frozen = rig.random.sample(up, rig.random.randint(1, max(1, len(up) // 3)))
    for number, is_paused in ((signal.SIGSTOP, True), (signal.SIGCONT, False)):
        for daemon in frozen:
            assert daemon.process is not None
            daemon.paused = is_paused
            with contextlib.suppress(ProcessLookupError):
                daemon.process.send_signal(number)
        if is_paused:
            await asyncio.sleep(rig.random.uniform(0.2, 4.0))


async def _restore_store(rig: StreamRig) -> None:
    """Brings the store back from a copy of before; all write again."""
    copied = rig.world.store.take_copy()
    await asyncio.sleep(3.0)
    await rig.world.store.restore(copied)
    await rig._put_configuration()
    for server in rig.list_serving():
        await rig.put_server(server)


async def _restart_all(rig: StreamRig) -> None:
    await _stop_daemon(rig, signal.SIGKILL, len(rig.world.daemons))


FAULTS: Final[dict[str, Callable[[StreamRig], Coroutine[Any, Any, None]]]] = {
    "crash": _crash_server,
    "restart": _restart_server,
    "upgrade": _upgrade_server,
    "reuse": _reuse_address,
    "break": _break_streams,
    "release": _release,
    "reclaim": _reclaim_server,
    "kill": lambda rig: _stop_daemon(rig, signal.SIGKILL),
    "stop": lambda rig: _stop_daemon(rig, signal.SIGTERM),
    "kill all": _restart_all,
    "freeze": _freeze_daemons,
    "restore": _restore_store,
}


async def run_rig(arguments: argparse.Namespace) -> StreamRig:
    """Runs the rig once."""
    folder = Path(arguments.logs or tempfile.mkdtemp(prefix="streams-"))
    folder.mkdir(parents=True, exist_ok=True)
    rig = StreamRig(
        seed=arguments.seed,
        folder=folder,
        n_daemons=arguments.daemons,
        n_servers=arguments.servers,
        build=extract_build(arguments.build) if arguments.build else ROOT,
        unframed=arguments.unframed,
    )
    faults = arguments.faults.split(",") if arguments.faults else list(FAULTS)
    try:
        await rig.start()
        await asyncio.sleep(SETTLE_S)
        await rig.run(arguments.seconds, faults, arguments.callers)
    finally:
        await rig.stop()
    print(f"logs={folder}")
    return rig


def main() -> int:
    """Runs the rig; returns 1 if a stream broke a rule."""
    parser = argparse.ArgumentParser(prog="soak.streams")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--unframed", type=float, default=0.3)
    parser.add_argument("--faults", default="", help="kinds, separated by commas")
    parser.add_argument("--build", default="", help="commit of the daemons' code")
    parser.add_argument("--logs", default="")
    arguments = parser.parse_args()
    rig = asyncio.run(run_rig(arguments))
    broken = [stream for stream in rig.streams if stream.faults]
    kinds = Counter(
        f"{s.plan.framing}: {s.faults[0].split(' [')[0].rstrip('0123456789')}"
        for s in broken
    )
    n_taken_up = sum(s.n_taken_up for s in rig.streams)
    n_gone_on = sum(s.n_gone_on for s in rig.streams)
    print(f"streams={len(rig.streams)} taken_up={n_taken_up} gone_on={n_gone_on}")
    print(f"broken={len(broken)} {dict(kinds)}")
    print(dict(sorted(rig.counts.items())))
    for stream in broken[:10]:
        plan = stream.plan.render()
        print(f"  {stream.attempt} {plan} {stream.statuses} {stream.faults[:3]}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
