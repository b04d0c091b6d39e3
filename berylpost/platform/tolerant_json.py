"""Decoding of lists whose entries come from many writers.

One entry that cannot be decoded must not hide the others, so a list is decoded in two
steps: first as a list of undecoded entries, then each entry by itself. Entries that are
nested too deeply even to be skipped are cut first.
"""

import re
from typing import Any, Final, TypeVar

import msgspec

T = TypeVar("T")

MAX_DEPTH: Final = 64  # of a whole document; the platform's own nest up to ten levels
# Brackets, and the strings in which they mean nothing.
_TOKEN_PATTERN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING: Final = b"[{"

EMPTY: Final = msgspec.Raw(b"null")


def cut_nesting(data: bytes) -> bytes:
    """Replaces the values in a JSON document below `MAX_DEPTH` levels by null."""
    kept = []
    depth = kept_until = 0
    for token in _TOKEN_PATTERN.finditer(data):
        bracket = token[0]
        if bracket.startswith(b'"'):
            continue
        if bracket in _OPENING:
            if depth == MAX_DEPTH:
                kept += [data[kept_until : token.start()], b"null"]
            depth += 1
        else:
            depth -= 1
            if depth == MAX_DEPTH:
                kept_until = token.end()
    kept.append(data[kept_until:] if depth < MAX_DEPTH else b"")
    return b"".join(kept)


def decode_document(data: bytes, document_type: type[T]) -> T:
    """Decodes a JSON document; of values that nest too deeply only the top is kept.

    Raises:
        msgspec.MsgspecError: the bytes are no such document.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except RecursionError:
        pass
    try:
        return msgspec.json.decode(cut_nesting(data), type=document_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def decode_value(raw: msgspec.Raw) -> Any:
    """Decodes one value that another writer stored.

    Raises:
        ValueError: it cannot be decoded, or not be passed on to other daemons.
    """
    try:
        value = msgspec.json.decode(raw)
        msgspec.json.encode(value)
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        raise ValueError(str(error)) from error
    return value
