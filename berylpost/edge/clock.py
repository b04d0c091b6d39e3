"""The clock that the entry daemon uses for ages.

Where a bound depends on an age, the age is measured with `read_boottime`, which
includes the time for which the VM is suspended. The event loop's monotonic clock does
not.
"""

import time


def read_boottime() -> float:
    """Returns the boot-time clock, seconds; it advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
