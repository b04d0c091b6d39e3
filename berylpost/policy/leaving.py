"""Decides which requests a leaving daemon still accepts.

Callers keep using an address for a while after its removal from the directory. A
request that cannot finish before the daemon shuts down is refused immediately, without
being run, so that the caller uses another daemon instead of losing a started answer.
"""

from typing import Final

# Nearly all streams of the deployments' specification finish within this time when they
# are not rushed.
USUAL_STREAM_S: Final = 5.5


def may_accept_while_leaving(
    *, is_stream: bool, timeout_s: float, left_s: float
) -> bool:
    """Returns whether a request is likely to finish before the shutdown.

    Args:
        is_stream: whether its answer is a stream of events.
        timeout_s: maximum duration of the request, in seconds.
        left_s: seconds until this daemon shuts down.
    """
    return left_s > min(timeout_s, USUAL_STREAM_S) if is_stream else left_s > timeout_s
