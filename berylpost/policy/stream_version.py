"""Decides at which software version of a service a stream may go on.

Servers of several software versions may serve side by side while a release is rolled
out. What two versions write does not fit together, and servers do not check it, so a
stream goes on only at the version that began it. A caller may take a stream up at any
daemon, also after the one that began it has died.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final

from ..hashing import hash_text

# Daemons that keep the version of a stream besides the one that began it.
N_KEEPERS: Final = 3
# Daemons that are asked for it: the keepers, and as many that have become keepers since
# because others died or joined.
N_ASKED: Final = 6


def rank_keepers(attempt: str, names: Iterable[str]) -> list[str]:
    """Ranks the daemons that keep a stream's version; all daemons agree on the order.

    Args:
        attempt: id of the caller's attempt that began the stream.
        names: names of the daemons to rank.
    """
    return sorted(names, key=lambda name: hash_text(f"{attempt}/{name}"), reverse=True)


def list_possible_versions(
    last_listed: Mapping[str, float], *, now: float, memory_s: float
) -> frozenset[str]:
    """Returns the versions that may have begun a stream that can still be taken up.

    Args:
        last_listed: time at which each version of the service was last listed, seconds.
        now: the present time, seconds.
        memory_s: the longest time from a stream's begin until it is taken up.
    """
    return frozenset(v for v, at in last_listed.items() if now - at <= memory_s)


def choose_stream_version(
    recorded: str | None,
    possible: Iterable[str],
    *,
    is_current: bool,
    earlier: str | None = None,
) -> str | None:
    """Returns the version at which a stream may go on; None if it is not known.

    Args:
        recorded: the version that a daemon has recorded for the stream; None for none.
        possible: versions that may have begun it, as far as the daemons asked know.
        is_current: whether `possible` is recent enough to contain every version.
        earlier: the only version before there were several, if no daemon that is silent
            has said that it knows of others; None otherwise.
    """
    if recorded is not None:
        return recorded
    versions = set(possible)
    if not is_current:
        return None
    if len(versions) == 1:
        return versions.pop()
    return earlier if earlier in versions else None


def merge_versions(
    stored: Mapping[str, Mapping[str, float]],
    listed: Mapping[str, Collection[str]],
    *,
    now: float,
    keep_s: float,
) -> dict[str, dict[str, float]]:
    """Merges the versions that serve now into those that are stored.

    Args:
        stored: by service and version, 0 for one that serves, or the time at which it
            lost its last server, Unix seconds.
        listed: versions that serve now, by service.
        now: the present time, Unix seconds.
        keep_s: time for which a version without servers is kept.
    """
    merged: dict[str, dict[str, float]] = {}
    for service in stored.keys() | listed.keys():
        versions = {
            version: ended_at or now
            for version, ended_at in stored.get(service, {}).items()
            if not ended_at or now - ended_at <= keep_s
        }
        versions.update(dict.fromkeys(listed.get(service, ()), 0.0))
        if versions:
            merged[service] = versions
    return merged
