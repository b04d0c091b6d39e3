"""Records decisions with inputs and outcome as JSON Lines; off unless a path is set.

Records contain no payloads: prompts and answers are never recorded, only their lengths
and keys. The number of bytes is limited; when the limit is reached, recording stops
and logs a warning.
"""

import logging
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from .logs import log_event
from .policy.routing import Choice
from .settings import RecordingSettings
from .streams import StreamRequest

LOGGER: Final = logging.getLogger(__name__)


def to_plain_value(value: Any) -> Any:
    """Converts a value to plain JSON values; a data class includes its type's name."""
    if is_dataclass(value) and not isinstance(value, type):
        names = [f.name for f in fields(value)]
        return {
            "type": type(value).__name__,
            **{name: to_plain_value(getattr(value, name)) for name in names},
        }
    if isinstance(value, msgspec.Struct):
        return msgspec.to_builtins(value)
    if isinstance(value, dict):
        return {str(k): to_plain_value(v) for k, v in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain_value(v) for v in value]
    if isinstance(value, (set, frozenset)):
        return sorted(to_plain_value(v) for v in value)
    return value


class Recorder:
    """Appends decision records to a file until `max_bytes` is reached."""

    def __init__(self, *, settings: RecordingSettings) -> None:
        self._remaining_bytes = settings.max_bytes if settings.path else 0
        self._file = Path(settings.path).open("ab") if settings.path else None

    def record(
        self, decision: str, *, now: float, inputs: dict[str, Any], outcome: Any
    ) -> None:
        """Writes one decision.

        Args:
            decision: name of the policy, as registered in `replay`.
            now: time of the decision, monotonic seconds.
            inputs: keyword arguments of the policy function.
            outcome: its return value.
        """
        if self._file is None:
            return
        line = msgspec.json.encode(
            {
                "decision": decision,
                "now": now,
                "inputs": to_plain_value(inputs),
                "outcome": to_plain_value(outcome),
            }
        )
        self._remaining_bytes -= len(line) + 1
        if self._remaining_bytes < 0:
            log_event(LOGGER, "recording_full", logging.WARNING)
            self._file.close()
            self._file = None
            return
        self._file.write(line + b"\n")
        self._file.flush()

    def record_routing(
        self, request: StreamRequest, choice: Choice, now: float
    ) -> None:
        """Writes a routing decision without the replicas and loads it was made from.

        They are the state of the whole pool.
        """
        if self._file is None:
            return
        self.record(
            "routing",
            now=now,
            inputs={"request": request.id, "prompt_chars": len(request.prompt)},
            outcome={
                "replica": choice.replica.id,
                "predicted_s": choice.predicted_s,
                "reason": choice.reason,
            },
        )
