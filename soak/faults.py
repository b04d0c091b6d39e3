"""Random schedule of faults (signals, links, fakes) and planned work.

Fault phases and quiet phases alternate. In a fault phase any actions may overlap; in a
quiet phase only planned work is done, which must not lose an answer.
"""

import asyncio
import functools
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Final

from berylpost.fakes.links import LinkFault
from berylpost.fakes.replica import FAULTS

from .lapse_check import CHECK_S, SERVED_AGAIN_S
from .periods import CutPeriod
from .proxy import Mode, Proxy
from .store_faults import STORE_FAULTS, lapse_entries
from .world import DRAIN_S, Daemon, World

FAULT_PHASE_S: Final = (5.0, 11.0)
# The strict checks do not apply in its first three seconds (`STEADY_S` of `judge`).
QUIET_PHASE_S: Final = (7.0, 10.0)
# Longer than the time after which a part that crashes servers must be held back.
CRASH_PHASE_S: Final = (10.0, 12.0)
# Longer than the time after which cut daemons must serve again.
CUT_PHASE_S: Final = (7.0, 9.0)
BRITTLE_NOTICE_S: Final = 3.0
BRITTLE_S: Final = (2.0, 5.0)
FAULT_INTERVAL_S: Final = (0.1, 1.2)
QUIET_INTERVAL_S: Final = (0.4, 1.6)
SECOND_SIGNAL_S: Final = (0.0, 5.0)  # from a SIGTERM to the next one
DAEMON_START_S: Final = 3.0  # from the start of a daemon until it serves
MIN_BACKENDS: Final = 2
LIMIT_RATES: Final = (0.5, 1.0, 4.0)  # requests a second; each server gets 20 or more
LIMIT_S: Final = (8.0, 12.0)  # longer than it takes until the rate must be kept
LINK_MODES: Final = (Mode.DELAY, Mode.SILENT, Mode.CUT_UP, Mode.CUT_DOWN)

Action = Callable[[], Awaitable[None]]


class FaultSchedule:
    """Fault schedule of one run.

    Args:
        world: World in which faults are injected.
        random_state: Random source for kind, time and duration of the actions.
    """

    def __init__(self, *, world: World, random_state: random.Random) -> None:
        self._world = world
        self._random = random_state
        self._tasks: set[asyncio.Task[None]] = set()
        self.fault_actions: dict[str, Action] = {
            "kill": self._kill,
            "kill_all": self._kill_all,
            "pause": self._pause,
            "store_link": lambda: self._disturb_link("store_link"),
            "cloud_link": lambda: self._disturb_link("cloud_link"),
            "front_link": lambda: self._disturb_link("front_link"),
            "backend_link": self._disturb_backend_link,
            "backend_fault": self._set_backend_fault,
            "backend_kill": self._kill_backend,
            "backend_pause": self._pause_backend,
            "backend_limit": self._limit_backend,
            "backend_cut": self._cut_daemons,
            "backend_brittle": self._make_brittle,
        }
        for name, disturb in STORE_FAULTS.items():
            action = functools.partial(disturb, world, random_state)
            self.fault_actions[name] = action
        self.planned_actions: dict[str, Action] = {
            "stop": self._restart,
            "stop_twice": self._restart_by_two_signals,
            "stop_after_hup": self._restart_after_sighup,
            "stop_in_turn": self._restart_in_turn,
            "hup": self._send_sighup,
            "configuration": self._update_configuration,
            "revoke": self._revoke_key,
            "drain": self._drain_backend,
            "drain_by_answers": self._drain_by_answers,
        }

    async def run(self, seconds: float) -> None:
        """Runs phases for `seconds`, then waits until all actions have ended."""
        ends_at = time.monotonic() + seconds
        all_actions = {**self.fault_actions, **self.planned_actions}
        while time.monotonic() < ends_at:
            await self._run_phase(all_actions, FAULT_PHASE_S, FAULT_INTERVAL_S, ends_at)
            await self._wait_for_actions()
            await self._run_crash_phase()
            await self._run_cut_phase()
            await self._run_lapse_phase()
            await self._run_phase(
                self.planned_actions, QUIET_PHASE_S, QUIET_INTERVAL_S, ends_at
            )
        await self._wait_for_actions()

    async def _run_crash_phase(self) -> None:
        """Lets a prompt part, or one request, crash servers, beside planned work."""
        self._world.begin_bad_part(is_request=self._random.random() < 0.5)
        await self._run_phase(
            self.planned_actions, CRASH_PHASE_S, QUIET_INTERVAL_S, float("inf")
        )
        self._world.end_bad_part()
        await self._wait_for_actions()

    async def _run_cut_phase(self) -> None:
        """Cuts daemons off from all backend servers, beside planned work."""
        period = self._begin_cut(CUT_PHASE_S[1])
        await self._run_phase(
            self.planned_actions, CUT_PHASE_S, QUIET_INTERVAL_S, float("inf")
        )
        if period is not None:
            self._world.end_cut(period)
        await self._wait_for_actions()

    async def _run_lapse_phase(self) -> None:
        """Lets all entries of servers expire in an outage, beside nothing else."""
        await asyncio.sleep(DAEMON_START_S)  # the last one may just have started
        await lapse_entries(self._world, self._random)
        returned_at = self._world.lapse_periods[-1].returned_at
        checked_until = returned_at + SERVED_AGAIN_S + CHECK_S
        await asyncio.sleep(max(0.0, checked_until - time.monotonic()))

    def _begin_cut(self, lasts_s: float) -> CutPeriod | None:
        """Cuts some daemons off, not all; None if others are cut off now."""
        daemons = self._world.daemons
        if any(daemon.cut for daemon in daemons):
            return None
        chosen = self._random.sample(daemons, self._random.randrange(1, len(daemons)))
        for daemon in chosen:
            self._world.record_disturbance("backend_cut", daemon.name, lasts_s=lasts_s)
        return self._world.begin_cut(chosen, self._random.choice(list(LinkFault)))

    async def _cut_daemons(self) -> None:
        seconds = self._random.uniform(0.5, 6.0)
        period = self._begin_cut(seconds)
        if period is not None:
            await asyncio.sleep(seconds)
            self._world.end_cut(period)

    async def _run_phase(
        self,
        actions: dict[str, Action],
        duration_s: tuple[float, float],
        pause_s: tuple[float, float],
        ends_at: float,
    ) -> None:
        until = min(ends_at, time.monotonic() + self._random.uniform(*duration_s))
        while time.monotonic() < until:
            name = self._random.choice(sorted(actions))
            task = asyncio.ensure_future(actions[name]())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*pause_s))

    async def _wait_for_actions(self) -> None:
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _pick_daemon(self) -> Daemon | None:
        up = [daemon for daemon in self._world.daemons if daemon.is_up]
        return self._random.choice(up) if len(up) > 1 else None

    # Daemons.

    async def _kill(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            await self._kill_and_restart(daemon, self._random.uniform(0.2, 3.0))

    async def _kill_and_restart(self, daemon: Daemon, down_s: float) -> None:
        self._world.record_disturbance(
            "kill", daemon.name, lasts_s=down_s + DAEMON_START_S
        )
        await self._world.stop_daemon(daemon, signal.SIGKILL)
        await asyncio.sleep(down_s)
        await self._world.start_daemon(daemon)

    async def _kill_all(self) -> None:
        if self._random.random() < 0.7:
            return  # less frequent than the other actions
        up = [daemon for daemon in self._world.daemons if daemon.is_up]
        down_s = self._random.uniform(0.2, 2.0)
        await asyncio.gather(*(self._kill_and_restart(daemon, down_s) for daemon in up))

    async def _pause(self) -> None:
        daemon = self._pick_daemon()
        if daemon is None or daemon.process is None:
            return
        seconds = self._random.uniform(0.3, 7.0)
        self._world.record_disturbance("pause", daemon.name, lasts_s=seconds)
        process = daemon.process
        daemon.paused = True
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        daemon.paused = False

    async def _restart(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            await self._restart_daemon(daemon)

    async def _restart_daemon(self, daemon: Daemon) -> None:
        self._world.record_disturbance("stop", daemon.name, planned=True)
        await self._world.stop_daemon(daemon, signal.SIGTERM)
        await asyncio.sleep(self._random.uniform(0.1, 0.8))
        await self._world.start_daemon(daemon)

    def _begin_restart(self, daemon: Daemon) -> asyncio.Task[None]:
        daemon.stopping = True  # before the task runs, so that no other one begins
        task = asyncio.ensure_future(self._restart_daemon(daemon))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _restart_by_two_signals(self) -> None:
        daemon = self._pick_daemon()
        if daemon is None or daemon.process is None:
            return
        process = daemon.process
        self._world.record_disturbance("stop_twice", daemon.name, planned=True)
        restart = self._begin_restart(daemon)
        await asyncio.sleep(self._random.uniform(*SECOND_SIGNAL_S))
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await restart

    async def _restart_after_sighup(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None and daemon.process is not None:
            self._world.record_disturbance("stop_after_hup", daemon.name, planned=True)
            daemon.process.send_signal(signal.SIGHUP)
            await self._restart_daemon(daemon)

    async def _restart_in_turn(self) -> None:
        for daemon in list(self._world.daemons):
            if daemon.is_up and self._random.random() < 0.6:
                self._begin_restart(daemon)
                await asyncio.sleep(self._random.uniform(0.5, 1.5))

    async def _send_sighup(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None and daemon.process is not None:
            self._world.record_disturbance("hup", daemon.name, planned=True)
            daemon.process.send_signal(signal.SIGHUP)

    # Links.

    async def _disturb_link(self, kind: str) -> None:
        daemon = self._random.choice(self._world.daemons)
        proxies = {
            "store_link": daemon.store,
            "cloud_link": daemon.cloud,
            "front_link": daemon.front,
        }
        await self._disturb_proxy(kind, daemon.name, proxies[kind])

    async def _disturb_backend_link(self) -> None:
        backends = self._world.list_active_backends()
        if backends:
            backend = self._random.choice(backends)
            await self._disturb_proxy("backend_link", "all", backend.link)

    async def _disturb_proxy(self, kind: str, target: str, proxy: Proxy) -> None:
        if self._random.random() < 0.25:
            self._world.record_disturbance(kind, target)
            proxy.reset()
            return
        seconds = self._random.uniform(0.5, 6.0)
        self._world.record_disturbance(kind, target, lasts_s=seconds)
        delay_s = self._random.uniform(0.02, 0.8)
        proxy.set_mode(self._random.choice(LINK_MODES), delay_s)
        await asyncio.sleep(seconds)
        if self._random.random() < 0.5:
            proxy.reset()
        proxy.set_mode(Mode.PASS)

    # Backend servers.

    async def _set_backend_fault(self) -> None:
        backends = self._world.list_active_backends()
        if not backends:
            return
        backend = self._random.choice(backends)
        seconds = self._random.uniform(0.3, 3.0)
        self._world.record_disturbance("backend_fault", "all", lasts_s=seconds)
        self._world.set_fault(backend, self._random.choice(sorted(FAULTS)))
        await asyncio.sleep(seconds)
        self._world.set_fault(backend, "none")

    async def _kill_backend(self) -> None:
        backends = self._world.list_active_backends()
        if len(backends) <= MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        self._world.record_disturbance("backend_kill", "all", lasts_s=6.0)
        await self._world.kill_backend(backend)
        await self._world.start_backend()

    async def _limit_backend(self) -> None:
        """Lets a backend server name a request rate for a time; disturbs nothing."""
        limited = {
            p.backend.id
            for p in self._world.limit_periods
            if p.ended_at == float("inf")
        }
        backends = [
            b for b in self._world.list_active_backends() if b.id not in limited
        ]
        if len(backends) < MIN_BACKENDS:
            return
        rate = self._random.choice(LIMIT_RATES)
        period = self._world.begin_limit(self._random.choice(backends), rate)
        await asyncio.sleep(self._random.uniform(*LIMIT_S))
        self._world.end_limit(period)

    async def _make_brittle(self) -> None:
        """Lets a backend server fall over some time after it says that it may."""
        backends = self._world.list_active_backends()
        if len(backends) < MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        if any(
            p.backend is backend and p.ended_at == float("inf")
            for p in self._world.brittle_periods
        ):
            return
        period = self._world.begin_brittle(backend, self._random.choice((0, 2, 5)))
        await asyncio.sleep(BRITTLE_NOTICE_S)
        self._world.let_fall(period)
        await asyncio.sleep(self._random.uniform(*BRITTLE_S))
        self._world.end_brittle(period)

    async def _pause_backend(self) -> None:
        backends = self._world.list_active_backends()
        if not backends:
            return
        backend = self._random.choice(backends)
        seconds = self._random.uniform(0.3, 3.0)
        self._world.record_disturbance("backend_pause", "all", lasts_s=seconds)
        backend.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if backend.process.returncode is None:
            backend.process.send_signal(signal.SIGCONT)

    async def _drain_backend(self) -> None:
        """Replaces a backend server as planned work, starting the new one first."""
        backends = self._world.list_active_backends()
        if len(backends) < MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        self._world.record_disturbance("drain", backend.id, planned=True)
        # Excludes it from other actions; draining is not announced yet.
        backend.draining_since = time.monotonic() + 60.0
        await self._world.start_backend()
        await self._world.put_backend(backend, "draining")
        backend.draining_since = time.monotonic()
        # It serves a little longer than it must, as the platform specifies.
        await asyncio.sleep(DRAIN_S + 6.0)
        if not backend.killed:
            backend.killed = True
            backend.process.kill()
        await self._world.store.remove("servers", backend.id)

    async def _drain_by_answers(self) -> None:
        """Replaces a backend server whose answers alone say that it leaves."""
        backends = self._world.list_active_backends()
        if len(backends) < MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        self._world.record_disturbance("drain", backend.id, planned=True)
        backend.entry_says_leaving = False
        backend.draining_since = time.monotonic() + 60.0
        await self._world.start_backend()
        self._world.name_leaving(backend)
        await asyncio.sleep(DRAIN_S + 6.0)
        if not backend.killed:
            backend.killed = True
            backend.process.kill()
        await self._world.store.remove("servers", backend.id)

    # Operator.

    async def _update_configuration(self) -> None:
        for _ in range(self._random.choice((1, 1, 5))):
            self._world.record_disturbance("configuration", "all", planned=True)
            await self._world.put_configuration()
            await asyncio.sleep(self._random.uniform(0.05, 0.4))

    async def _revoke_key(self) -> None:
        self._world.record_disturbance("revoke", "all", planned=True)
        await self._world.revoke_key()
