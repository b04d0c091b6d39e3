"""The command line of the soak: `python -m soak --seed 7 --seconds 40`."""

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from .callers import KINDS, Asked, Caller
from .faults import Faults
from .judge import HolderJudge, Judge
from .world import World

N_CALLERS: Final = 10
N_DAEMONS: Final = 5
N_BACKENDS: Final = 3
PROBE_SHARE: Final = 0.15  # of requests that show which configuration is in force
CALLER_PAUSE_S: Final = 0.06
RECOVER_S: Final = 12.0  # after the last fault
RECOVERED_S: Final = 3.0  # for how long it is then judged
RECOVERED_SHARE: Final = 0.95
MAX_DAEMON_MB: Final = 64  # for control, at the size that decides the design
MIN_SENT: Final = 100  # fewer requests show nothing
TRACES: Final = (b"Traceback", b"event=handler_error", b"event=gossip_error")


async def run_soak(
    seed: int, seconds: float, folder: Path, n_daemons: int
) -> tuple[Judge, Counter[str]]:
    """Runs one seed and judges it.

    Args:
        seed: of callers and faults; timing still differs between runs.
        seconds: of faults, before recovery is judged.
        folder: for settings and logs.
        n_daemons: entry daemons.
    """
    stream = random.Random(seed)
    network = f"127.{30 + seed % 200}"
    judge: Judge

    world = World(
        network=network,
        folder=folder,
        on_run=lambda attempt, customer, backend: judge.take_run(
            attempt, customer, backend
        ),
    )
    judge = Judge(world=world)
    world.cloud.checker = HolderJudge(world=world)
    ending = asyncio.Event()

    async def call(number: int) -> None:
        drawn = random.Random(f"{seed}/{number}")
        caller = Caller(world=world, random_state=drawn)
        while not ending.is_set():
            kind = drawn.choice(KINDS)
            key = ""
            if drawn.random() < PROBE_SHARE:
                kind = f"v{world.version - drawn.choice((0, 0, 1))}"
            elif world.revoked and drawn.random() < PROBE_SHARE:
                key = drawn.choice(sorted(world.revoked))
            asked = await caller.ask(kind, key)
            if asked is not None:
                judge.take_answer(asked)
            await asyncio.sleep(CALLER_PAUSE_S * drawn.random())
        caller.close()

    try:
        await world.start(n_daemons=n_daemons, n_backends=N_BACKENDS)
        callers = [asyncio.create_task(call(n)) for n in range(N_CALLERS)]
        faults = Faults(world=world, random_state=stream)
        await faults.run(seconds)
        await asyncio.sleep(RECOVER_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(RECOVERED_S)
        ending.set()
        await asyncio.gather(*callers)
        await asyncio.sleep(0.5)  # lines of the last runs
        _judge_memory(judge)
    finally:
        await world.stop()
    judge.judge_all()
    _judge_recovery(judge, recovered_at)
    _judge_logs(judge, folder)
    return judge, Counter(span.kind for span in world.spans)


def _judge_recovery(judge: Judge, since: float) -> None:
    late: list[Asked] = [
        a
        for a in judge.asked
        if a.sent_at >= since
        and a.kind in KINDS
        and not a.gave_up
        and a.key not in judge.world.revoked
    ]
    n_served = sum(1 for a in late if a.complete and a.status == 200)
    if n_served < RECOVERED_SHARE * len(late) or not late:
        judge.broken.append(f"recovery: {n_served} of {len(late)} served")
    if len(judge.asked) < MIN_SENT:
        judge.broken.append(f"load: only {len(judge.asked)} requests were sent")


def _judge_memory(judge: Judge) -> None:
    for daemon in judge.world.daemons:
        peak_mb = judge.world.read_peak_mb(daemon)
        if peak_mb > MAX_DAEMON_MB:
            judge.broken.append(f"memory: {daemon.name} took {peak_mb:.0f} MB")


def _judge_logs(judge: Judge, folder: Path) -> None:
    for log in sorted(folder.glob("*.log")):
        data = log.read_bytes()
        judge.broken += [
            f"log: {log.name} has {mark.decode()}" for mark in TRACES if mark in data
        ]


class SoakCommand(Command):
    """Runs seeds one after the other; exits 1 when a promise was broken."""

    name = "soak"
    description = "Runs the daemons as processes and breaks things around them."
    options = [  # noqa: RUF012 - cleo's way to declare options
        option("seed", None, "First seed; drawn when left out.", flag=False),
        option("runs", None, "Seeds to run.", flag=False, default="1"),
        option("seconds", None, "Seconds of faults in each.", flag=False, default="40"),
        option("daemons", None, "Entry daemons.", flag=False, default=str(N_DAEMONS)),
        option("logs", None, "Folder for settings and logs.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the seeds."""
        first = self.option("seed")
        seed = int(first) if first else random.SystemRandom().randrange(1_000_000)
        logs = self.option("logs")
        n_failed = 0
        for number in range(seed, seed + int(self.option("runs"))):
            folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            judge, spans = asyncio.run(
                run_soak(
                    number,
                    float(self.option("seconds")),
                    folder,
                    int(self.option("daemons")),
                )
            )
            self.line(f"seed={number} broken={len(judge.broken)} logs={folder}")
            self.line(f"  faults {_render(spans)}")
            self.line(f"  answers {_render(judge.counts)}")
            for line in judge.broken[:20]:
                self.line(f"  BROKEN {line}")
            n_failed += bool(judge.broken)
        return 1 if n_failed else 0


def _render(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))


def main() -> int:
    """Runs the command line."""
    application = Application("soak")
    application.add(SoakCommand())
    application.auto_exits(False)
    return application.run(ArgvInput([sys.argv[0], "soak", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
