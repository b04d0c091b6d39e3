"""Loads that uncontrolled clients put on a daemon, and a daemon process to put them on.

A client whose connection is closed opens another one, as the callers of the platform
do. The loads keep to the limits that callers are told: 16,384 bytes of headers and
4,194,304 bytes of body.
"""

import asyncio
import contextlib
import os
import resource
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
RETURN_S = 0.2  # pause of a client whose connection was closed
ANSWER_TIMEOUT_S = 2.0  # of one try of the ordinary request
N_TRIES = 5  # with the time-out, below the idle time-out of 15 s
PIPELINE_BYTES = 262_144
# The least that the kernel allows, so that answers wait in the daemon.
RECEIVE_BYTES = 4_096


class Target:
    """What a client needs to know about a daemon.

    Args:
        address: where clients connect.
        ordinary: an ordinary request.
        read_head: first lines of a request without a body, without the empty line.
        write_head: the same for a request with a body.
        large_answer: a request with a large answer.
    """

    def __init__(self, *, address, ordinary, read_head, write_head, large_answer):
        self.address = address
        self.ordinary = ordinary
        self.read_head = read_head
        self.write_head = write_head
        self.large_answer = large_answer


def make_short_lines(head: bytes) -> bytes:
    """Fills a header section with the shortest lines that HTTP allows."""
    n_lines = (HEADER_BYTES - len(head) - 2) // len(b"a:\r\n")
    return head + b"a:\r\n" * n_lines


def make_unusual_lines(head: bytes) -> bytes:
    """Fills a header section with different unusual names."""
    lines, n_bytes = [head], len(head) + 2
    for number in range(HEADER_BYTES):
        line = b"~%x:\r\n" % number
        n_bytes += len(line)
        if n_bytes > HEADER_BYTES:
            break
        lines.append(line)
    return b"".join(lines)


def make_large_body(target: Target, number: int) -> Iterator[bytes]:
    """Yields a body in pieces; four of five stop before the last byte."""
    n_left = BODY_BYTES if number % 5 == 0 else BODY_BYTES - 1
    yield target.write_head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    piece_bytes = n_left if number % 2 else PIECE_BYTES
    while n_left:
        n_bytes = min(piece_bytes, n_left)
        yield b"x" * n_bytes
        n_left -= n_bytes


def make_pipeline(target: Target, number: int) -> Iterator[bytes]:
    """Yields many small requests at once."""
    request = target.read_head + b"\r\n"
    yield request * (PIPELINE_BYTES // len(request))


LOADS: dict[str, Callable[[Target, int], Iterator[bytes]]] = {
    "large bodies": make_large_body,
    "short header lines": lambda target, _number: iter(
        [make_short_lines(target.read_head) + b"\r\n"]
    ),
    "short header lines, open": lambda target, _number: iter(
        [make_short_lines(target.read_head)]
    ),
    "unusual names": lambda target, _number: iter(
        [make_unusual_lines(target.read_head) + b"\r\n"]
    ),
    "unusual names, open": lambda target, _number: iter(
        [make_unusual_lines(target.read_head)]
    ),
    "pipelined requests": make_pipeline,
    "unsent answers": lambda target, _number: iter([target.large_answer * 4]),
    "idle connections": lambda _target, _number: iter([]),
}


async def play_client(target: Target, load: str, number: int) -> None:
    """Plays one client until it is cancelled; it reads no answers."""
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            await loop.sock_connect(sock, target.address)
            for piece in LOADS[load](target, number):
                await loop.sock_sendall(sock, piece)
            await wait_closed(sock, reads="answers" not in load)
        await asyncio.sleep(RETURN_S)


async def wait_closed(sock: socket.socket, *, reads: bool) -> None:
    """Waits until the daemon closes the connection, or for ever if nothing is read."""
    loop = asyncio.get_running_loop()
    if not reads:
        await loop.create_future()
    while await loop.sock_recv(sock, PIECE_BYTES):
        pass


async def ask(target: Target, request: bytes) -> bytes:
    """Sends one request on a new connection; returns its answer, or what failed."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*target.address)
            writer.write(request)
            return await reader.read(PIECE_BYTES)
    except (OSError, TimeoutError) as error:
        return repr(error).encode()
    finally:
        if writer is not None:
            writer.transport.abort()


async def play(target: Target, load: str, n_clients: int, seconds: float) -> list:
    """Plays a load, then tries the ordinary request while the clients stay.

    Returns:
        The answers to the ordinary request, of which the last is the first success.
    """
    clients = [
        asyncio.create_task(play_client(target, load, number))
        for number in range(n_clients)
    ]
    await asyncio.sleep(seconds)
    answers = []
    for _ in range(N_TRIES):
        answers.append((await ask(target, target.ordinary))[:80])
        if b" 200 " in answers[-1] or b" 201 " in answers[-1]:
            break
        await asyncio.sleep(RETURN_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return answers


class ProcessWatcher:
    """Watches the memory and the descriptors of a process from a thread.

    Args:
        pid: id of the process.

    Attributes:
        most_mb: largest resident memory.
        most_descriptors: largest number of open descriptors.
    """

    def __init__(self, *, pid: int) -> None:
        self.most_mb = 0.0
        self.most_descriptors = 0
        self._pid = pid
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops watching."""
        self._stopped.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stopped.wait(0.02):
            with contextlib.suppress(OSError, StopIteration):
                status = Path(f"/proc/{self._pid}/status").read_text()
                line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
                self.most_mb = max(self.most_mb, int(line.split()[1]) * 1_024 / 1e6)
                n_open = len(os.listdir(f"/proc/{self._pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, n_open)


@contextlib.contextmanager
def limited_descriptors(n_descriptors: int) -> Iterator[None]:
    """Limits the descriptors of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (n_descriptors, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
