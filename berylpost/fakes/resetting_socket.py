"""Listening socket of a server that resets new connections, as with a long queue.

`python -m berylpost.fakes.resetting_socket IP PORT` resets all of them.
"""

import contextlib
import socket
import struct
import sys
from collections.abc import Callable
from typing import Any, Final

LINGER_NONE: Final = struct.pack("ii", 1, 0)  # a close resets the connection


class ResettingSocket(socket.socket):
    """Socket that resets the connections it accepts while `resets` returns True."""

    def __init__(self, resets: Callable[[], bool]) -> None:
        super().__init__()
        self.setblocking(False)
        self._resets = resets

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection.

        Raises:
            ConnectionAbortedError: it was reset, before the event loop goes on.
        """
        connection, address = super().accept()
        if self._resets():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            connection.close()
            raise ConnectionAbortedError
        return connection, address


def run(ip: str, port: int) -> None:
    """Resets all connections to an address; prints a line when it listens."""
    with ResettingSocket(lambda: True) as listener:
        listener.setblocking(True)
        listener.bind((ip, port))
        listener.listen()
        print("listens", flush=True)
        while True:
            with contextlib.suppress(ConnectionAbortedError):
                listener.accept()


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]))
