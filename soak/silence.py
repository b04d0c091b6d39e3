"""Streams of daemons that fall silent: `python -m soak.silence --daemons 9`.

Callers begin streams at a steady rate at daemons that are then frozen, killed or cut
off from the store, before, while or after another software version is listed. They take
their streams up at the other daemons. Printed is the share that goes on beside the
share of new streams that begin, and how old the streams were that were refused.
"""

import argparse
import asyncio
import itertools
import signal
import sys
import tempfile
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from berylpost.policy.stream_version import rank_keepers

from .builds import extract_build
from .proxy import Mode
from .stream_server import StreamPlan
from .streams import Answer, Stream, StreamRig, try_stream
from .world import ROOT, Daemon

STREAMS_PER_S: Final = 52.0  # of one daemon at the size that the design is for
BEGIN_S: Final = 4.0  # for which streams begin before the silence
SILENT_S: Final = 6.0
DEADLINE_S: Final = 16.0
N_NEW: Final = 40
N_HEIRS: Final = 2
MAX_BATCH_AGE_S: Final = 0.3  # of a stream that its daemon had not reported
PLAN: Final = {"n_events": 110, "framing": "chunked", "packing": "whole", "size": 10}
TROUBLES: Final = ("freeze", "kill", "store")
GROUPS: Final = ("one", "one and heirs", "all but one", "heirs restarted")
# Seconds from the silence until a version is listed.
LISTINGS: Final[dict[str, tuple[tuple[float, str], ...]]] = {
    "before": ((-1.0, "v2"),),
    "while": ((1.0, "v2"),),
    "after": ((4.0, "v2"),),
    "third": ((-1.0, "v2"), (1.0, "v3")),
}


@dataclass(slots=True, kw_only=True)
class Lost:
    """A stream whose daemon fell silent; times are of the monotonic clock."""

    stream: Stream
    daemon: Daemon
    began_at: float = 0.0
    goes_on: bool = False
    statuses: list[int] = field(default_factory=list)


class SilenceRig:
    """One case on the processes of a `StreamRig`.

    Args:
        rig: the processes.
        group: which daemons fall silent, see `GROUPS`.
    """

    def __init__(self, *, rig: StreamRig, group: str) -> None:
        self._rig = rig
        self._group = group
        daemons = rig.world.daemons
        first, *others = daemons
        names = {daemon.name: daemon for daemon in others}
        heirs = [names[n] for n in rank_keepers(first.name, names)[:N_HEIRS]]
        self._heirs = heirs
        self.silent = {
            "one": [first],
            "one and heirs": [first, *heirs],
            "all but one": daemons[:-1],
            "heirs restarted": [first],
        }[group]
        self._others = [d for d in daemons if d not in self.silent]
        self._takers: Iterator[Daemon] = itertools.cycle(self._others)
        self.lost: list[Lost] = []
        self.new: list[Lost] = []

    async def run(self, trouble: str, listings: tuple[tuple[float, str], ...]) -> float:
        """Plays the case; returns when the silence began, monotonic seconds."""
        tasks = []
        silent_at = time.monotonic() + BEGIN_S
        tasks += [
            asyncio.create_task(self._list(silent_at + delay_s, version))
            for delay_s, version in listings
        ]
        sources = itertools.cycle(self.silent)
        pause_s = 1 / STREAMS_PER_S
        while time.monotonic() < silent_at:
            item = self._make(next(sources))
            self.lost.append(item)
            tasks.append(asyncio.create_task(self._follow(item)))
            await asyncio.sleep(pause_s)
        silent_at = time.monotonic()
        await self._begin(trouble)
        if self._group == "heirs restarted":
            await self._restart_heirs()
        await asyncio.sleep(max(0.0, silent_at + 2.0 - time.monotonic()))
        for _ in range(N_NEW):
            item = self._make(next(self._takers))
            self.new.append(item)
            tasks.append(asyncio.create_task(self._follow(item)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(0.0, silent_at + SILENT_S - time.monotonic()))
        await self._end(trouble)
        await asyncio.gather(*tasks)
        return silent_at

    def _make(self, daemon: Daemon) -> Lost:
        name = uuid.uuid4().hex
        plan = StreamPlan(name=name, pause_ms=80, skips=False, **PLAN)  # type: ignore[arg-type]
        return Lost(stream=Stream(plan=plan, attempt=uuid.uuid4().hex), daemon=daemon)

    async def _follow(self, item: Lost) -> None:
        """Follows a stream; takes it up once at a daemon that is not silent."""
        stream = item.stream

        def note_begin() -> None:
            item.began_at = item.began_at or time.monotonic()

        answer = Answer(stream, 0, note_begin)
        await try_stream(answer, item.daemon, "stream", stream.attempt, "", DEADLINE_S)
        item.statuses.append(answer.status)
        if stream.complete or not stream.ids:
            return
        for _ in range(2):
            answer = Answer(stream, stream.ids[-1])
            taker = next(self._takers)
            attempt = uuid.uuid4().hex
            stream.n_taken_up += 1
            await try_stream(
                answer, taker, "stream", attempt, stream.attempt, DEADLINE_S
            )
            item.statuses.append(answer.status)
            item.goes_on = answer.n_events > 0
            if answer.status == 200:
                return
            await asyncio.sleep(answer.retry_after_s)

    async def _list(self, at: float, version: str) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        await self._rig.start_server(version)

    async def _begin(self, trouble: str) -> None:
        for daemon in self.silent:
            assert daemon.process is not None
            if trouble == "freeze":
                daemon.process.send_signal(signal.SIGSTOP)
            elif trouble == "kill":
                daemon.process.kill()
            else:
                daemon.store.set_mode(Mode.SILENT)

    async def _end(self, trouble: str) -> None:
        for daemon in self.silent:
            assert daemon.process is not None
            if trouble == "freeze":
                daemon.process.send_signal(signal.SIGCONT)
            elif trouble == "store":
                daemon.store.set_mode(Mode.PASS)

    async def _restart_heirs(self) -> None:
        for daemon in self._heirs:
            assert daemon.process is not None
            daemon.process.kill()
            await daemon.process.wait()
            await self._rig.start_daemon(daemon)


async def play(arguments: argparse.Namespace, number: int, case: list[str]) -> bool:
    """Plays one case and prints it; returns whether a rule was broken."""
    trouble, group, listing = case
    folder = Path(tempfile.mkdtemp(prefix="silence-"))
    rig = StreamRig(
        seed=arguments.seed + number,
        folder=folder,
        n_daemons=arguments.daemons,
        n_servers=6,
        build=extract_build(arguments.build) if arguments.build else ROOT,
        unframed=0.0,
    )
    try:
        await rig.start()
        await asyncio.sleep(3.5)
        played = SilenceRig(rig=rig, group=group)
        silent_at = await played.run(trouble, LISTINGS[listing])
    finally:
        await rig.stop()
    taken_up = [item for item in played.lost if item.stream.n_taken_up]
    refused = [item for item in taken_up if not item.goes_on]
    n_batch = sum(silent_at - i.began_at < MAX_BATCH_AGE_S for i in refused)
    n_begun = sum(bool(item.stream.ids) for item in played.new)
    n_lost_begun = sum(bool(item.stream.ids) for item in played.lost)
    share = 1 - len(refused) / max(1, len(taken_up))
    faults = [item for item in played.lost if item.stream.faults]
    lost = len(taken_up) >= 12 and share < n_begun / len(played.new) / 2
    print(
        f"{arguments.daemons} daemons, {trouble}, {group}, {listing}: begun "
        f"{n_lost_begun} of {len(played.lost)}, taken up "
        f"{len(taken_up)}, go on {len(taken_up) - len(refused)} ({share:.2f}); refused "
        f"{len(refused)}, of the last {MAX_BATCH_AGE_S} s {n_batch}; new begin "
        f"{n_begun} of {len(played.new)}; out of order {len(faults)}"
        f"{' LOST' if lost else ''} logs={folder}",
        flush=True,
    )
    return lost or bool(faults)


def main() -> int:
    """Plays the cases; returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="soak.silence")
    parser.add_argument("--seed", type=int, default=150)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--build", default="", help="commit of the daemons' code")
    parser.add_argument("--case", default="", help="trouble,group,listing")
    arguments = parser.parse_args()
    cases = [c.split(",") for c in arguments.case.split(";") if c] or [
        list(case) for case in itertools.product(TROUBLES, GROUPS, LISTINGS)
    ]
    broken = [
        asyncio.run(play(arguments, number, case)) for number, case in enumerate(cases)
    ]
    return 1 if any(broken) else 0


if __name__ == "__main__":
    sys.exit(main())
