"""The baseline against which the relay is measured: a thread per stream.

In this cheroot server, each thread copies one engine's answer to one caller and adds
an event id to each event, as the relay does.
"""

import itertools
import threading
from collections.abc import Iterator
from typing import Any, Final

import urllib3
from cheroot.wsgi import Server

from ..endpoints import split_endpoint

REQUEST_QUEUE: Final = 512


def make_application(engines: list[str]) -> Any:
    """Makes the WSGI application that forwards requests to the engines in turn."""
    pool = urllib3.PoolManager(maxsize=1_000, num_pools=100, retries=False)
    engine_cycle = itertools.cycle(engines)
    lock = threading.Lock()

    def relay(environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        with lock:
            engine = next(engine_cycle)
        response = pool.request(
            "POST",
            f"http://{engine}/v1/completions",
            body=body,
            preload_content=False,
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        buffer, n = b"", 0
        for chunk in response.stream(4_096):
            buffer += chunk
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                n += 1
                yield b"id: x.%d\n%s\n\n" % (n, event)

    return relay


def serve_threaded(address: str, engines: list[str], n_threads: int) -> None:
    """Runs the baseline server until the process ends."""
    server = Server(
        split_endpoint(address),
        make_application(engines),
        numthreads=n_threads,
        request_queue_size=REQUEST_QUEUE,
    )
    server.safe_start()
