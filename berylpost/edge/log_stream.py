"""A log handler that never blocks and limits the volume of its output.

Lines are buffered in memory and written from the event loop. Lines beyond the limits
are dropped, and a separate line reports their number.
"""

import logging
import os
from collections import deque
from typing import Final

from ..logs import LOG_FORMAT, format_pairs

MAX_WAITING_LINES: Final = 4_000  # less than a megabyte
# More than five lines per request at a daemon's peak of 52 requests per second.
MAX_LINES_PER_S: Final = 600
FLUSH_S: Final = 0.2


class LogStream(logging.Handler):
    """Buffers lines until `flush_lines` writes them.

    Args:
        descriptor: file descriptor to write to; is made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self.n_dropped = 0
        self.n_dropped_total = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._n_since_flush = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers one line, or counts it as dropped."""
        over_rate = self._n_since_flush >= MAX_LINES_PER_S * FLUSH_S
        urgent = record.levelno >= logging.WARNING
        if len(self._lines) >= MAX_WAITING_LINES or (over_rate and not urgent):
            self.n_dropped += 1
            self.n_dropped_total += 1
            return
        self._n_since_flush += 1
        self._lines.append(self.format(record).encode("utf-8", "replace") + b"\n")

    def flush_lines(self) -> None:
        """Writes as much as possible without blocking."""
        self._n_since_flush = 0
        if self._unwritten:
            self._unwritten = self._write(self._unwritten)
        if self._unwritten:
            return  # the other lines stay in the buffer, whose size is limited
        if self.n_dropped:
            line = format_pairs({"event": "lines_dropped", "n_lines": self.n_dropped})
            self._lines.append(line.encode() + b"\n")
            self.n_dropped = 0
        data = b"".join(self._lines)
        self._lines.clear()
        self._unwritten = self._write(data)

    def _write(self, data: bytes) -> bytes:
        """Writes without blocking; returns the data that was not written."""
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            # The reader is gone, and there is no other place to log that.
            return b""
        return b""


def install_log_stream(*, level: str) -> LogStream:
    """Sends all log lines through a `LogStream` on standard output."""
    stream = LogStream(descriptor=1)
    stream.setFormatter(logging.Formatter(LOG_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [stream]
    root.setLevel(level.upper())
    return stream
