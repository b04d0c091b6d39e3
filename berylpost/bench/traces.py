"""Makes the small decision traces of both users that the tests replay.

`python -m berylpost.bench.traces DIRECTORY` writes them again, with fixed seeds. A
trace contains the expected outcomes. It is regenerated only after an intended change
of a policy, and the commit message names the outcomes that changed and the reason.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from ..configuration import Customer
from ..policy.admission import Load, Usage, decide_admission
from ..policy.concurrency import Limit, take_sample
from ..policy.ledger import KeyState, Record, decide_intent
from ..policy.reclaim import OpenStream, plan_reclaim
from ..policy.routing import Replica, build_ring, choose_replica, hash_prefix
from ..recording import to_plain_value

N_RECORDS: Final = 240


@dataclass(frozen=True, slots=True, kw_only=True)
class User:
    """The parameters of a user's trace.

    Attributes:
        tokens: least and greatest number of tokens of an answer.
        prompt_chars: least and greatest number of characters of a prompt.
    """

    name: str
    seed: int
    n_replicas: int
    customers: tuple[Customer, ...]
    tokens: tuple[int, int]
    prompt_chars: tuple[int, int]
    patience_s: float


USERS: Final = (
    User(
        name="darling-downs",
        seed=11,
        n_replicas=6,
        customers=(
            Customer(name="weighbridge", tokens=(), weight=3.0, priority=1),
            Customer(name="licence-desk", tokens=(), weight=4.0, priority=7),
            Customer(name="plant-one", tokens=(), weight=1.0, rate=20.0),
            Customer(name="plant-two", tokens=(), weight=1.0, concurrency=12),
            Customer(name="audit", tokens=(), weight=0.5, priority=9),
        ),
        tokens=(60, 900),
        prompt_chars=(800, 30_000),
        patience_s=30.0,
    ),
    User(
        name="serenamar",
        seed=23,
        n_replicas=5,
        customers=(
            Customer(name="listeners", tokens=(), weight=6.0, priority=1),
            Customer(name="premium", tokens=(), weight=3.0, priority=0),
            Customer(name="tagging", tokens=(), weight=1.0, priority=8),
            Customer(name="partners", tokens=(), weight=1.0, rate=5.0),
            Customer(name="trial", tokens=(), weight=0.5, concurrency=8),
        ),
        tokens=(120, 320),
        prompt_chars=(300, 1_500),
        patience_s=1.3,
    ),
)

Step = Callable[[User, random.Random, float], tuple[dict[str, Any], Any]]


def _step_admission(
    user: User, random_state: random.Random, now: float
) -> tuple[dict[str, Any], Any]:
    inputs: dict[str, Any] = {
        "customer": random_state.choice(user.customers),
        "usage": Usage(
            running=random_state.randrange(20),
            queued=random_state.randrange(30),
            bucket=random_state.random() * 5,
            filled_at=now - random_state.random(),
        ),
        "weights": {c.name: c.weight for c in user.customers},
        "load": Load(
            running=random_state.randrange(100),
            queued=random_state.randrange(60),
            capacity=16.0 * user.n_replicas,
            service_s=round(random_state.uniform(1, 12), 3),
            max_streams=160,
            max_queue=200,
        ),
        "patience_s": user.patience_s,
    }
    return inputs, decide_admission(**inputs, now=now)


def _step_reclaim(
    user: User, random_state: random.Random, _now: float
) -> tuple[dict[str, Any], Any]:
    streams = [
        OpenStream(
            id=f"s{i}",
            n_context=random_state.randint(*user.prompt_chars) // 4,
            n_left=random_state.randint(1, user.tokens[1]),
            token_s=round(random_state.uniform(0.02, 0.05), 4),
        )
        for i in range(random_state.randrange(1, 10))
    ]
    inputs: dict[str, Any] = {
        "streams": streams,
        "left_s": round(random_state.uniform(0.2, 30), 3),
        "can_move": random_state.random() < 0.7,
    }
    return inputs, plan_reclaim(
        streams, left_s=inputs["left_s"], can_move=inputs["can_move"]
    )


def _step_route(
    user: User, random_state: random.Random, now: float
) -> tuple[dict[str, Any], Any]:
    replicas = [
        Replica(
            id=f"vm-{i}",
            address=f"10.0.0.{i}:8000",
            name="m",
            reported=random_state.randrange(20),
            reported_at=now - random_state.uniform(0, 5),
            reported_own=random_state.randrange(5),
        )
        for i in range(user.n_replicas)
    ]
    names = [replica.id for replica in replicas]
    prompt = f"shared prefix {random_state.randrange(8)}"
    inputs: dict[str, Any] = {
        "prefix_key": hash_prefix(prompt),
        "prompt_chars": random_state.randint(*user.prompt_chars),
        "own": {name: random_state.randrange(16) for name in names},
        "limits": {name: 16.0 for name in names},
        "cached_chars": {random_state.choice(names): 512},
        "n_daemons": 3,
        "excluded": sorted(
            {random_state.choice(names) for _ in range(random_state.randrange(3))}
        ),
    }
    choice = choose_replica(
        build_ring(sorted(names)),
        {replica.id: replica for replica in replicas},
        prefix_key=inputs["prefix_key"],
        prompt_chars=inputs["prompt_chars"],
        own=inputs["own"],
        limits=inputs["limits"],
        cached_chars=inputs["cached_chars"],
        n_daemons=3,
        excluded=frozenset(inputs["excluded"]),
        now=now,
    )
    return {"replicas": replicas, **inputs}, choice.replica.id if choice else None


def _step_intent(
    _user: User, random_state: random.Random, now: float
) -> tuple[dict[str, Any], Any]:
    record = None
    if random_state.random() < 0.8:
        record = Record(
            state=random_state.choice(list(KeyState)),
            time=now - random_state.uniform(0, 5_000),
            request=random_state.choice("ab"),
            holder="dd-1",
            digest=random_state.choice(["same", "other"]),
        )
    inputs: dict[str, Any] = {
        "record": record,
        "request": random_state.choice("ab"),
        "digest": "same",
        "issued_at": random_state.choice([None, now - 10, now - 9_000]),
        "retention_s": 3_600.0,
        "holder_alive": random_state.random() < 0.5,
    }
    return inputs, decide_intent(**inputs, now=now)


def _step_limit(
    _user: User, random_state: random.Random, now: float
) -> tuple[dict[str, Any], Any]:
    inputs: dict[str, Any] = {
        "limit": Limit(
            value=round(random_state.uniform(1, 32), 3),
            ceiling=32.0,
            shrunk_at=now - random_state.uniform(0, 1),
        ),
        "first_token_s": random_state.choice(
            [None, round(random_state.uniform(0.05, 2), 3)]
        ),
        "target_s": 1.3,
        "own": random_state.randrange(32),
    }
    return inputs, take_sample(**inputs, now=now)


STEPS: Final[dict[str, Step]] = {
    "admission": _step_admission,
    "reclaim": _step_reclaim,
    "choose_replica": _step_route,
    "intent": _step_intent,
    "limit": _step_limit,
}


def make_trace(user: User) -> list[bytes]:
    """Makes the records of one user's trace."""
    random_state = random.Random(user.seed)
    lines = []
    now = 1_000.0
    for _ in range(N_RECORDS):
        now += round(random_state.expovariate(2.0), 3)
        decision = random_state.choice(sorted(STEPS))
        inputs, outcome = STEPS[decision](user, random_state, now)
        record = {
            "decision": decision,
            "now": now,
            "inputs": to_plain_value(inputs),
            "outcome": to_plain_value(outcome),
        }
        lines.append(msgspec.json.encode(record))
    return lines


def main() -> int:
    """Writes one trace for each user."""
    directory = Path(sys.argv[1])
    for user in USERS:
        path = directory / f"{user.name}.jsonl"
        path.write_bytes(b"\n".join(make_trace(user)) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
