"""Cuts a stream of server-sent events at event boundaries."""

from typing import Final

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
MAX_EVENT_BYTES: Final = 1 << 20  # a stream without boundaries must not fill memory


class EventSplitter:
    """Holds back an event until it is whole; remembers the last whole one's id."""

    def __init__(self) -> None:
        self.last_id = ""
        self.n_events = 0
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns those up to the end of the last whole event.

        Raises:
            ValueError: an event is larger than any stream's.
        """
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("an event has no end")
            return b""
        end += len(EVENT_END)
        complete, self._partial = data[:end], data[end:]
        self.n_events += complete.count(EVENT_END)
        self._read_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Forgets an event that was cut off."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns what followed the last whole event of a stream that ended whole."""
        partial, self._partial = self._partial, b""
        return partial

    def _read_last_id(self, complete: bytes) -> None:
        start = complete.rfind(ID_FIELD)
        while start > 0 and complete[start - 1 : start] != b"\n":
            start = complete.rfind(ID_FIELD, 0, start)
        if start >= 0:
            line = complete[start + len(ID_FIELD) : complete.index(b"\n", start)]
            self.last_id = line.strip().decode("latin-1")
