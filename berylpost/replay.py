"""Runs recorded decisions through the current policies and compares the outcomes.

A trace is a JSON Lines file in the format that `recording` writes, with the members
decision, now, inputs and outcome. The recorded outcomes are the expected values: a
difference means that a policy no longer decides as it did when the trace was accepted.
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final, TypeVar

import msgspec

from .configuration import Customer
from .errors import SettingsError
from .policy.admission import Load, Usage, decide_admission
from .policy.concurrency import Limit, take_sample
from .policy.ledger import Record, decide_intent
from .policy.reclaim import OpenStream, plan_reclaim
from .policy.routing import Replica, build_ring, choose_replica
from .recording import to_plain_value

T = TypeVar("T")


def _convert(value: Any, kind: type[T]) -> T:
    if isinstance(value, dict):
        value = {k: v for k, v in value.items() if k != "type"}
    return msgspec.convert(value, kind)


def _replay_admission(inputs: dict[str, Any], now: float) -> Any:
    return decide_admission(
        customer=_convert(inputs["customer"], Customer),
        usage=_convert(inputs["usage"], Usage),
        weights=inputs["weights"],
        load=_convert(inputs["load"], Load),
        patience_s=inputs["patience_s"],
        now=now,
    )


def _replay_reclaim(inputs: dict[str, Any], _: float) -> Any:
    streams = [_convert(s, OpenStream) for s in inputs["streams"]]
    return plan_reclaim(streams, left_s=inputs["left_s"], can_move=inputs["can_move"])


def _replay_routing(inputs: dict[str, Any], now: float) -> Any:
    replicas = {r["id"]: _convert(r, Replica) for r in inputs["replicas"]}
    choice = choose_replica(
        build_ring(sorted(replicas)),
        replicas,
        prefix_key=inputs["prefix_key"],
        prompt_chars=inputs["prompt_chars"],
        own=inputs["own"],
        limits=inputs["limits"],
        cached_chars=inputs["cached_chars"],
        n_daemons=inputs["n_daemons"],
        excluded=frozenset(inputs["excluded"]),
        now=now,
    )
    return choice.replica.id if choice else None


def _replay_intent(inputs: dict[str, Any], now: float) -> Any:
    record = inputs["record"]
    return decide_intent(
        _convert(record, Record) if record else None,
        request=inputs["request"],
        digest=inputs["digest"],
        issued_at=inputs["issued_at"],
        now=now,
        retention_s=inputs["retention_s"],
        holder_alive=inputs["holder_alive"],
    )


def _replay_limit(inputs: dict[str, Any], now: float) -> Any:
    return take_sample(
        _convert(inputs["limit"], Limit),
        first_token_s=inputs["first_token_s"],
        target_s=inputs["target_s"],
        own=inputs["own"],
        now=now,
    )


REPLAY_FUNCTIONS: Final[dict[str, Callable[[dict[str, Any], float], Any]]] = {
    "admission": _replay_admission,
    "reclaim": _replay_reclaim,
    "choose_replica": _replay_routing,
    "intent": _replay_intent,
    "limit": _replay_limit,
}

# Recorded for information only: the inputs, the state of a whole pool, are not kept.
NOT_REPLAYABLE: Final = frozenset({"routing"})


def replay_lines(lines: Iterator[bytes]) -> list[str]:
    """Replays the records of a trace.

    Returns:
        A description of each difference; empty if all outcomes agree.

    Raises:
        SettingsError: a line is not a valid record.
    """
    differences: list[str] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            record = msgspec.json.decode(line)
            decision, now = record["decision"], float(record["now"])
            if decision in NOT_REPLAYABLE:
                continue
            outcome = to_plain_value(REPLAY_FUNCTIONS[decision](record["inputs"], now))
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise SettingsError(
                f"line {number}: not a valid decision record: {error!r}"
            ) from error
        recorded = record["outcome"]
        current = msgspec.json.decode(msgspec.json.encode(outcome))
        if current != recorded:
            differences.append(
                f"line {number}: {decision}: {describe_difference(recorded, current)}"
            )
    return differences


def describe_difference(recorded: Any, current: Any, path: str = "$") -> str:
    """Describes the first difference between two JSON values, with its path."""
    if isinstance(recorded, dict) and isinstance(current, dict):
        for key in sorted(recorded.keys() | current.keys()):
            if recorded.get(key) != current.get(key):
                return describe_difference(
                    recorded.get(key), current.get(key), f"{path}.{key}"
                )
    if (
        isinstance(recorded, list)
        and isinstance(current, list)
        and len(recorded) == len(current)
    ):
        for index, (left, right) in enumerate(zip(recorded, current, strict=True)):
            if left != right:
                return describe_difference(left, right, f"{path}[{index}]")
    return f"{path}: recorded {recorded!r}, now {current!r}"


def replay_file(path: Path) -> list[str]:
    """Replays a trace file; see `replay_lines`."""
    try:
        with path.open("rb") as file:
            return replay_lines(iter(file))
    except OSError as error:
        raise SettingsError(f"{path}: {error}") from error
