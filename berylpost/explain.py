"""Finds the log lines that concern one request, for `berylpost explain`.

The lines of the request itself have its id. Lines about state changes, for example of
the backend servers that it was sent to or of the store, are added if they were logged
during the request or shortly before or after it.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

# State changes shortly before a request may be the cause of what happened to it.
MARGIN_BEFORE: Final = timedelta(seconds=5)
MARGIN_AFTER: Final = timedelta(seconds=1)
_TIME_PATTERN: Final = re.compile(r"\btime=(\S+ \S+)")
_PAIR_PATTERN: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
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
    """A parsed log line; `at` is None if it has no valid time."""

    text: str
    at: datetime | None
    pairs: dict[str, str]


def parse_line(text: str) -> LogLine:
    """Parses a line of key=value pairs; the whole line is kept as text."""
    pairs = {key: value.strip('"') for key, value in _PAIR_PATTERN.findall(text)}
    at = None
    found = _TIME_PATTERN.search(text)
    if found is not None:
        try:
            at = datetime.strptime(found.group(1), "%Y-%m-%d %H:%M:%S,%f")
        except ValueError:
            at = None
    return LogLine(text=text.rstrip("\n"), at=at, pairs=pairs)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the lines that explain a request, oldest first.

    Args:
        lines: log lines of one or more daemons.
        request_id: id that the caller sent.

    Returns:
        The lines; empty if no line has the id.
    """
    parsed = [parse_line(line) for line in lines if "event=" in line]
    own = [line for line in parsed if line.pairs.get("id") == request_id]
    times = [line.at for line in own if line.at is not None]
    if not times:
        return [line.text for line in own]
    total_s = max(float(line.pairs.get("total_s", 0)) for line in own)
    began_at = min(times) - timedelta(seconds=total_s) - MARGIN_BEFORE
    ended_at = max(times) + MARGIN_AFTER
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
