"""Process of one entry daemon whose links to servers can be cut.

It reads orders from standard input, one a line: `FAULT PREFIX` cuts the links to IP
addresses that begin with the prefix, `heal PREFIX` heals them. Faults are named in
`berylpost.fakes.links`.
"""

import asyncio
import os
import signal
import sys
import threading

# By default, SIGHUP would end the process before the daemon handles it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from berylpost.edge.daemon import main  # noqa: E402
from berylpost.edge.loop_meter import LoopMeter  # noqa: E402
from berylpost.fakes.links import LinkedLoop, LinkFault  # noqa: E402


def make_loop(meter: LoopMeter) -> asyncio.AbstractEventLoop:
    """Makes an event loop that follows the orders on standard input."""
    loop = LinkedLoop(meter)
    threading.Thread(target=_read_orders, args=(loop,), daemon=True).start()
    return loop


def _read_orders(loop: LinkedLoop) -> None:
    # Not sys.stdin, whose lock this thread would hold when the interpreter ends.
    for line in open(0, closefd=False):
        order, prefix = line.strip().rsplit(" ", 1)
        if order == "heal":
            loop.call_soon_threadsafe(loop.heal, "", prefix)
        else:
            loop.call_soon_threadsafe(loop.cut, "", prefix, LinkFault(order))
    # The soak itself has ended.
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    sys.exit(main(make_loop))
