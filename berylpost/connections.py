"""The callers' side of the relay: their sockets, and who is left without one.

Owned by the relay's thread. `callers` is one connection; this module keeps all of
them, serves what is new and notes the requests that no caller waits for any more.
"""

import selectors
import socket
import time
from collections.abc import Callable

from .callers import Caller
from .settings import RelaySettings
from .streams import Stream, StreamState


class Connections:
    """All callers' connections.

    Args:
        selector: of the relay.
        settings: of the relay.
        find: returns a stream by its id.
        end_orphan: called for a request that went longest without a caller when
            too many do.
    """

    def __init__(
        self,
        *,
        selector: selectors.BaseSelector,
        settings: RelaySettings,
        find: Callable[[str], Stream | None],
        end_orphan: Callable[[str], None],
    ) -> None:
        self.by_stream: dict[str, list[Caller]] = {}
        self.orphans: dict[str, float] = {}
        self._selector = selector
        self._buffer_bytes = settings.caller_buffer_bytes
        self._max_orphans = settings.max_orphans
        self._find = find
        self._end_orphan = end_orphan

    def close(self) -> None:
        """Closes every socket."""
        for callers in self.by_stream.values():
            for caller in callers:
                caller.socket.close()

    def answer_once(self, sock: socket.socket, data: bytes) -> None:
        """Sends a whole response and closes."""
        sock.setblocking(False)
        caller = Caller(socket=sock, stream_id="", closing=True)
        caller.buffer += data
        self._selector.register(sock, selectors.EVENT_READ, caller)
        self._flush(caller)

    def add(self, stream: Stream, sock: socket.socket, after: int, whole: bool) -> None:
        """Takes a caller in; it gets the events after `after`, or the whole answer."""
        sock.setblocking(False)
        caller = Caller(
            socket=sock,
            stream_id=stream.request.id,
            next_event=after + 1,
            whole=whole,
        )
        self.by_stream.setdefault(stream.request.id, []).append(caller)
        self.orphans.pop(stream.request.id, None)
        self._selector.register(sock, selectors.EVENT_READ, caller)
        self._serve_caller(caller, stream)

    def serve(self, stream: Stream) -> None:
        """Gives all callers of a stream what is new to them."""
        callers = self.by_stream.get(stream.request.id)
        if callers is None:
            return
        for caller in tuple(callers):
            self._serve_caller(caller, stream)

    def _serve_caller(self, caller: Caller, stream: Stream) -> None:
        caller.fill(stream, self._buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _flush(self, caller: Caller) -> None:
        if not caller.flush():
            self._drop_caller(caller)
            return
        if caller.closing and not caller.buffer:
            stream = self._find(caller.stream_id)
            if stream is not None and stream.state is StreamState.DONE:
                stream.delivered = True
            self._drop_caller(caller)
            return
        wants_write = bool(caller.buffer)
        if wants_write != caller.wants_write:
            caller.wants_write = wants_write
            mask = selectors.EVENT_READ | selectors.EVENT_WRITE * wants_write
            self._selector.modify(caller.socket, mask, caller)

    def handle(self, caller: Caller, mask: int) -> None:
        """Handles a caller's socket that the selector says is ready."""
        if mask & selectors.EVENT_READ and caller.is_gone():
            self._drop_caller(caller)
            return
        stream = self._find(caller.stream_id)
        if stream is not None and not caller.closing:
            caller.fill(stream, self._buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _drop_caller(self, caller: Caller) -> None:
        try:
            self._selector.unregister(caller.socket)
        except (KeyError, ValueError):
            return  # dropped already
        caller.socket.close()
        callers = self.by_stream.get(caller.stream_id)
        if callers is None:
            return
        callers.remove(caller)
        if callers:
            return
        del self.by_stream[caller.stream_id]
        stream = self._find(caller.stream_id)
        if stream is not None and not stream.is_final():
            self.orphans[caller.stream_id] = time.monotonic()
            self._limit_orphans()

    def _limit_orphans(self) -> None:
        """Ends the requests that have gone longest without a caller."""
        while len(self.orphans) > self._max_orphans:
            self._end_orphan(next(iter(self.orphans)))
