"""Regular questions to random daemons, for state that lost datagrams left out."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from .clock import read_boottime
from .members import Members
from .model import Endpoint

INTERVAL_S: Final = 1.0
# A daemon that has just started asks more often.
STARTUP_INTERVAL_S: Final = 0.25
STARTUP_S: Final = 3.0
# A standby daemon asks less often; what is new reaches it within this time.
STANDBY_INTERVAL_S: Final = 3.0
FIRST_CHECK_S: Final = 0.02  # until it knows another daemon


async def ask_regularly(
    members: Members, ask: Callable[[Endpoint], None], on_round: Callable[[], None]
) -> None:
    """Asks one daemon after the other until it is cancelled.

    Args:
        members: the other daemons.
        ask: sends the question to an address.
        on_round: called in each round, also without other daemons.
    """
    began_at = read_boottime()
    while True:
        alive = members.list_alive()
        if alive:
            ask(random.choice(alive).address)
        on_round()
        is_new = read_boottime() - began_at < STARTUP_S
        interval_s = INTERVAL_S if members.active else STANDBY_INTERVAL_S
        pause_s = STARTUP_INTERVAL_S if is_new else interval_s
        if is_new and not alive:
            pause_s = FIRST_CHECK_S
        await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
