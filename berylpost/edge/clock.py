"""Clocks of the entry daemon.

Ages that a bound depends on use `read_boottime`, which counts the time a VM is
suspended; the event loop's monotonic clock does not.
"""

import time


def read_boottime() -> float:
    """Returns seconds of a clock that runs on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
