"""What the kernel holds of a connection, and how to end one at once."""

import array
import contextlib
import fcntl
import select
import socket
import termios
from collections.abc import Iterable


def is_readable(descriptors: Iterable[int]) -> bool:
    """Tells whether bytes, an end or a connection wait at one of some sockets."""
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def count_unread(descriptor: int) -> int:
    """Returns how many received bytes wait in a socket; 0 if it was closed."""
    return _query(descriptor, termios.FIONREAD)


def count_unsent(descriptor: int) -> int:
    """Returns how many bytes the other side has not received; 0 if it was closed."""
    return _query(descriptor, termios.TIOCOUTQ)


def shut_down(sock: socket.socket) -> None:
    """Ends a connection in both directions; a transport does so in a later step."""
    with contextlib.suppress(OSError):  # the other side has reset it
        sock.shutdown(socket.SHUT_RDWR)


def _query(descriptor: int, request: int) -> int:
    if descriptor < 0:
        return 0
    n_bytes = array.array("i", [0])
    try:
        fcntl.ioctl(descriptor, request, n_bytes)
    except OSError:
        return 0
    return n_bytes[0]
