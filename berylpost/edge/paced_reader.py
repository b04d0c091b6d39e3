"""Shares the event loop among connections whose bytes take long to parse.

Bodies in chunks of one byte, events in small pieces and heads of many lines take a
thousand times the work of plain ones of their size. A connection is parsed for a few
milliseconds at a time; one that has more waits, unread, until `ReadPacer` gives it
another turn. All that wait take a fixed share of the loop's time together.
"""

import asyncio
import time
import weakref
from collections import deque
from collections.abc import Callable
from typing import Final

# Processor time for which one connection is parsed before others have a turn.
TURN_S: Final = 0.002
# Share of the loop's time for connections that had more to parse than one turn.
PACED_SHARE: Final = 0.25


class ReadPacer:
    """Gives turns to the connections of one event loop that have more to parse."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], float]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def enter(self, take_turn: Callable[[], float], spent_s: float) -> None:
        """Registers a connection behind the others that wait.

        Args:
            take_turn: parses for one turn and returns the seconds it took.
            spent_s: time of the turn that the connection has just had.
        """
        self._waiting.append(take_turn)
        if self._timer is None:
            self._schedule(spent_s)

    def _schedule(self, spent_s: float) -> None:
        pause_s = spent_s * (1 / PACED_SHARE - 1)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._give_turn)

    def _give_turn(self) -> None:
        self._timer = None
        if self._waiting:
            spent_s = self._waiting.popleft()()
            if self._timer is not None:
                self._timer.cancel()
            self._schedule(spent_s)


_pacers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ReadPacer] = (
    weakref.WeakKeyDictionary()
)


def find_pacer() -> ReadPacer:
    """Returns the pacer of the running event loop."""
    return _pacers.setdefault(asyncio.get_running_loop(), ReadPacer())


class PacedReader:
    """Parses what one connection receives, in turns.

    Args:
        parse: parses a slice.
        find_slice: returns the size of the next slice; 0 if nothing may be parsed now.

    Attributes:
        n_unparsed: bytes received that are not parsed yet.
    """

    def __init__(
        self, *, parse: Callable[[bytes], None], find_slice: Callable[[], int]
    ) -> None:
        self.n_unparsed = 0
        self._parse = parse
        self._find_slice = find_slice
        self._transport: asyncio.Transport | None = None
        self._unparsed = b""
        self._is_parsing = False
        self._is_waiting = False
        self._is_held = False
        self._is_reading = True

    @property
    def is_reading(self) -> bool:
        """Whether received bytes, and the end of the connection, are noticed."""
        return self._is_reading

    def attach(self, transport: asyncio.Transport) -> None:
        """Sets the transport whose reading is paused and resumed."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Parses received bytes, or the first of them."""
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.n_unparsed = len(self._unparsed)
        self.proceed()

    def proceed(self) -> None:
        """Goes on with parsing; call it when `find_slice` may return more than 0."""
        if self._is_parsing or self._is_waiting:
            return
        spent_s = self._parse_turn()
        if spent_s >= TURN_S:
            self._is_waiting = True
            find_pacer().enter(self._take_turn, spent_s)
        self._update_reading()

    def parse_rest(self) -> None:
        """Parses what is left although the turn is over, since the connection ends."""
        while self.n_unparsed and not self._is_parsing:
            self._parse_turn()

    def hold(self, *, is_held: bool) -> None:
        """Stops reading for a reason of the owner's, or ends that."""
        self._is_held = is_held
        self._update_reading()

    def close(self) -> None:
        """Drops what is not parsed, and the owner, which would not be freed at once."""
        self._transport = None
        self._parse = lambda _data: None
        self._find_slice = lambda: 0
        self._unparsed = b""
        self.n_unparsed = 0

    def _take_turn(self) -> float:
        self._is_waiting = False
        began_at = time.thread_time()
        if self._transport is not None:
            self.proceed()
        return time.thread_time() - began_at

    def _parse_turn(self) -> float:
        """Parses until nothing is left or the turn is over; returns the seconds."""
        began_at = time.thread_time()
        spent_s = 0.0
        self._is_parsing = True
        data, position = self._unparsed, 0
        try:
            while position < len(data) and spent_s < TURN_S:
                n_bytes = self._find_slice()
                if not n_bytes:
                    break
                piece = data[position : position + n_bytes]
                position += len(piece)
                self.n_unparsed = len(data) - position
                self._parse(piece)
                spent_s = time.thread_time() - began_at
        finally:
            self._is_parsing = False
            self._unparsed = data[position:] if self._transport is not None else b""
            self.n_unparsed = len(self._unparsed)
        return spent_s

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        wants = not (
            self._is_held
            or self._is_waiting
            or self._unparsed
            or not self._find_slice()
        )
        if wants is self._is_reading:
            return
        self._is_reading = wants
        if wants:
            transport.resume_reading()
        else:
            transport.pause_reading()
