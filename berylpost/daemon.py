"""The daemon process: loads the settings, starts the kernel and waits for its end.

Only `berylpost serve` imports this module, and it does so without the other commands,
since its memory use counts on every VM.
"""

import argparse
import logging
import signal
import sys
import threading
from pathlib import Path
from typing import Final

from . import (  # noqa: F401  importing registers the plug-ins
    backends,
    configurations,
    drain,
    ledger,
    peers,
    planner,
    relay,
    server_paths,
    services,
    web,
)
from .drain import DrainState, PlannedStop
from .errors import SettingsError
from .invariants import set_fatal
from .kernel import Kernel
from .logs import configure_logging, log_event
from .settings import Settings, load_settings

LOGGER: Final = logging.getLogger(__name__)
POLL_S: Final = 0.2
LINGER_S: Final = 0.5  # time to send the last messages before the sockets close
# A tenth of the interpreter's default. A thread waits as long for each thread that
# parses, at each of some 20 blocking calls for one request.
SWITCH_INTERVAL_S: Final = 0.0005


def run_daemon(settings: Settings, stopped: threading.Event) -> None:
    """Runs a daemon until its drain is complete or `stopped` is set."""
    set_fatal(fatal=settings.fatal_invariants)
    kernel = Kernel(settings=settings)
    asked, started = threading.Event(), threading.Event()

    def handle_signal(_signal: int, _frame: object) -> None:
        # The first signal starts a planned stop; a second one ends the daemon at once.
        if asked.is_set():
            stopped.set()
        asked.set()
        if started.is_set():
            kernel.context.post("drain", PlannedStop())

    # Before callers can connect, which the signal would reset without a handler.
    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGTERM, handle_signal)
        signal.signal(signal.SIGINT, handle_signal)
    kernel.start()
    started.set()
    if asked.is_set():
        kernel.context.post("drain", PlannedStop())
    log_event(
        LOGGER,
        "daemon_started",
        daemon=settings.daemon.id,
        zone=settings.daemon.zone,
        http=settings.listen.http,
    )

    while not stopped.wait(POLL_S):
        if kernel.context.slots["drain"].read() is DrainState.LEFT:
            stopped.wait(LINGER_S)
            break
    kernel.stop()
    counts = kernel.context.account.export_counts()
    log_event(LOGGER, "daemon_stopped", daemon=settings.daemon.id, **counts)


def main(arguments: list[str]) -> int:
    """Runs `berylpost serve`.

    Returns:
        0 after a planned stop, 2 for bad settings.
    """
    parser = argparse.ArgumentParser(prog="berylpost serve")
    parser.add_argument("-c", "--config", required=True, type=Path)
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.config)
        configure_logging(level=settings.log_level)
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        run_daemon(settings, threading.Event())
    except SettingsError as error:
        print(f"berylpost serve: {error}", file=sys.stderr)
        return 2
    return 0
