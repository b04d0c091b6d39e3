"""Decoding of lists whose entries come from many writers.

One entry that cannot be decoded must not hide the others, so a list is decoded in two
steps: first as a list of undecoded entries, then each entry by itself. The decoder also
checks what it skips, so a list that it rejects is cut apart without it, by brackets and
strings alone, and what cannot be decoded is replaced.
"""

import re
from collections.abc import Iterator
from typing import Any, Final, TypeVar

import msgspec

T = TypeVar("T")

MAX_DEPTH: Final = 64  # of a whole document; the platform's own nest up to ten levels
# Brackets, and the strings in which they mean nothing.
_TOKEN_PATTERN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING: Final = b"[{"
_CLOSING: Final = b"]}"
# The same with what separates the parts of a list or an object.
_PART_PATTERN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)

EMPTY: Final = msgspec.Raw(b"null")
# In place of a value that cannot be decoded; sound writers store no such value.
UNDECODABLE: Final = b"false"


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


def is_decodable(data: bytes) -> bool:
    """Tells whether the decoder accepts a JSON value as a whole."""
    try:
        msgspec.json.decode(data, type=msgspec.Raw)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True


def repair_document(data: bytes, *, depth: int) -> bytes:
    """Returns a JSON document without what cannot be decoded; see `decode_document`.

    It takes about a second for a megabyte of odd text.
    """
    if not is_decodable(data):
        data = cut_nesting(data)
    return _replace_parts(data, depth)


def decode_document(data: bytes, document_type: type[T], *, depth: int) -> T:
    """Decodes a JSON document; has `UNDECODABLE` in place of what cannot be decoded.

    Args:
        data: the document.
        document_type: type to decode to.
        depth: number of levels of lists and objects of which each part is replaced by
            itself; what is below is replaced as a whole.

    Raises:
        msgspec.MsgspecError: the bytes are no such document.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except RecursionError:
        data = cut_nesting(data)
    except msgspec.MsgspecError:
        pass
    try:
        return msgspec.json.decode(_replace_parts(data, depth), type=document_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def _replace_parts(data: bytes, depth: int) -> bytes:
    """Replaces what cannot be decoded in a JSON value; drops members without a key."""
    if is_decodable(data):
        return data
    data = data.strip()
    if not depth or data[:1] not in (b"[", b"{"):
        return UNDECODABLE
    parts = []
    for key, value in _cut_parts(data):
        replaced = _replace_parts(value, depth - 1)
        if data.startswith(b"["):
            parts.append(replaced)
        elif is_decodable(key):
            parts.append(key + b":" + replaced)
    return data[:1] + b",".join(parts) + data[-1:]


def _cut_parts(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Cuts a JSON list or object into its parts: key, empty in a list, and value."""
    depth = 0
    key = b""
    start = 1
    for token in _PART_PATTERN.finditer(data):
        mark = token[0]
        is_end = False
        if mark in _OPENING:
            depth += 1
        elif mark in _CLOSING:
            depth -= 1
            is_end = not depth
        elif depth == 1 and mark == b":":
            key, start = data[start : token.start()].strip(), token.end()
        elif depth == 1 and mark == b",":
            is_end = True
        if is_end:
            value = data[start : token.start()].strip()
            if value:
                yield key, value
            key, start = b"", token.end()


def decode_value(raw: msgspec.Raw) -> Any:
    """Decodes one value that another writer stored.

    Raises:
        ValueError: it cannot be decoded, or not be passed on to other daemons.
    """
    if bytes(raw) == UNDECODABLE:
        raise ValueError("holds text that cannot be decoded")
    try:
        value = msgspec.json.decode(raw)
        msgspec.json.encode(value)
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        raise ValueError(str(error)) from error
    return value
