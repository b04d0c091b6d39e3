"""Calls to model engines beside the requests that they serve."""

from dataclasses import dataclass
from typing import Final

import msgspec

from ..edge.http_channel import HttpChannel
from ..edge.model import Endpoint
from ..errors import LostAnswerError, PlatformError

MOVE_PATH: Final = "/v1/kv-move"


class _Moved(msgspec.Struct, frozen=True, rename="pascal"):
    """`CreateRevision` here is the number of events made, not a revision."""

    handle: str
    create_revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MovedRun:
    """A run that was stopped and whose KV cache can be taken up once.

    Attributes:
        handle: names the cache at the engine that ran it.
        n_events: events made so far.
        copied: whether the cache is at the other engine, else only at the first.
    """

    handle: str
    n_events: int
    copied: bool


async def move_run(
    channel: HttpChannel, run_id: str, to: Endpoint, *, timeout_s: float
) -> MovedRun | None:
    """Stops a run and copies its KV cache to another engine.

    Args:
        channel: to the engine that runs it.
        run_id: id of the request.
        to: the other engine.
        timeout_s: for the whole copy.

    Returns:
        None when the engine has no such run or is moving it already.

    Raises:
        PlatformError: not connected or refused; the run goes on.
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
        moved = msgspec.json.decode(answer.body, type=_Moved)
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


class _Report(msgspec.Struct, frozen=True):
    """The parts of an engine's report that are used."""

    state: str = msgspec.field(default="", name="State")
    leaves_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineNotice:
    """What an engine itself says of its end; `leaves_in_s` None when not known."""

    leaving: bool
    leaves_in_s: float | None


async def read_notice(channel: HttpChannel, *, timeout_s: float) -> EngineNotice:
    """Asks an engine whether it is leaving; priced as a probe.

    Raises:
        PlatformError: it did not answer, or not in a form that can be read.
    """
    answer = await channel.call("GET", REPORT_PATH, timeout_s=timeout_s)
    if answer.status != 200:
        raise PlatformError(f"GET {REPORT_PATH}: status {answer.status}")
    try:
        report = msgspec.json.decode(answer.body, type=_Report)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"GET {REPORT_PATH}: {error}") from error
    leaves_in_s = None if report.leaves_ms is None else report.leaves_ms / 1_000
    return EngineNotice(
        leaving=report.state == "draining" or leaves_in_s is not None,
        leaves_in_s=leaves_in_s,
    )
