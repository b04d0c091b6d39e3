"""Which requests a daemon that is leaving still takes.

The load answered here: callers that keep an address for a while after it was taken
out of the directory. What cannot end before the daemon has to is refused at once as
not run, so that the caller goes elsewhere instead of losing a started answer.
"""

from typing import Final

STREAM_S: Final = 5.5  # nearly all streams of the sheets end within it when unhurried


def may_accept_while_leaving(
    *, is_stream: bool, timeout_s: float, left_s: float
) -> bool:
    """Tells whether a request is likely to end in time.

    Args:
        is_stream: whether its answer is a stream of events.
        timeout_s: longest time that the request may take.
        left_s: until this daemon ends.
    """
    return left_s > min(timeout_s, STREAM_S) if is_stream else left_s > timeout_s
