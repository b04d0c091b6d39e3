"""Splits a stream of server-sent events at event boundaries."""

from typing import Final

# An event ends with an empty line; lines end with LF or CRLF.
EVENT_ENDS: Final = (b"\n\n", b"\n\r\n")
CONTENT_TYPE: Final = "text/event-stream"
ID_FIELD: Final = b"id:"
DATA_FIELD: Final = b"data:"
# Limits the memory that a stream without event boundaries can use.
MAX_EVENT_BYTES: Final = 1 << 20


def find_event_end(data: bytes | bytearray, start: int = 0) -> int:
    """Returns the offset after the last complete event; 0 if there is none.

    Args:
        data: bytes of a stream.
        start: offset before which no event ends.
    """
    places = ((data.rfind(end, start), end) for end in EVENT_ENDS)
    return max(place + len(end) if place >= 0 else 0 for place, end in places)


def ends_inside_event(data: bytes) -> bool:
    """Returns whether the bytes of a stream end in the middle of an event."""
    return bool(data[find_event_end(data) :].strip(b"\r\n"))


class OversizedEventError(Exception):
    """An event of a stream is larger than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers an event until it is complete.

    Attributes:
        last_id: id of the last complete event that had one.
        n_events: number of complete events returned.
        ends_with_id: whether a server can tell from `last_id` all that was returned;
            not so after an event with data and without an id.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.n_events = 0
        self.ends_with_id = True
        self._partial = bytearray()

    @property
    def n_partial_bytes(self) -> int:
        """Number of bytes received after the last complete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return ends_inside_event(bytes(self._partial))

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all up to the end of the last complete event.

        Raises:
            OversizedEventError: an event is larger than `MAX_EVENT_BYTES`.
        """
        # What came before holds no event end, but perhaps the first bytes of one.
        n_searched = max(0, len(self._partial) - len(max(EVENT_ENDS, key=len)) + 1)
        self._partial += data
        end = find_event_end(self._partial, n_searched)
        if not end:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise OversizedEventError("server-sent event is too large")
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self.n_events += sum(complete.count(end) for end in EVENT_ENDS)
        self._read_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discards the bytes of an incomplete event."""
        self._partial.clear()

    def take_partial(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        partial, self._partial = bytes(self._partial), bytearray()
        return partial

    def _read_last_id(self, complete: bytes) -> None:
        start = _find_last_line(complete, ID_FIELD)
        if start >= 0:
            line = complete[start + len(ID_FIELD) : complete.index(b"\n", start)]
            self.last_id = line.strip().decode("latin-1")
        data_start = _find_last_line(complete, DATA_FIELD)
        if data_start >= 0:
            # An id may stand before or after the data of its event.
            first = min(start, data_start)
            between = complete[first : max(start, data_start)]
            self.ends_with_id = start >= 0 and not find_event_end(between)


def _find_last_line(data: bytes, field: bytes) -> int:
    """Returns the offset of the last line that begins with a field; -1 for none."""
    start = data.rfind(b"\n" + field)
    if start >= 0:
        return start + 1
    return 0 if data.startswith(field) else -1
