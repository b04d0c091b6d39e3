"""Splits a stream of server-sent events at event boundaries."""

from typing import Final

# An event ends with an empty line; lines end with LF or CRLF.
EVENT_ENDS: Final = (b"\n\n", b"\n\r\n")
CONTENT_TYPE: Final = "text/event-stream"
ID_FIELD: Final = b"id:"
DATA_FIELD: Final = b"data:"
# Limits the memory that a stream without event boundaries can use.
MAX_EVENT_BYTES: Final = 1 << 20


def find_event_end(data: bytes) -> int:
    """Returns the offset after the last complete event; 0 if there is none."""
    return max(data.rfind(end) + len(end) if end in data else 0 for end in EVENT_ENDS)


def ends_inside_event(data: bytes) -> bool:
    """Returns whether the bytes of a stream end in the middle of an event."""
    return bool(data[find_event_end(data) :].strip(b"\r\n"))


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
        self._partial = b""

    @property
    def n_partial_bytes(self) -> int:
        """Number of bytes received after the last complete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return ends_inside_event(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns all up to the end of the last complete event.

        Raises:
            ValueError: an event is larger than `MAX_EVENT_BYTES`.
        """
        data = self._partial + data
        end = find_event_end(data)
        if not end:
            self._partial = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("server-sent event is too large")
            return b""
        complete, self._partial = data[:end], data[end:]
        self.n_events += sum(complete.count(end) for end in EVENT_ENDS)
        self._read_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discards the bytes of an incomplete event."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        partial, self._partial = self._partial, b""
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
    start = data.rfind(field)
    while start > 0 and data[start - 1 : start] != b"\n":
        start = data.rfind(field, 0, start)
    return start
