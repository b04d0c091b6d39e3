"""Structured logging: one line of key=value pairs per event, on top of `logging`.

Modules call `log_event` and do not format log lines themselves.
"""

import logging
import sys
from typing import Any, Final

from .hashing import hash_text

LOG_FORMAT: Final = "time=%(asctime)s level=%(levelname)s part=%(name)s %(message)s"

MAX_VALUE_CHARS: Final = 2_048  # of one value; most come from callers and servers
MAX_KEYS: Final = 1_024  # remembered by one `OnceLog`


def format_pairs(pairs: dict[str, Any]) -> str:
    """Formats pairs as key=value; quotes values that contain blanks, quotes or `=`."""
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    text = text[:MAX_VALUE_CHARS]
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **pairs: Any
) -> None:
    """Logs an event as one line.

    Args:
        logger: the logger of the calling module.
        event: name of the event, in snake case.
        level: log level as defined by `logging`.
        **pairs: additional keys and values.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", format_pairs({"event": event, **pairs}))


class OnceLog:
    """Logs an event once for each key, of which the last `MAX_KEYS` are remembered.

    Args:
        logger: the logger of the calling module.
        event: name of the event, in snake case.

    Attributes:
        n_noted: how often the event happened.
    """

    def __init__(self, *, logger: logging.Logger, event: str) -> None:
        self.n_noted = 0
        self._logger = logger
        self._event = event
        self._keys: dict[int, None] = {}  # hashes, in order of entry

    def note(self, key: str, **pairs: Any) -> None:
        """Counts the event; logs a warning if the key is new."""
        self.n_noted += 1
        digest = hash_text(key)
        if digest in self._keys:
            return
        self._keys[digest] = None
        if len(self._keys) > MAX_KEYS:
            del self._keys[next(iter(self._keys))]
        log_event(
            self._logger, self._event, logging.WARNING, **pairs, n_noted=self.n_noted
        )

    def forget(self, key: str) -> None:
        """Logs the event again when it next happens for a key."""
        self._keys.pop(hash_text(key), None)


def configure_logging(*, level: str) -> None:
    """Sends log lines at or above the given level to standard error."""
    logging.basicConfig(
        stream=sys.stderr, level=level.upper(), format=LOG_FORMAT, force=True
    )
