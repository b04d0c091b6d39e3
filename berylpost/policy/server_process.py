"""Decides what connections to a server tell about its process.

Most results of a connect have two causes. A connection that is accepted and then reset
comes from a process that takes no more connections now, or from the kernel of one that
ends. A refused one has met no listening socket: the process has ended, or it shuts down
and serves only what it has accepted. Silence comes from a link that is cut, a VM that
has no power, or a full backlog. An orderly close ends a complete answer without a
length, and also every connection of a process that is killed. The entry and the reports
of a server are seconds old.

Two facts decide between them. The kernel closes the sockets of a process within
milliseconds after its end, the listening one last. So an older connection that stays
open and brings bytes shows that the process runs, and so does an address that still
accepts connections after that time.
"""

import errno
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# The connections of a busy process are all closed some 30 ms after the first one.
CLOSING_S: Final = 0.25
# Pauses before further probes. The first one is shorter than a process takes to start;
# the first two are longer than one takes to end.
RUN_PAUSES_S: Final = (0.02, 0.04, 0.19)
# An open connection that has brought nothing for longer may be broken unnoticed.
LIVE_S: Final = 0.5
# After this time the entry of a server that has started again names its new process.
RESTART_NOTICE_S: Final = 3.0
N_CRASH_PROBES: Final = 12  # entries of servers that ended silently are gone by then
N_CRASH_LISTENS: Final = 2  # probes by which a process has not crashed


class ProbeResult(StrEnum):
    """What became of a new connection to a server.

    Attributes:
        KEPT: it was accepted and not closed while the caller watched it.
        RESET: it was accepted and closed.
        REFUSED: no socket listens at the address.
        SILENT: no answer came in time, or this process could not ask.
    """

    KEPT = "kept"
    RESET = "reset"
    REFUSED = "refused"
    SILENT = "silent"


# Whether a process listens at the address.
LISTENS: Final[Mapping[ProbeResult, bool]] = {
    ProbeResult.KEPT: True,
    ProbeResult.RESET: True,
    ProbeResult.REFUSED: False,
    ProbeResult.SILENT: False,
}
# Errors that the server's kernel causes; the others are of this process or the network.
_RESULTS: Final[Mapping[int, ProbeResult]] = {
    errno.ECONNREFUSED: ProbeResult.REFUSED,
    errno.ECONNRESET: ProbeResult.RESET,
    errno.ECONNABORTED: ProbeResult.RESET,
    errno.EPIPE: ProbeResult.RESET,
}
# Pauses in the search for a crash, by the last result.
_CRASH_PAUSES_S: Final[Mapping[ProbeResult, float]] = {
    ProbeResult.KEPT: 0.3,
    ProbeResult.RESET: 0.3,
    ProbeResult.SILENT: 0.5,
}


def interpret_error(error: OSError) -> ProbeResult:
    """Returns the result of a connect that failed with an error."""
    return _RESULTS.get(error.errno or 0, ProbeResult.SILENT)


def combine_results(results: Collection[ProbeResult]) -> ProbeResult:
    """Combines the results of several paths to one server.

    A refusal counts only if all paths were refused, since a link that is cut may refuse
    connections in place of the server.
    """
    seen = set(results)
    if seen == {ProbeResult.REFUSED}:
        return ProbeResult.REFUSED
    return ProbeResult.RESET if ProbeResult.RESET in seen else ProbeResult.SILENT


def find_run_pause(results: Sequence[ProbeResult]) -> float | None:
    """Returns the pause before the next probe of whether a process runs on.

    Args:
        results: those of the probes so far, at least one.

    Returns:
        Seconds; None if `is_running` can tell.
    """
    n_pauses = len(results) - 1
    if results[-1] is not ProbeResult.RESET or n_pauses >= len(RUN_PAUSES_S):
        return None
    return RUN_PAUSES_S[n_pauses]


def is_running(results: Sequence[ProbeResult]) -> bool:
    """Tells whether a process runs on, after the probes of `find_run_pause`."""
    return LISTENS[results[-1]]


def find_crash_pause(results: Sequence[ProbeResult]) -> float | None:
    """Returns the pause before the next probe of whether a process has crashed.

    Other than for `find_run_pause`, an answer is not waited for, so that servers that
    are silent are asked until their entries are gone.

    Args:
        results: those of the probes so far, at least one.

    Returns:
        Seconds; None if `has_crashed` can tell.
    """
    n_listens = sum(LISTENS[result] for result in results)
    if n_listens >= N_CRASH_LISTENS or len(results) >= N_CRASH_PROBES:
        return None
    return _CRASH_PAUSES_S.get(results[-1])


def has_crashed(results: Sequence[ProbeResult]) -> bool:
    """Tells whether a process has crashed, after the probes of `find_crash_pause`."""
    return results[-1] is ProbeResult.REFUSED


@dataclass(frozen=True, slots=True, kw_only=True)
class RestartWindow:
    """A time in which a server may have started again without its entry saying so.

    Attributes:
        since: clock at which the server was first not reached, seconds.
        until: clock from which the entry describes the process that runs, seconds.
        takeover_until: clock until which another process may listen at the address
            while the one of the entry still runs, seconds.
    """

    since: float
    until: float
    takeover_until: float


NO_WINDOW: Final = RestartWindow(
    since=float("inf"), until=float("-inf"), takeover_until=float("-inf")
)


def extend_window(
    window: RestartWindow, results: Collection[ProbeResult], *, now: float
) -> RestartWindow:
    """Returns the window after a connect that failed.

    Args:
        window: the window before.
        results: those of all paths to the server that were tried.
        now: the present clock, seconds.
    """
    if ProbeResult.REFUSED not in results and ProbeResult.RESET not in results:
        return window
    until = now + RESTART_NOTICE_S
    has_refused = ProbeResult.REFUSED in results
    return RestartWindow(
        since=window.since if now < window.until else now,
        until=until,
        takeover_until=until if has_refused else window.takeover_until,
    )


def is_known(window: RestartWindow, *, opened_at: float, now: float) -> bool:
    """Tells whether the entry describes the process behind an open connection.

    Args:
        window: the time in which the server may have started again.
        opened_at: clock at which the connection was opened, seconds.
        now: the present clock, seconds.
    """
    is_old = opened_at < window.since or now - opened_at > RESTART_NOTICE_S
    return now >= window.until or is_old


def is_live(*, opened_at: float, received_at: float, before: float, now: float) -> bool:
    """Tells whether an open connection shows that a process still runs.

    Args:
        opened_at: clock at which it was opened, seconds.
        received_at: clock at which it last brought bytes, seconds.
        before: clock at which the process accepted connections, seconds.
        now: the present clock, seconds.
    """
    return opened_at < before and now - received_at <= LIVE_S
