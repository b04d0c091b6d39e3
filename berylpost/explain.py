"""Finds in daemons' logs what belongs to one request, for `berylpost explain`.

A request's own lines carry its id. Lines about the backend servers that it was sent to,
and about the store, are added where they fall into its time.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

BEFORE: Final = timedelta(seconds=5)  # a state change this much earlier may explain
AFTER: Final = timedelta(seconds=1)
_TIME: Final = re.compile(r"\btime=(\S+ \S+)")
_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_STATE_EVENTS: Final = frozenset(
    {
        "backend_state",
        "backend_gone",
        "backend_suspect",
        "backend_leaving",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "quota_refused",
        "servers_ordered",
        "daemon_started",
        "daemon_leaving",
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line; `at` is None where it has no time that can be read."""

    text: str
    at: datetime | None
    pairs: dict[str, str]


def parse_line(text: str) -> LogLine:
    """Parses a key=value line; what cannot be parsed is kept as text."""
    pairs = {key: value.strip('"') for key, value in _PAIR.findall(text)}
    at = None
    found = _TIME.search(text)
    if found is not None:
        try:
            at = datetime.strptime(found.group(1), "%Y-%m-%d %H:%M:%S,%f")
        except ValueError:
            at = None
    return LogLine(text=text.rstrip("\n"), at=at, pairs=pairs)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the lines that explain a request, oldest first.

    Args:
        lines: of the logs of one or more daemons.
        request_id: as the caller sent it.

    Returns:
        Nothing when no line has the id.
    """
    parsed = [parse_line(line) for line in lines if "event=" in line]
    own = [line for line in parsed if line.pairs.get("id") == request_id]
    times = [line.at for line in own if line.at is not None]
    if not times:
        return [line.text for line in own]
    total_s = max(float(line.pairs.get("total_s", 0)) for line in own)
    began_at = min(times) - timedelta(seconds=total_s) - BEFORE
    ended_at = max(times) + AFTER
    servers = {line.pairs["backend"] for line in own if line.pairs.get("backend")}
    servers |= {
        name for line in own for name in line.pairs.get("tried", "").split(",") if name
    }
    chosen = [
        line
        for line in parsed
        if line in own
        or (
            line.at is not None
            and began_at <= line.at <= ended_at
            and line.pairs.get("event") in _STATE_EVENTS
            and line.pairs.get("backend", next(iter(servers), "")) in servers
        )
    ]
    chosen.sort(key=lambda line: line.at or ended_at)
    return [line.text for line in chosen]
