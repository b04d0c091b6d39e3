"""Faults of the store: outages, restores, lost answers and entries of other writers."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from .periods import LapsePeriod
from .proxy import Mode
from .world import HEARTBEAT_S, Backend, World

# From a restore until entries of servers that have ended are gone again.
RESTORE_LASTS_S: Final = 3 * HEARTBEAT_S
# Entries expire after three heartbeats that could not be written.
EXPIRY_S: Final = 3 * HEARTBEAT_S
# Servers write their expired entries again within this time after the store's return.
REGISTER_S: Final = 2.0
# From the store's return until one daemon gets its answers: after all registrations,
# and below the 3.1 s after which a watch of backend servers is given up.
LATE_ANSWERS_S: Final = 2.5

# Kinds of stored objects, and text in one that the usual decoders reject.
ODD_KINDS: Final = (
    "servers",
    "berylpost-members",
    "berylpost-holds",
    "berylpost-streams",
)
ODD_FIELDS: Final = (
    b'"Extra": "\\ud83d"',
    b'"\\udc00": 1',
    b'"Extra": "\xff"',
    b'"Extra": "\x01"',
    b"Extra: 1",
    b'"Extra": 1e999',
)


async def store_odd_entry(world: World, random_state: random.Random) -> None:
    """Stores an entry of another writer, beside which all others still count."""
    kind = random_state.choice(ODD_KINDS)
    name = f"{random_state.choice('az')}-odd"
    spec = msgspec.Raw(b'{"Service": "app", %s}' % random_state.choice(ODD_FIELDS))
    await world.store.put(kind, name, spec)
    await asyncio.sleep(random_state.uniform(0.5, 6.0))
    await world.store.remove(kind, name)


async def restore_store(world: World, random_state: random.Random) -> None:
    """Brings the store back from a copy some seconds old."""
    stored = world.store.take_copy()
    await asyncio.sleep(random_state.uniform(0.2, 4.0))
    away_s = random_state.choice((0.0, random_state.uniform(0.1, 0.7)))
    world.record_disturbance("store_fault", "all", lasts_s=away_s + RESTORE_LASTS_S)
    faults = world.store.server.faults
    faults.down = faults.down or away_s > 0
    await asyncio.sleep(away_s)
    await world.restore_store(stored)
    if away_s:
        faults.down = False


async def disturb_store(world: World, random_state: random.Random) -> None:
    """Lets the store refuse or delay calls, lose answers or drop its history."""
    faults = world.store.server.faults
    seconds = random_state.uniform(0.5, 6.0)
    world.record_disturbance("store_fault", "all", lasts_s=seconds)
    fault = random_state.choice(("down", "delay_s", "lose_answers", "history"))
    if fault == "history":
        world.store.compact_history()
        return
    values = {"down": True, "delay_s": 0.3, "lose_answers": 6}
    setattr(faults, fault, values[fault])
    await asyncio.sleep(seconds)
    setattr(faults, fault, type(faults)().__getattribute__(fault))


def _set_refusing(world: World, *, is_away: bool) -> None:
    world.store.server.faults.down = is_away


def _set_silent(world: World, *, is_away: bool) -> None:
    for daemon in world.daemons:
        if not is_away:
            daemon.store.reset()
        daemon.store.set_mode(Mode.SILENT if is_away else Mode.PASS)


# How the store is away: it refuses every call, or answers none.
AWAY: Final[dict[str, Callable[..., None]]] = {
    "busy": _set_refusing,
    "silent": _set_silent,
}


async def lapse_entries(world: World, random_state: random.Random) -> None:
    """Takes the store away until the entries of all backend servers have expired.

    After its return, each server registers within `REGISTER_S`. The answers that one
    daemon gets from the store come late, so that removals of entries follow the
    registrations that it has learned from others.
    """
    set_away = AWAY[random_state.choice(sorted(AWAY))]
    away_s = EXPIRY_S + random_state.uniform(0.5, 3.0)
    world.record_disturbance("store_fault", "all", lasts_s=away_s + LATE_ANSWERS_S)
    disturbance = world.disturbances[-1]
    set_away(world, is_away=True)
    await asyncio.sleep(EXPIRY_S)
    for backend in list(world.backends):
        await world.store.remove("servers", backend.id)
    await asyncio.sleep(away_s - EXPIRY_S)
    drops_history = random_state.random() < 0.5
    if drops_history:
        world.store.compact_history()  # daemons list, rather than watch, on its return
    set_away(world, is_away=False)
    late_link = random_state.choice(world.daemons).store
    late_link.set_mode(Mode.CUT_DOWN)
    period = LapsePeriod(disturbance=disturbance, returned_at=time.monotonic())
    world.lapse_periods.append(period)

    async def register(backend: Backend) -> None:
        await asyncio.sleep(random_state.uniform(0.0, REGISTER_S))
        if not backend.killed:
            await world.put_backend(backend, backend.state)

    await asyncio.gather(*(register(b) for b in world.backends if not b.killed))
    since_return_s = time.monotonic() - period.returned_at
    await asyncio.sleep(max(0.0, LATE_ANSWERS_S - since_return_s))
    late_link.set_mode(Mode.PASS)


STORE_FAULTS: Final[dict[str, Callable[[World, random.Random], Awaitable[None]]]] = {
    "store_fault": disturb_store,
    "store_restore": restore_store,
    "store_lapse": lapse_entries,
    "odd_entry": store_odd_entry,
}
