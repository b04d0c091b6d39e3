"""Callers of the product's own interface with sockets of their own."""

import itertools
import select
import socket
import time

import httptools
import msgspec
from steps.shared import MODEL

PART_S = 0.2  # between the two parts of what a caller sends
STREAM_TOKENS = 150
ANSWER_S = 15.0
_numbers = itertools.count()


class Caller:
    """A caller with a socket of its own.

    Attributes:
        result: `answered`, `closed` before its last byte was sent, or `lost`.
        detail: what it saw, for the report of a failure.
    """

    def __init__(self, address, *, receive_bytes=0):
        host, port = address.split(":")
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.settimeout(ANSWER_S)
        self.sock.connect((host, int(port)))
        self.result = "lost"
        self.detail = ""
        self.keeps = True
        self._status = 0
        self._n_complete = 0
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self._status = self._parser.get_status_code()
        self.keeps = self._parser.should_keep_alive()

    def on_message_complete(self):
        self._n_complete += 1

    def is_closed(self):
        """Tells whether the daemon has closed the connection without an answer."""
        if not select.select([self.sock], [], [], 0)[0]:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def ask(self, *parts, pause_s=PART_S, read_later_s=0.0):
        """Sends a request in parts and reads its answer."""
        *first, last = parts
        try:
            for part in first:
                self.sock.sendall(part)
                time.sleep(pause_s)
            if self.is_closed():
                self.result = "closed"
                return
            self.sock.sendall(last)
        except OSError:
            self.result = "closed"  # before the last byte was sent
            return
        time.sleep(read_later_s)
        self._read()

    def _read(self):
        n_before = self._n_complete
        n_bytes = 0
        self._status = 0
        self.result = "lost"
        began_at = time.monotonic()
        try:
            while self._n_complete == n_before:
                data = self.sock.recv(65_536)
                if not data:
                    self.detail = f"closed, {n_bytes} bytes, status {self._status}"
                    return
                n_bytes += len(data)
                self._parser.feed_data(data)
        except OSError as error:
            waited_s = time.monotonic() - began_at
            self.detail = f"{error!r}, {n_bytes} bytes after {waited_s:.2f} s"
            return
        self.result = "answered"
        self.detail = str(self._status)


def render(method, path, document=None, headers=()):
    """Renders a customer's request as its head and its body."""
    body = b"" if document is None else msgspec.json.encode(document)
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: daemon",
        "Authorization: Bearer weighbridge-token",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n", body


def render_call():
    return render("PUT", f"/v1/services/intake/item/{next(_numbers)}", {"text": "x"})


def render_deferred():
    document = {"model": MODEL, "prompt": "x", "max_tokens": 5}
    headers = (f"Idempotency-Key: late-{next(_numbers)}", "Prefer: respond-async")
    return render("POST", "/v1/completions", document, headers)


def render_booking():
    key = f"booking-{next(_numbers)}"
    path = "/v1/services/intake/bookings"
    headers = (f"Idempotency-Key: {key}",)
    return render("POST", path, {"reference": key}, headers)


def render_stream():
    document = {
        "model": MODEL,
        "prompt": f"stream {next(_numbers)}",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    return render("POST", "/v1/completions", document, ("Prefer: wait=30",))


def render_list():
    return render("GET", "/v1/services/intake/bookings")
