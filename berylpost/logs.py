"""Structured logging: one line of key=value pairs per event, on top of `logging`.

Modules call `log_event` and do not format log lines themselves.
"""

import logging
import sys
from typing import Any, Final

LOG_FORMAT: Final = "time=%(asctime)s level=%(levelname)s part=%(name)s %(message)s"


def format_pairs(pairs: dict[str, Any]) -> str:
    """Formats pairs as key=value; quotes values that contain blanks, quotes or `=`."""
    return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def _format_value(value: Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
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


def configure_logging(*, level: str) -> None:
    """Sends log lines at or above the given level to standard error."""
    logging.basicConfig(
        stream=sys.stderr, level=level.upper(), format=LOG_FORMAT, force=True
    )
