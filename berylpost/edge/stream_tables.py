"""Tables of the software versions that began streams, as they are stored.

A stream is named by a hash of its attempt id, so that a table of a thousand streams
takes 11 KB and is read without decoding each entry.
"""

import base64
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple, TypeAlias

from ..hashing import hash_text

# Callers choose the ids of their attempts; those of the platform have 16 characters.
MAX_ATTEMPT_CHARS: Final = 64
NATIVE_IS_STORED: Final = sys.byteorder == "little"

Hashes: TypeAlias = "array[int]"


class Origin(NamedTuple):
    """Where a stream began."""

    service: str
    version: str


def name_stream(attempt: str) -> str:
    """Returns by which text daemons name a stream; long attempt ids are hashed."""
    if len(attempt) <= MAX_ATTEMPT_CHARS:
        return attempt
    return f"#{hash_text(attempt):016x}"


def hash_attempt(attempt: str) -> int:
    """Computes the hash by which tables name a stream."""
    return hash_text(attempt)


def pack(streams: Mapping[int, Origin]) -> dict[str, dict[str, str]]:
    """Packs the hashes of each service and version, in ascending order."""
    grouped: dict[Origin, list[int]] = {}
    for digest, origin in streams.items():
        grouped.setdefault(origin, []).append(digest)
    document: dict[str, dict[str, str]] = {}
    for (service, version), digests in grouped.items():
        hashes = array("Q", sorted(digests))
        if not NATIVE_IS_STORED:
            hashes.byteswap()
        text = base64.b64encode(hashes.tobytes()).decode("ascii")
        document.setdefault(service, {})[version] = text
    return document


def unpack(streams: Mapping[str, Mapping[str, str]]) -> Iterator[tuple[Origin, Hashes]]:
    """Unpacks the hashes of each service and version.

    Raises:
        ValueError: a text does not hold whole hashes in base 64.
    """
    for service, versions in streams.items():
        for version, text in versions.items():
            hashes = array("Q")
            hashes.frombytes(base64.b64decode(text, validate=True))
            if not NATIVE_IS_STORED:
                hashes.byteswap()
            yield Origin(service, version), hashes


def find_origin(tables: Iterable[tuple[Origin, Hashes]], digest: int) -> Origin | None:
    """Returns the origin of a stream; None if it is in no table."""
    for origin, hashes in tables:
        place = bisect_left(hashes, digest)
        if place < len(hashes) and hashes[place] == digest:
            return origin
    return None
