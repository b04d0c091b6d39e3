"""Calls to model engines, apart from customers' requests."""

from dataclasses import dataclass
from typing import Final

import msgspec

from ..edge.http_channel import HttpChannel
from ..edge.model import Endpoint
from ..errors import LostAnswerError, PlatformError

MOVE_PATH: Final = "/v1/kv-move"


class _MoveResponse(msgspec.Struct, frozen=True, rename="pascal"):
    """Response to a move.

    `CreateRevision` is the number of events that the run generated, not a revision.
    """

    handle: str
    create_revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MovedRun:
    """A stopped run whose KV cache can be used once to continue it.

    Attributes:
        handle: name of the KV cache at the engine that ran the request.
        n_events: number of events that the run generated.
        copied: whether the KV cache was copied to the other engine; if not, only the
            first engine has it.
    """

    handle: str
    n_events: int
    copied: bool


async def move_run(
    channel: HttpChannel, run_id: str, to: Endpoint, *, timeout_s: float
) -> MovedRun | None:
    """Stops a run and copies its KV cache to another engine.

    Args:
        channel: connection to the engine that runs the request.
        run_id: id of the request.
        to: address of the other engine.
        timeout_s: limit for the whole copy.

    Returns:
        The stopped run, or None if the engine has no such run or is already moving it.

    Raises:
        PlatformError: the call did not connect or was refused; the run continues.
        LostAnswerError: the run may have been stopped.
    """
    document = {"Id": run_id, "To": str(to), "Last": True}
    answer = await channel.call(
        "POST", MOVE_PATH, timeout_s=timeout_s, body=msgspec.json.encode(document)
    )
    if answer.status in (404, 409):
        return None
    if answer.status not in (200, 503):
        raise PlatformError(f"POST {MOVE_PATH}: status {answer.status}")
    try:
        moved = msgspec.json.decode(answer.body, type=_MoveResponse)
    except msgspec.MsgspecError as error:
        if answer.status == 503:
            raise PlatformError(f"POST {MOVE_PATH}: refused") from error
        raise LostAnswerError(f"POST {MOVE_PATH}: {error}") from error
    return MovedRun(
        handle=moved.handle,
        n_events=moved.create_revision,
        copied=answer.status == 200,
    )


REPORT_PATH: Final = "/v1/report"


class _EngineReport(msgspec.Struct, frozen=True):
    """The fields of an engine's report that are used."""

    state: str = msgspec.field(default="", name="State")
    leaves_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineNotice:
    """An engine's report on whether it is leaving.

    Attributes:
        leaving: whether it is leaving.
        leaves_in_s: time left until it stops; None if unknown.
    """

    leaving: bool
    leaves_in_s: float | None


async def read_notice(channel: HttpChannel, *, timeout_s: float) -> EngineNotice:
    """Asks an engine whether it is leaving; the call is priced as a probe.

    Raises:
        PlatformError: the engine did not respond, or the response cannot be decoded.
    """
    answer = await channel.call("GET", REPORT_PATH, timeout_s=timeout_s)
    if answer.status != 200:
        raise PlatformError(f"GET {REPORT_PATH}: status {answer.status}")
    try:
        report = msgspec.json.decode(answer.body, type=_EngineReport)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"GET {REPORT_PATH}: {error}") from error
    leaves_in_s = None if report.leaves_ms is None else report.leaves_ms / 1_000
    return EngineNotice(
        leaving=report.state == "draining" or leaves_in_s is not None,
        leaves_in_s=leaves_in_s,
    )
