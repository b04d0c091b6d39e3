"""Moves KV cache between engines in threads other than the relay's.

A failed move only costs the recomputation of tokens, so errors are logged here and
not raised.
"""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import urllib3

from .http_pools import make_pool
from .logs import log_event
from .upstream import post_json

LOGGER: Final = logging.getLogger(__name__)
N_THREADS: Final = 4
TIMEOUT_S: Final = 1.0

CacheMover = Callable[[str, str, str, Callable[[bool], None]], None]


def make_cache_mover() -> CacheMover:
    """Makes a function that moves a text's KV cache and reports to a callback."""
    pool = make_pool(
        maxsize=N_THREADS, retries=False, timeout=urllib3.Timeout(TIMEOUT_S)
    )
    executor = ThreadPoolExecutor(N_THREADS, thread_name_prefix="mover")

    def move(text: str, source: str, target: str, done: Callable[[bool], None]) -> None:
        try:
            exported = post_json(pool, source, "/kv/export", {"text": text})
            post_json(pool, target, "/kv/import", exported)
        except OSError as error:
            log_event(LOGGER, "move_failed", logging.WARNING, error=error)
            done(False)
            return
        done(True)

    def submit(
        text: str, source: str, target: str, done: Callable[[bool], None]
    ) -> None:
        executor.submit(move, text, source, target, done)

    return submit
