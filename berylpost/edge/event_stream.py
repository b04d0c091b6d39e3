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
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns those up to the end of the last whole event.

        Raises:
            ValueError: an event is larger than any stream's.
        """
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("an event has no end")
            return b""
        end += len(EVENT_END)
        whole, self._rest = data[:end], data[end:]
        self.n_events += whole.count(EVENT_END)
        self._read_last_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Forgets an event that was cut off."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Returns what followed the last whole event of a stream that ended whole."""
        rest, self._rest = self._rest, b""
        return rest

    def _read_last_id(self, whole: bytes) -> None:
        start = whole.rfind(ID_FIELD)
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(ID_FIELD, 0, start)
        if start >= 0:
            line = whole[start + len(ID_FIELD) : whole.index(b"\n", start)]
            self.last_id = line.strip().decode("latin-1")
