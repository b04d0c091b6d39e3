"""Compares the relay with a thread per stream, for open streams on one daemon.

The engines, the daemon, the baseline and the reader run in separate processes. Each
stream gets a chunk every 42 ms, as the users' requirements state.
"""

import dataclasses
import os
import time
from multiprocessing import get_context
from multiprocessing.context import SpawnProcess
from pathlib import Path
from typing import Any, Final

from ..fakes.engine import EngineShape
from .catalogue import Result
from .fleet import HOST, Daemon, Fleet, FleetSpec, find_free_ports
from .loader import StreamLoad, run_in_subprocess, run_stream_load
from .threaded import serve_threaded

TOKEN_S: Final = 0.042
N_TOKENS: Final = 211
SIZES: Final = (100, 250, 500)
RAMP_S: Final = 4.0
N_ENGINES: Final = 48
N_CUTS: Final = 10_000
CUT_BATCH: Final = 500
GAP_BOUND_MS: Final = 44.0
CORE_BOUND: Final = 0.5


def _read_cpu_s(pid: int) -> tuple[float, float]:
    """Reads the user and the system CPU time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return int(fields[11]) / ticks, int(fields[12]) / ticks


def _count_sockets(pid: int) -> int:
    links = Path(f"/proc/{pid}/fd").iterdir()
    return sum("socket" in os.readlink(link) for link in links)


def measure_load(address: str, pid: int, n_streams: int) -> dict[str, Any]:
    """Runs streams through one process and measures its CPU use."""
    load = StreamLoad(
        address=address,
        token="weighbridge-token",
        model="summary-7b",
        n_streams=n_streams,
        n_tokens=N_TOKENS,
        ramp_s=RAMP_S,
    )
    cpu_before, started = _read_cpu_s(pid), time.monotonic()
    figures = run_in_subprocess(run_stream_load, load)
    took_s = time.monotonic() - started
    used = [a - b for a, b in zip(_read_cpu_s(pid), cpu_before, strict=True)]
    core = sum(used) / took_s
    # A stream is open while it gets its tokens; the run also includes the ramp and the
    # start of the reader.
    mean_open = n_streams * N_TOKENS * TOKEN_S / took_s
    return {
        **dataclasses.asdict(figures),
        "core": core,
        # On loopback, the sender's system time includes the receiver's work.
        "system_share": used[1] / sum(used),
        "mean_open_streams": mean_open,
        "core_at_all_open": core * n_streams / mean_open,
    }


def _start_baseline(fleet: Fleet) -> tuple[SpawnProcess, str]:
    address = f"{HOST}:{find_free_ports(1)[0]}"
    engines = [b.address for b in fleet.world_spec.backends if b.role == "engine"]
    process = get_context("spawn").Process(
        target=serve_threaded, args=(address, engines, max(SIZES) + 8), daemon=True
    )
    process.start()
    time.sleep(3.0)
    return process, address


def measure_cuts(daemon: Daemon) -> dict[str, Any]:
    """Opens and closes many streams; counts the daemon's sockets before and after."""
    assert daemon.process is not None
    before = _count_sockets(daemon.process.pid)
    for _ in range(N_CUTS // CUT_BATCH):
        run_in_subprocess(open_and_cut, daemon.http, CUT_BATCH)
    time.sleep(8.0)
    after = _count_sockets(daemon.process.pid)
    return {"n_cut": N_CUTS, "sockets_before": before, "sockets_after": after}


def open_and_cut(address: str, n: int) -> None:
    """Opens streams and closes each without reading, in a separate process."""
    from .loader import _open_stream

    load = StreamLoad(
        address=address,
        token="weighbridge-token",
        model="summary-7b",
        n_streams=n,
        n_tokens=20,
        ramp_s=0.0,
    )
    for index in range(n):
        _open_stream(load, index).socket.close()


def run_relay(_seed: int, _minutes: float) -> Result:
    """Measures every number of streams in `SIZES`, the baseline and socket leaks."""
    shape = EngineShape(slots=64, token_s=TOKEN_S)
    overrides: dict[str, dict[str, Any]] = {
        "relay": {"max_streams": 2_000, "max_queue": 2_000, "orphan_grace_s": 2.0},
        "listen": {"threads": 16},
    }
    customers = ({"name": "weighbridge", "concurrency": 5_000, "rate": 5_000},)
    spec = FleetSpec(
        n_daemons=1,
        n_engines=N_ENGINES,
        n_services=1,
        engine_shape=shape,
        customers=customers,
        overrides=overrides,
        separate_world=True,
    )
    with Fleet(spec=spec) as fleet:
        daemon = fleet.daemons[0]
        assert daemon.process is not None
        idle_bytes = daemon.read_resident_bytes()
        by_streams: dict[int, Any] = {}
        for n in SIZES:
            by_streams[n] = measure_load(daemon.http, daemon.process.pid, n)
            by_streams[n]["resident_bytes"] = daemon.read_resident_bytes()
        process, address = _start_baseline(fleet)
        assert process.pid is not None
        try:
            baseline = measure_load(address, process.pid, max(SIZES))
        finally:
            process.terminate()
            process.join()
        cuts = measure_cuts(daemon)
    largest = by_streams[max(SIZES)]
    passed = (
        largest["gap_p95_ms"] <= GAP_BOUND_MS
        and largest["core_at_all_open"] <= CORE_BOUND
        and largest["n_broken"] == 0
        and cuts["sockets_after"] <= cuts["sockets_before"] + 10
    )
    figures = {
        "idle_resident_bytes": idle_bytes,
        "by_streams": by_streams,
        "thread_a_stream": {max(SIZES): baseline},
        "cuts": cuts,
    }
    return Result(figures=figures, passed=passed)
