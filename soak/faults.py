"""What breaks, drawn from a seed: signals, links, stand-ins and planned work.

Rough times and calm ones take turns. In rough times anything may overlap; in calm ones
only planned work is done, which must not cost an answer.
"""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Final

from berylpost.fakes.replica import FAULTS

from .proxy import Mode, Proxy
from .world import DRAIN_S, Daemon, World

ROUGH_S: Final = (5.0, 11.0)
CALM_S: Final = (7.0, 10.0)  # three seconds of which nothing is judged strictly
ROUGH_PAUSE_S: Final = (0.1, 1.2)
CALM_PAUSE_S: Final = (0.4, 1.6)
START_S: Final = 3.0  # of a daemon, until it serves
MIN_BACKENDS: Final = 2
LINK_MODES: Final = (Mode.DELAY, Mode.SILENT, Mode.CUT_UP, Mode.CUT_DOWN)

Action = Callable[[], Awaitable[None]]


class Faults:
    """One run's schedule.

    Args:
        world: to disturb.
        random_state: draws what, when and for how long.
    """

    def __init__(self, *, world: World, random_state: random.Random) -> None:
        self._world = world
        self._random = random_state
        self._tasks: set[asyncio.Task[None]] = set()
        self.rough: dict[str, Action] = {
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
            "store_fault": self._disturb_store,
        }
        self.planned: dict[str, Action] = {
            "stop": self._stop,
            "stop_in_turn": self._stop_in_turn,
            "hup": self._hup,
            "configuration": self._change_configuration,
            "revoke": self._revoke,
            "drain": self._drain,
        }

    async def run(self, seconds: float) -> None:
        """Breaks things until the time is over, then waits until all is mended."""
        ends_at = time.monotonic() + seconds
        everything = {**self.rough, **self.planned}
        while time.monotonic() < ends_at:
            await self._play(everything, ROUGH_S, ROUGH_PAUSE_S, ends_at)
            await self._finish()
            await self._play(self.planned, CALM_S, CALM_PAUSE_S, ends_at)
        await self._finish()

    async def _play(
        self,
        actions: dict[str, Action],
        length_s: tuple[float, float],
        pause_s: tuple[float, float],
        ends_at: float,
    ) -> None:
        until = min(ends_at, time.monotonic() + self._random.uniform(*length_s))
        while time.monotonic() < until:
            name = self._random.choice(sorted(actions))
            task = asyncio.ensure_future(actions[name]())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*pause_s))

    async def _finish(self) -> None:
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _pick_daemon(self) -> Daemon | None:
        up = [daemon for daemon in self._world.daemons if daemon.is_up]
        return self._random.choice(up) if len(up) > 1 else None

    # Daemons.

    async def _kill(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            await self._kill_one(daemon, self._random.uniform(0.2, 3.0))

    async def _kill_one(self, daemon: Daemon, down_s: float) -> None:
        self._world.note("kill", daemon.name, lasts_s=down_s + START_S)
        await self._world.end_daemon(daemon, signal.SIGKILL)
        await asyncio.sleep(down_s)
        await self._world.start_daemon(daemon)

    async def _kill_all(self) -> None:
        if self._random.random() < 0.7:
            return  # rarer than the rest
        up = [daemon for daemon in self._world.daemons if daemon.is_up]
        down_s = self._random.uniform(0.2, 2.0)
        await asyncio.gather(*(self._kill_one(daemon, down_s) for daemon in up))

    async def _pause(self) -> None:
        daemon = self._pick_daemon()
        if daemon is None or daemon.process is None:
            return
        seconds = self._random.uniform(0.3, 7.0)
        self._world.note("pause", daemon.name, lasts_s=seconds)
        process = daemon.process
        daemon.paused = True
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        daemon.paused = False

    async def _stop(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None:
            await self._stop_one(daemon)

    async def _stop_one(self, daemon: Daemon) -> None:
        self._world.note("stop", daemon.name, planned=True)
        await self._world.end_daemon(daemon, signal.SIGTERM)
        await asyncio.sleep(self._random.uniform(0.1, 0.8))
        await self._world.start_daemon(daemon)

    async def _stop_in_turn(self) -> None:
        for daemon in list(self._world.daemons):
            if daemon.is_up and self._random.random() < 0.6:
                self._tasks.add(task := asyncio.ensure_future(self._stop_one(daemon)))
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(self._random.uniform(0.5, 1.5))

    async def _hup(self) -> None:
        daemon = self._pick_daemon()
        if daemon is not None and daemon.process is not None:
            self._world.note("hup", daemon.name, planned=True)
            daemon.process.send_signal(signal.SIGHUP)

    # Links.

    async def _disturb_link(self, kind: str) -> None:
        daemon = self._random.choice(self._world.daemons)
        proxies = {
            "store_link": daemon.store,
            "cloud_link": daemon.cloud,
            "front_link": daemon.front,
        }
        await self._disturb(kind, daemon.name, proxies[kind])

    async def _disturb_backend_link(self) -> None:
        backends = self._world.list_usable()
        if backends:
            backend = self._random.choice(backends)
            await self._disturb("backend_link", "all", backend.link)

    async def _disturb(self, kind: str, who: str, proxy: Proxy) -> None:
        if self._random.random() < 0.25:
            self._world.note(kind, who)
            proxy.reset()
            return
        seconds = self._random.uniform(0.5, 6.0)
        self._world.note(kind, who, lasts_s=seconds)
        delay_s = self._random.uniform(0.02, 0.8)
        proxy.set_mode(self._random.choice(LINK_MODES), delay_s)
        await asyncio.sleep(seconds)
        if self._random.random() < 0.5:
            proxy.reset()
        proxy.set_mode(Mode.PASS)

    # Backend servers.

    async def _set_backend_fault(self) -> None:
        backends = self._world.list_usable()
        if not backends:
            return
        backend = self._random.choice(backends)
        seconds = self._random.uniform(0.3, 3.0)
        self._world.note("backend_fault", "all", lasts_s=seconds)
        self._world.set_fault(backend, self._random.choice(sorted(FAULTS)))
        await asyncio.sleep(seconds)
        self._world.set_fault(backend, "none")

    async def _kill_backend(self) -> None:
        backends = self._world.list_usable()
        if len(backends) <= MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        self._world.note("backend_kill", "all", lasts_s=6.0)
        await self._world.end_backend(backend)
        await self._world.start_backend()

    async def _pause_backend(self) -> None:
        backends = self._world.list_usable()
        if not backends:
            return
        backend = self._random.choice(backends)
        seconds = self._random.uniform(0.3, 3.0)
        self._world.note("backend_pause", "all", lasts_s=seconds)
        backend.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if backend.process.returncode is None:
            backend.process.send_signal(signal.SIGCONT)

    async def _drain(self) -> None:
        """Replaces a backend server as planned: the new one first."""
        backends = self._world.list_usable()
        if len(backends) < MIN_BACKENDS:
            return
        backend = self._random.choice(backends)
        self._world.note("drain", backend.id, planned=True)
        backend.leaves_at = time.monotonic() + 60.0  # taken, but not said yet
        await self._world.start_backend()
        await self._world.put_backend(backend, "draining")
        backend.leaves_at = time.monotonic()
        # It serves on for a little longer than it must, as the platform says.
        await asyncio.sleep(DRAIN_S + 6.0)
        backend.ended = True
        backend.process.kill()
        await self._world.store.remove("servers", backend.id)

    # The store and the operator.

    async def _disturb_store(self) -> None:
        faults = self._world.store.server.faults
        seconds = self._random.uniform(0.5, 6.0)
        self._world.note("store_fault", "all", lasts_s=seconds)
        which = self._random.choice(("down", "delay_s", "lose_answers", "history"))
        if which == "history":
            self._world.store.compact_history()
            return
        values = {"down": True, "delay_s": 0.3, "lose_answers": 6}
        setattr(faults, which, values[which])
        await asyncio.sleep(seconds)
        setattr(faults, which, type(faults)().__getattribute__(which))

    async def _change_configuration(self) -> None:
        for _ in range(self._random.choice((1, 1, 5))):
            self._world.note("configuration", "all", planned=True)
            await self._world.put_configuration()
            await asyncio.sleep(self._random.uniform(0.05, 0.4))

    async def _revoke(self) -> None:
        self._world.note("revoke", "all", planned=True)
        await self._world.revoke_key()
