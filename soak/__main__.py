"""Command line of the soak test: `python -m soak --seed 7 --seconds 40`."""

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

from .accounts import list_faults
from .callers import REQUEST_KINDS, Caller, RequestRecord
from .faults import FaultSchedule
from .judge import DutyHolderChecker, GuaranteeChecker
from .refusals import list_unreachable
from .world import World

N_CALLERS: Final = 10
N_DAEMONS: Final = 5
N_BACKENDS: Final = 3
# Share of requests that probe which configuration is in force; also the share of the
# remaining ones that use a revoked key, once there is one.
PROBE_SHARE: Final = 0.15
CALLER_PAUSE_S: Final = 0.06
RECOVERY_WAIT_S: Final = 12.0  # from the last fault to the recovery check
RECOVERY_CHECK_S: Final = 3.0  # duration of the recovery check
MIN_SERVED_SHARE: Final = 0.95  # of the requests sent during the recovery check
# Memory limit of a daemon for control, at the size on which the design is based.
MAX_DAEMON_MB: Final = 64
MIN_REQUESTS: Final = 100  # with fewer requests a run proves nothing
ERROR_MARKS: Final = (b"Traceback", b"event=handler_error", b"event=gossip_error")


async def run_soak(
    seed: int, seconds: float, folder: Path, n_daemons: int
) -> tuple[GuaranteeChecker, Counter[str]]:
    """Runs the soak test with one seed and checks the guarantees.

    Args:
        seed: Random seed of callers and faults; timing still differs between runs.
        seconds: Duration of the fault schedule, before the recovery check.
        folder: Directory for settings and logs.
        n_daemons: Number of entry daemons.

    Returns:
        The checker with its violations, and the number of disturbances by kind.
    """
    fault_random = random.Random(seed)
    address_prefix = f"127.{30 + seed % 200}"
    checker: GuaranteeChecker

    world = World(
        address_prefix=address_prefix,
        folder=folder,
        on_run=lambda attempt, customer, backend: checker.record_run(
            attempt, customer, backend
        ),
    )
    checker = GuaranteeChecker(world=world)
    world.cloud.checker = DutyHolderChecker(world=world)
    stopping = asyncio.Event()

    async def call(number: int) -> None:
        caller_random = random.Random(f"{seed}/{number}")
        caller = Caller(world=world, random_state=caller_random)
        while not stopping.is_set():
            kind = caller_random.choice(REQUEST_KINDS)
            key = ""
            if caller_random.random() < PROBE_SHARE:
                kind = (
                    f"v{world.configuration_number - caller_random.choice((0, 0, 1))}"
                )
            elif world.revoked and caller_random.random() < PROBE_SHARE:
                key = caller_random.choice(sorted(world.revoked))
            record = await caller.send_request(kind, key)
            if record is not None:
                checker.record_answer(record)
            await asyncio.sleep(CALLER_PAUSE_S * caller_random.random())
        caller.close()

    try:
        await world.start(n_daemons=n_daemons, n_backends=N_BACKENDS)
        callers = [asyncio.create_task(call(n)) for n in range(N_CALLERS)]
        faults = FaultSchedule(world=world, random_state=fault_random)
        await faults.run(seconds)
        await asyncio.sleep(RECOVERY_WAIT_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(RECOVERY_CHECK_S)
        stopping.set()
        await asyncio.gather(*callers)
        await asyncio.sleep(0.5)  # until the lines about the last runs have arrived
        _check_memory(checker)
    finally:
        await world.stop()
    checker.check_all()
    _check_recovery(checker, recovered_at)
    _check_logs(checker, folder)
    checker.violations += [f"account: {line}" for line in list_faults(world)]
    checker.violations += [
        f"unreachable: {line}" for line in list_unreachable(world, checker.records)
    ]
    checker.counts["refused connections"] = sum(
        daemon.front.n_refused for daemon in world.daemons
    )
    checker.counts["callers without a daemon"] = len(world.refusals)
    checker.counts["stops checked"] = len(world.stops)
    return checker, Counter(disturbance.kind for disturbance in world.disturbances)


def _check_recovery(checker: GuaranteeChecker, since: float) -> None:
    requests: list[RequestRecord] = [
        a
        for a in checker.records
        if a.sent_at >= since
        and a.kind in REQUEST_KINDS
        and not a.abandoned
        and a.key not in checker.world.revoked
    ]
    n_served = sum(1 for a in requests if a.complete and a.status == 200)
    if n_served < MIN_SERVED_SHARE * len(requests) or not requests:
        checker.violations.append(f"recovery: {n_served} of {len(requests)} served")
    if len(checker.records) < MIN_REQUESTS:
        checker.violations.append(
            f"load: only {len(checker.records)} requests were sent"
        )


def _check_memory(checker: GuaranteeChecker) -> None:
    for daemon in checker.world.daemons:
        peak_mb = checker.world.read_peak_mb(daemon)
        if peak_mb > MAX_DAEMON_MB:
            checker.violations.append(f"memory: {daemon.name} took {peak_mb:.0f} MB")


def _check_logs(checker: GuaranteeChecker, folder: Path) -> None:
    for log in sorted(folder.glob("*.log")):
        data = log.read_bytes()
        checker.violations += [
            f"log: {log.name} has {mark.decode()}"
            for mark in ERROR_MARKS
            if mark in data
        ]


class SoakCommand(Command):
    """Runs seeds one after the other; exits with 1 if a guarantee was violated."""

    name = "soak"
    description = "Runs the daemons as processes and injects faults from outside."
    options = [  # noqa: RUF012 - cleo reads options from a class attribute
        option("seed", None, "First seed; random by default.", flag=False),
        option("runs", None, "Number of seeds to run.", flag=False, default="1"),
        option(
            "seconds",
            None,
            "Duration of the faults of each seed, in seconds.",
            flag=False,
            default="40",
        ),
        option(
            "daemons",
            None,
            "Number of entry daemons.",
            flag=False,
            default=str(N_DAEMONS),
        ),
        option("logs", None, "Directory for settings and logs.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the seeds and prints what each found."""
        first = self.option("seed")
        seed = int(first) if first else random.SystemRandom().randrange(1_000_000)
        logs = self.option("logs")
        n_failed = 0
        for number in range(seed, seed + int(self.option("runs"))):
            folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            checker, disturbances = asyncio.run(
                run_soak(
                    number,
                    float(self.option("seconds")),
                    folder,
                    int(self.option("daemons")),
                )
            )
            self.line(f"seed={number} broken={len(checker.violations)} logs={folder}")
            self.line(f"  faults {_render(disturbances)}")
            self.line(f"  answers {_render(checker.counts)}")
            for line in checker.violations[:20]:
                self.line(f"  BROKEN {line}")
            n_failed += bool(checker.violations)
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
