"""Checks that callers are served again after an outage in which all entries expired."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from .callers import REQUEST_KINDS, RequestRecord
from .periods import LapsePeriod
from .world import GRACE_S, World

# From the store's return until callers are served again at each daemon: the servers
# register within 2 s, and daemons that do not watch the store hear of them by gossip.
SERVED_AGAIN_S: Final = 4.0
CHECK_S: Final = 4.0  # time from then on in which requests are counted
MIN_SERVED_SHARE: Final = 0.95  # as in the recovery check at the end of a run
MIN_REQUESTS: Final = 5  # of a daemon, with which it is checked


def list_unserved(
    period: LapsePeriod, *, world: World, records: Iterable[RequestRecord]
) -> tuple[list[str], int]:
    """Lists the daemons that did not serve again in time.

    Args:
        period: The outage.
        world: World with the other disturbances, which excuse a daemon.
        records: Requests of all callers.

    Returns:
        A line for each such daemon, and the number of daemons that were checked.
    """
    since = period.returned_at + SERVED_AGAIN_S
    sent: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for record in records:
        if (
            not since <= record.sent_at < since + CHECK_S
            or record.abandoned
            or record.kind not in REQUEST_KINDS
            or record.key in world.revoked
            or _was_otherwise_disturbed(world, period, record)
        ):
            continue
        sent[record.daemon] += 1
        served[record.daemon] += record.complete and record.status == 200
    checked = {d: n for d, n in sent.items() if n >= MIN_REQUESTS}
    return [
        f"{daemon} served {served[daemon]} of {n} from {SERVED_AGAIN_S:g} s on"
        for daemon, n in sorted(checked.items())
        if served[daemon] < MIN_SERVED_SHARE * n - 1
    ], len(checked)


def _was_otherwise_disturbed(
    world: World, period: LapsePeriod, record: RequestRecord
) -> bool:
    """Tells whether anything else disturbed a daemon from the outage on.

    A planned stop counts if it may have lasted until the store's return.
    """
    return any(
        d is not period.disturbance
        and d.target in (record.daemon, "all")
        and d.started_at <= record.ended_at
        and (
            d.ended_at + GRACE_S >= period.returned_at
            if d.kind == "stop"
            else not d.planned and d.ended_at >= period.disturbance.started_at
        )
        for d in world.disturbances
    )
