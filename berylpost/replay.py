"""Runs recorded decisions through today's policies and compares the outcomes.

A trace is JSON Lines as `recording` writes them: decision, now, inputs, outcome.
Its outcomes are stated, not recomputed: a difference means that a policy decides
otherwise than it did when the trace was accepted.
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


def _load(value: Any, kind: type[T]) -> T:
    if isinstance(value, dict):
        value = {k: v for k, v in value.items() if k != "type"}
    return msgspec.convert(value, kind)


def _replay_admission(inputs: dict[str, Any], now: float) -> Any:
    return decide_admission(
        customer=_load(inputs["customer"], Customer),
        usage=_load(inputs["usage"], Usage),
        weights=inputs["weights"],
        load=_load(inputs["load"], Load),
        patience_s=inputs["patience_s"],
        now=now,
    )


def _replay_reclaim(inputs: dict[str, Any], _: float) -> Any:
    streams = [_load(s, OpenStream) for s in inputs["streams"]]
    return plan_reclaim(streams, left_s=inputs["left_s"], can_move=inputs["can_move"])


def _replay_route(inputs: dict[str, Any], now: float) -> Any:
    replicas = {r["id"]: _load(r, Replica) for r in inputs["replicas"]}
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
        _load(record, Record) if record else None,
        request=inputs["request"],
        digest=inputs["digest"],
        issued_at=inputs["issued_at"],
        now=now,
        retention_s=inputs["retention_s"],
        holder_alive=inputs["holder_alive"],
    )


def _replay_limit(inputs: dict[str, Any], now: float) -> Any:
    return take_sample(
        _load(inputs["limit"], Limit),
        first_token_s=inputs["first_token_s"],
        target_s=inputs["target_s"],
        own=inputs["own"],
        now=now,
    )


REPLAYERS: Final[dict[str, Callable[[dict[str, Any], float], Any]]] = {
    "admission": _replay_admission,
    "reclaim": _replay_reclaim,
    "choose_replica": _replay_route,
    "intent": _replay_intent,
    "limit": _replay_limit,
}

# Recorded for people; the inputs are a whole pool and are not kept.
UNREPLAYED: Final = frozenset({"routing"})


def replay_lines(lines: Iterator[bytes]) -> list[str]:
    """Replays records.

    Returns:
        One readable line for each difference, empty when all agree.

    Raises:
        SettingsError: a line that is no record.
    """
    differences: list[str] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            record = msgspec.json.decode(line)
            decision, now = record["decision"], float(record["now"])
            if decision in UNREPLAYED:
                continue
            outcome = to_plain_value(REPLAYERS[decision](record["inputs"], now))
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise SettingsError(f"line {number}: not a record: {error!r}") from error
        stated = record["outcome"]
        got = msgspec.json.decode(msgspec.json.encode(outcome))
        if got != stated:
            differences.append(
                f"line {number}: {decision}: {describe_difference(stated, got)}"
            )
    return differences


def describe_difference(stated: Any, got: Any, path: str = "$") -> str:
    """Names the first place where two JSON values differ."""
    if isinstance(stated, dict) and isinstance(got, dict):
        for key in sorted(stated.keys() | got.keys()):
            if stated.get(key) != got.get(key):
                return describe_difference(
                    stated.get(key), got.get(key), f"{path}.{key}"
                )
    if isinstance(stated, list) and isinstance(got, list) and len(stated) == len(got):
        for place, (left, right) in enumerate(zip(stated, got, strict=True)):
            if left != right:
                return describe_difference(left, right, f"{path}[{place}]")
    return f"{path}: stated {stated!r}, now {got!r}"


def replay_file(path: Path) -> list[str]:
    """Replays a trace file; see `replay_lines`."""
    try:
        with path.open("rb") as file:
            return replay_lines(iter(file))
    except OSError as error:
        raise SettingsError(f"{path}: {error}") from error
