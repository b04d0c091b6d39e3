"""A caller's connection after CherryPy has handed its socket to the relay.

The connection has a position in the stream's events and a bounded buffer; a caller
that reads slowly gets its events later and delays neither its engine nor other
callers.
"""

import socket
import ssl
from dataclasses import dataclass, field
from typing import Final

from .streams import (
    DONE_EVENT,
    LAST_CHUNK,
    Stream,
    StreamState,
    render_answer,
    render_error,
    render_error_event,
    render_event,
    render_moved,
    render_redirect,
    render_stream_head,
)

MAX_EVENTS_PER_FILL: Final = 256


@dataclass(slots=True, kw_only=True)
class Caller:
    """One caller's connection.

    Attributes:
        next_event: number of the next event to send, counted from 1.
        whole: the caller waits for the whole answer instead of a stream.
        closing: all data is in the buffer; the connection is closed once it is sent.
        is_cut: the answer in the buffer has no end.
        wants_write: the selector waits until the socket is writable.
    """

    socket: socket.socket
    stream_id: str
    next_event: int = 1
    whole: bool = False
    head_sent: bool = False
    closing: bool = False
    is_cut: bool = False
    wants_write: bool = False
    buffer: bytearray = field(default_factory=bytearray)

    def fill(self, stream: Stream, max_bytes: int, moved_address: str) -> None:
        """Appends the caller's next events until the buffer has `max_bytes` bytes."""
        if self.closing:
            return
        if self.whole:
            self._fill_whole(stream, moved_address)
            return
        n_events = len(stream.ends)
        if not self.head_sent and self.next_event <= n_events:
            self.buffer += render_stream_head(stream)
            self.head_sent = True
        for _ in range(MAX_EVENTS_PER_FILL):
            if self.next_event > n_events or len(self.buffer) >= max_bytes:
                break
            self.buffer += render_event(stream, self.next_event)
            self.next_event += 1
        if stream.is_final() and self.next_event > n_events:
            self._end(stream, moved_address)

    def _end(self, stream: Stream, moved_address: str) -> None:
        self.closing = True
        if stream.state is StreamState.DONE:
            if not self.head_sent:
                self.buffer += render_stream_head(stream)
            self.buffer += DONE_EVENT + LAST_CHUNK
            return
        if stream.state is StreamState.MOVED:
            if not self.head_sent:
                self.buffer += render_stream_head(stream)
            # The last chunk ends the response properly: the caller resumes elsewhere.
            self.buffer += render_moved(stream, moved_address) + LAST_CHUNK
            return
        assert stream.error is not None
        if self.head_sent:
            # Without the last chunk, so that a cut answer does not look complete.
            self.buffer += render_error_event(stream.error)
            self.is_cut = True
        else:
            self.buffer += render_error(stream.error)

    def _fill_whole(self, stream: Stream, moved_address: str) -> None:
        if not stream.is_final():
            return
        self.closing = True
        if stream.state is StreamState.DONE:
            self.buffer += render_answer(stream)
        elif stream.state is StreamState.MOVED:
            self.buffer += render_redirect(stream, moved_address)
        else:
            assert stream.error is not None
            self.buffer += render_error(stream.error)

    def flush(self) -> bool:
        """Sends as much of the buffer as the socket accepts.

        Returns:
            False when the connection is broken.
        """
        while self.buffer:
            try:
                n_sent = self.socket.send(self.buffer)
            except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
                return True
            except OSError:
                return False
            del self.buffer[:n_sent]
        return True

    def has_disconnected(self) -> bool:
        """Discards data that the caller sends; tells whether it has disconnected."""
        try:
            return not self.socket.recv(4_096)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        except OSError:
            return True
