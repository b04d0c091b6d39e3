"""Decides what is held back because servers end while they answer it.

A part of a prompt may crash every server that begins to answer it, whatever else the
request holds; so may a whole request, which its caller sends again. Each daemon records
which parts and requests were on a server when it ended and which were answered
completely. The records of two daemons merge in any order, so that all daemons reach the
same decision by exchanging them. In this module a whole request is a part that is more
specific than all others.

Requests that break together with the culprit share its servers and most of its parts.
What tells them apart: sound parts are answered completely elsewhere, the culprit is on
every crashed server, mostly in a single request, and a crash that one held part
explains is no evidence against the others.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Two servers may end by chance while they answer the same rare part.
MIN_CRASHES: Final = 3
# Depth of a whole request, below all parts of a prompt.
REQUEST_DEPTH: Final = 1 << 16
# A whole request is repeated at the next server when one has ended, so that its crashes
# may follow one another at once. Fewer of them have to be apart.
MIN_REQUEST_CAUSES: Final = 2
# Servers that end within this time, as when an availability zone fails, count once.
SAME_CAUSE_S: Final = 0.1
# A complete answer shows for this long that its parts do not crash servers.
PROOF_S: Final = 30.0
FIRST_HOLD_S: Final = 30.0  # after the crash that made a part held
HOLD_GROWTH: Final = 4.0  # factor for each further crash
MAX_HOLD_S: Final = 3_600.0
SUSPICION_S: Final = 600.0  # after this time without a crash, a record is dropped
MAX_SUSPECTS: Final = 48  # compared with each other; bounds the time of a decision
MAX_OBSERVATIONS: Final = 32  # of one part; bounds memory and datagrams
# Times that differ by less, such as the transit time of a datagram, count as equal.
TIME_TOLERANCE_S: Final = 0.5
# Daemons see one crash of a server within this time of each other.
CRASH_SPREAD_S: Final = 0.2
# Between the numbers of crashes in consecutive intervals; hashes differ by it by chance
# only.
CRASH_STEP: Final = 0x9E3779B97F4A7C15
_N_NUMBERS: Final = 1 << 64


class Observation(NamedTuple):
    """What one daemon saw of one part when a server ended.

    Attributes:
        at: time of the crash, seconds.
        n_requests: requests with the part that the daemon had sent to the server.
        depth: position of the part in the prompt; deeper parts are more specific.
    """

    at: float
    n_requests: int
    depth: int


@dataclass(slots=True, kw_only=True)
class PartRecord:
    """What is known of one prompt part.

    Attributes:
        observations: by server incarnation and reporting daemon.
        answered_at: time of the latest complete answer, seconds; -inf for none.
    """

    observations: dict[tuple[int, int], Observation] = field(default_factory=dict)
    answered_at: float = float("-inf")

    @property
    def last_crash_at(self) -> float:
        """Time of the latest crash, seconds; -inf for none."""
        return max((o.at for o in self.observations.values()), default=float("-inf"))

    @property
    def is_request(self) -> bool:
        """Whether it is the record of a whole request."""
        return any(o.depth >= REQUEST_DEPTH for o in self.observations.values())


class Hold(NamedTuple):
    """A part that is held back.

    Attributes:
        until: time from which one request at a time may try the part, seconds.
        dropped_at: time from which it is no longer held, seconds.
    """

    until: float
    dropped_at: float


def number_crash(server: int, at: float) -> int:
    """Numbers a crash of a server that starts again under its id.

    Daemons that see one crash at slightly different times give it the same number, or
    numbers of consecutive intervals.

    Args:
        server: hash of the server's id.
        at: wall clock time of the crash, seconds.
    """
    return (server + int(at / CRASH_SPREAD_S) * CRASH_STEP) % _N_NUMBERS


def list_numbers(server: int, since: float, until: float) -> list[int]:
    """Lists the numbers of a server's crashes in a time, the latest first."""
    last = number_crash(server, until)
    n_intervals = int(until / CRASH_SPREAD_S) - int(since / CRASH_SPREAD_S) + 1
    return [(last - k * CRASH_STEP) % _N_NUMBERS for k in range(n_intervals)]


def merge_record(known: PartRecord, other: PartRecord) -> bool:
    """Adds what another daemon knows of a part; tells whether anything was new.

    Args:
        known: the record; updated in place.
        other: the other daemon's record, with times of this daemon's clock.
    """
    is_new = False
    for key, observation in other.observations.items():
        own = known.observations.get(key)
        # The clocks of two daemons differ by the transit time: keep the first report.
        if own is None or observation.n_requests > own.n_requests:
            known.observations[key] = observation
            is_new = True
    while len(known.observations) > MAX_OBSERVATIONS:
        oldest = min(known.observations, key=lambda k: known.observations[k].at)
        del known.observations[oldest]
    if is_later(other.answered_at, known.answered_at):
        known.answered_at = other.answered_at
        is_new = True
    return is_new


def is_later(at: float, other_at: float) -> bool:
    """Tells whether a time is later than another one of another daemon's clock."""
    return at > other_at + TIME_TOLERANCE_S


def find_holds(records: Mapping[int, PartRecord], *, now: float) -> dict[int, Hold]:
    """Decides which parts are held.

    The most suspect part is taken first, and a crash that a held part explains does
    not count against others.

    Args:
        records: records by part.
        now: the present time, seconds.
    """
    suspects = _list_suspects(records)
    holds: dict[int, Hold] = {}
    while suspects:
        suspects = {
            part: crashes
            for part, crashes in suspects.items()
            if _count_evidence(crashes) >= MIN_CRASHES
        }
        if not suspects:
            break
        part = max(suspects, key=lambda p: (_rate_suspicion(suspects[p]), p))
        explained = suspects.pop(part)
        times = [crash.at for crash in explained.values()]
        # Crashes under repeats that were under way lengthen the hold of a whole request
        # no more than one crash does.
        hold = find_hold(max(MIN_CRASHES, count_causes(times)), max(times))
        if now < hold.dropped_at:
            holds[part] = hold
        suspects = {
            other: {s: crash for s, crash in crashes.items() if s not in explained}
            for other, crashes in suspects.items()
        }
    return holds


def _list_suspects(
    records: Mapping[int, PartRecord],
) -> dict[int, dict[int, Observation]]:
    """Lists the crashes of the parts that may be held, the most suspect parts only."""
    suspects = {}
    first_numbers = _unite_numbers(records.values())
    for part, record in records.items():
        if len(record.observations) >= MIN_CRASHES:
            crashes = _list_crashes(record, first_numbers)
            if len(crashes) >= MIN_CRASHES:
                suspects[part] = crashes
    if len(suspects) <= MAX_SUSPECTS:
        return suspects
    ranked = sorted(suspects, key=lambda p: _rate_suspicion(suspects[p]), reverse=True)
    return {part: suspects[part] for part in ranked[:MAX_SUSPECTS]}


def _unite_numbers(records: Iterable[PartRecord]) -> dict[int, int]:
    """Maps numbers of crashes to the first of the consecutive ones before them.

    Numbers that stand alone are left out.
    """
    numbers = {number for record in records for number, _ in record.observations}
    first_numbers: dict[int, int] = {}
    for number in numbers:
        first = number
        while (previous := (first - CRASH_STEP) % _N_NUMBERS) in numbers:
            first = previous
        if first != number:
            first_numbers[number] = first
    return first_numbers


def _list_crashes(
    record: PartRecord, first_numbers: Mapping[int, int]
) -> dict[int, Observation]:
    """Lists the crashes that count, by server incarnation, over all daemons.

    Args:
        record: what the daemons saw.
        first_numbers: the number that stands for others, by each of these.
    """
    crashes: dict[int, Observation] = {}
    for (number, _), seen in record.observations.items():
        if seen.at <= record.answered_at + PROOF_S:
            continue
        server = first_numbers.get(number, number)
        known = crashes.get(server)
        crashes[server] = (
            seen
            if known is None
            else Observation(
                min(seen.at, known.at), seen.n_requests + known.n_requests, seen.depth
            )
        )
    return crashes


def _rate_suspicion(crashes: Mapping[int, Observation]) -> tuple[float, int, int]:
    """Rates how likely a part is the culprit.

    A culprit is on many crashed servers, with one request on most of them; a part
    before it in the prompts may be on as many, with more requests. A whole request may
    be under way many times at once, so that this does not count against it.
    """
    n_requests = sum(crash.n_requests for crash in crashes.values())
    depth = max(crash.depth for crash in crashes.values())
    rate = len(crashes) if _is_request(crashes) else len(crashes) ** 2 / n_requests
    return rate, depth, n_requests


def _is_request(crashes: Mapping[int, Observation]) -> bool:
    return any(crash.depth >= REQUEST_DEPTH for crash in crashes.values())


def _count_evidence(crashes: Mapping[int, Observation]) -> int:
    """Counts the crashes that speak against a part, or against a whole request."""
    n_causes = count_causes(crash.at for crash in crashes.values())
    if _is_request(crashes) and n_causes >= MIN_REQUEST_CAUSES:
        return len(crashes)
    return n_causes


def count_causes(crashes: Iterable[float]) -> int:
    """Counts crashes; those that follow one another at once have one cause.

    Args:
        crashes: times of the crashes, seconds.
    """
    n_causes = 0
    began_at = float("-inf")
    for at in sorted(crashes):
        if at - began_at > SAME_CAUSE_S:
            n_causes += 1
            began_at = at
    return n_causes


def find_hold(n_crashes: int, last_crash_at: float) -> Hold:
    """Returns for how long a part is held after a number of crashes."""
    growth = HOLD_GROWTH ** min(n_crashes - MIN_CRASHES, 8)
    until = last_crash_at + min(MAX_HOLD_S, FIRST_HOLD_S * growth)
    return Hold(until, until + SUSPICION_S)


def is_outdated(record: PartRecord, hold: Hold | None, *, now: float) -> bool:
    """Tells whether a record no longer counts and may be dropped."""
    if hold is not None:
        return False
    return now - record.last_crash_at > SUSPICION_S
