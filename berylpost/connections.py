"""The callers' connections of the relay, and the requests that have none left.

Owned by the relay's thread. `callers` is one connection; this module keeps all of
them, sends new events and tracks requests whose callers have all disconnected
(orphans).
"""

import selectors
import socket
import time
from collections.abc import Callable

from .caller_account import CallerAccount
from .callers import Caller
from .edge.request_account import RequestEnd
from .policy.connection_end import Phase
from .settings import RelaySettings
from .streams import Stream, StreamState


class Connections:
    """All callers' connections.

    Attributes:
        n_callers: connections that are open, those that get a refusal included.

    Args:
        selector: the relay's selector.
        settings: the relay's settings.
        find_stream: returns a stream by its id.
        end_orphan: called with the id of the longest orphaned request when there
            are more than `max_orphans`.
        account: counts how callers' requests end.
    """

    def __init__(
        self,
        *,
        selector: selectors.BaseSelector,
        settings: RelaySettings,
        find_stream: Callable[[str], Stream | None],
        end_orphan: Callable[[str], None],
        account: CallerAccount,
    ) -> None:
        self.n_callers = 0
        self.by_stream: dict[str, list[Caller]] = {}
        self.orphans: dict[str, float] = {}
        self._selector = selector
        self._buffer_bytes = settings.caller_buffer_bytes
        self._max_orphans = settings.max_orphans
        self._find_stream = find_stream
        self._end_orphan = end_orphan
        self._account = account

    def close(self) -> None:
        """Closes every socket; the requests of their callers stay unfinished."""
        for key in list((self._selector.get_map() or {}).values()):
            if isinstance(key.data, Caller):
                self._note_end(key.data, RequestEnd.UNFINISHED)
                key.data.socket.close()

    def _note_end(self, caller: Caller, end: RequestEnd) -> None:
        phase = Phase.UNSENT if caller.closing else Phase.RUNNING
        self._account.note_end(end, caller.stream_id, phase)

    def send_and_close(self, sock: socket.socket, data: bytes) -> None:
        """Sends a complete response and closes the connection."""
        sock.setblocking(False)
        caller = Caller(socket=sock, stream_id="", closing=True)
        caller.buffer += data
        self._register(caller)
        self._flush(caller)

    def add(self, stream: Stream, sock: socket.socket, after: int, whole: bool) -> None:
        """Adds a caller, who gets the events after `after`, or the whole answer."""
        sock.setblocking(False)
        caller = Caller(
            socket=sock,
            stream_id=stream.request.id,
            next_event=after + 1,
            whole=whole,
        )
        self.by_stream.setdefault(stream.request.id, []).append(caller)
        self.orphans.pop(stream.request.id, None)
        self._register(caller)
        self._deliver_to(caller, stream)

    def _register(self, caller: Caller) -> None:
        self._selector.register(caller.socket, selectors.EVENT_READ, caller)
        self.n_callers += 1

    def deliver(self, stream: Stream) -> None:
        """Sends all callers of a stream the events that they do not have yet."""
        callers = self.by_stream.get(stream.request.id)
        if callers is None:
            return
        for caller in tuple(callers):
            self._deliver_to(caller, stream)

    def _deliver_to(self, caller: Caller, stream: Stream) -> None:
        caller.fill(stream, self._buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _flush(self, caller: Caller) -> None:
        if not caller.flush():
            self._drop_caller(caller, RequestEnd.CALLER_LEFT)
            return
        if caller.closing and not caller.buffer:
            stream = self._find_stream(caller.stream_id)
            if stream is not None and stream.state is StreamState.DONE:
                stream.delivered = True
            cut = RequestEnd.BROKEN_OFF if caller.is_cut else RequestEnd.ANSWERED
            self._drop_caller(caller, cut)
            return
        wants_write = bool(caller.buffer)
        if wants_write != caller.wants_write:
            caller.wants_write = wants_write
            mask = selectors.EVENT_READ | selectors.EVENT_WRITE * wants_write
            self._selector.modify(caller.socket, mask, caller)

    def handle(self, caller: Caller, mask: int) -> None:
        """Handles a caller's socket that the selector reports as ready."""
        if mask & selectors.EVENT_READ and caller.has_disconnected():
            self._drop_caller(caller, RequestEnd.CALLER_LEFT)
            return
        stream = self._find_stream(caller.stream_id)
        if stream is not None and not caller.closing:
            caller.fill(stream, self._buffer_bytes, stream.moved_to)
        self._flush(caller)

    def _drop_caller(self, caller: Caller, end: RequestEnd) -> None:
        try:
            self._selector.unregister(caller.socket)
        except (KeyError, ValueError):
            return  # already dropped
        self.n_callers -= 1
        self._note_end(caller, end)
        caller.socket.close()
        callers = self.by_stream.get(caller.stream_id)
        if callers is None:
            return
        callers.remove(caller)
        if callers:
            return
        del self.by_stream[caller.stream_id]
        stream = self._find_stream(caller.stream_id)
        if stream is not None and not stream.is_final():
            self.orphans[caller.stream_id] = time.monotonic()
            self._limit_orphans()

    def _limit_orphans(self) -> None:
        """Ends the longest orphaned requests until `max_orphans` are left."""
        while len(self.orphans) > self._max_orphans:
            self._end_orphan(next(iter(self.orphans)))
