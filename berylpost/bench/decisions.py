"""Measures the time of one decision and the memory of one unit of state, by size.

Only pure functions and objects are measured, in this process. Times are medians over
many calls.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final

from ..configuration import Customer
from ..messages import Backend, Member, Outcome
from ..policy.admission import Load, Usage, decide_admission
from ..policy.ledger import KeyState, Record, Verdict, decide_intent
from ..policy.membership import Rules, advance, make_table, merge_members
from ..policy.routing import Replica, build_ring, choose_replica, hash_prefix
from ..pools import Pool
from ..streams import Stream, StreamRequest
from .catalogue import Result

REPLICA_SIZES: Final = (100, 1_111, 10_000)
MEMBER_SIZES: Final = (32, 122, 300)
ROUTING_BOUND_US: Final = 50.0  # bound from the design, for 1,111 replicas
N_CALLS: Final = 2_000
ANSWER_TOKENS: Final = 211


def measure_us(call: Callable[[int], object], n_calls: int = N_CALLS) -> float:
    """Returns the median time of a call in microseconds."""
    times = []
    for n in range(n_calls):
        started = time.perf_counter_ns()
        call(n)
        times.append(time.perf_counter_ns() - started)
    return statistics.median(times) / 1_000


def measure_bytes(make: Callable[[], object], n_units: int) -> float:
    """Returns the bytes of memory that each of `n_units` takes."""
    tracemalloc.start()
    state = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size / n_units


def make_replicas(n: int) -> dict[str, Replica]:
    """Makes replicas with random reported loads, as a pool keeps them."""
    random_state = random.Random(1)
    return {
        f"vm-engine-{i}": Replica(
            id=f"vm-engine-{i}",
            address=f"127.0.0.1:{10_000 + i}",
            name="m",
            reported=random_state.randrange(20),
        )
        for i in range(n)
    }


def measure_routing(n: int) -> dict[str, float]:
    """Measures one routing decision among `n` replicas."""
    replicas = make_replicas(n)
    ring = build_ring(sorted(replicas))
    own = {name: 3 for name in list(replicas)[: min(n, 400)]}
    limits = {name: 16.0 for name in replicas}

    def choose(call: int) -> object:
        return choose_replica(
            ring,
            replicas,
            prefix_key=hash_prefix(f"prompt {call}"),
            prompt_chars=2_000,
            own=own,
            limits=limits,
            cached_chars={},
            n_daemons=100,
            excluded=frozenset(),
            now=100.0,
        )

    def make_state() -> object:
        new_replicas = make_replicas(n)
        return new_replicas, build_ring(sorted(new_replicas))

    return {"us": measure_us(choose), "bytes_a_replica": measure_bytes(make_state, n)}


def measure_pool(n: int) -> dict[str, float]:
    """Measures a pool's work for one request: capacity check, choice and accounting."""
    pool = Pool(deployment="d", model="m")
    backends = [
        Backend(
            id=f"vm-engine-{i}",
            role="engine",
            name="m",
            deployment="d",
            address=f"127.0.0.1:{10_000 + i}",
            zone="z",
        )
        for i in range(n)
    ]
    pool.set_backends(backends, 100)
    stream = make_stream(0, 1)

    def choose(call: int) -> object:
        stream.request.body["prompt"] = f"prompt {call % 50}"
        pool.describe_load(1_000, 500)
        if not pool.has_room():
            return None
        choice = pool.choose(stream, 1.0)
        assert choice is not None
        pool.start(stream, choice.replica.id)
        if call % 8:
            pool.end(choice.replica.id, 2.0)
        return choice

    return {"us": measure_us(choose, 400)}


def measure_admission() -> float:
    """Measures one admission decision among five customers, in microseconds."""
    customer = Customer(name="c", tokens=())
    load = Load(
        running=400,
        queued=20,
        capacity=420.0,
        service_s=9.0,
        max_streams=1_000,
        max_queue=500,
    )
    weights = {name: 1.0 for name in "abcde"}
    usage = Usage(running=80, queued=4, bucket=10.0, filled_at=1.0)
    return measure_us(
        lambda _n: decide_admission(
            customer=customer,
            usage=usage,
            weights=weights,
            load=load,
            patience_s=1.3,
            now=2.0,
        )
    )


def make_members(n: int) -> list[Member]:
    """Makes the members of a region."""
    return [
        Member(
            id=f"daemon-{i}",
            zone=f"zone-{i % 3}",
            http=f"10.0.{i // 250}.{i % 250}:7001",
            peers=f"10.0.{i // 250}.{i % 250}:7101",
            incarnation=1_700_000_000_000 + i,
        )
        for i in range(n)
    ]


def measure_membership(n: int) -> dict[str, float]:
    """Measures a periodic step and an update from a peer among `n` members."""
    rules = Rules(
        probe_interval_s=1.0,
        probe_timeout_s=0.4,
        suspicion_s=3.0,
        tombstone_s=600.0,
        degree=6,
    )
    members = make_members(n)
    table, _ = merge_members(make_table(members[0], 0.0), members, 0.0, rules)
    updates = [
        Member(
            id=m.id,
            zone=m.zone,
            http=m.http,
            peers=m.peers,
            incarnation=m.incarnation + 1,
        )
        for m in members[1:]
    ]

    def make_state() -> object:
        return merge_members(make_table(members[0], 0.0), make_members(n), 0.0, rules)

    return {
        "tick_us": measure_us(lambda k: advance(table, 100.0 + k, rules), 300),
        "news_us": measure_us(
            lambda k: merge_members(table, [updates[k % len(updates)]], 1.0, rules), 300
        ),
        "bytes_a_member": measure_bytes(make_state, n),
    }


def measure_ledger() -> dict[str, float]:
    """Measures one decision of the ledger and the memory of one remembered key."""
    record = Record(
        state=KeyState.DONE,
        time=1.0,
        request="dd-1.8f2c.5f0c",
        holder="dd-1",
        digest="d",
        outcome=Outcome(status=201, headers=(), body=b"{}"),
    )

    def decide(_: int) -> Verdict:
        return decide_intent(
            record,
            request="other",
            digest="d",
            issued_at=None,
            now=2.0,
            retention_s=3_600.0,
            holder_alive=True,
        )

    def make_index() -> object:
        return {
            f"deployment/customer/service/key-{i:012d}": Record(
                state=KeyState.DONE,
                time=float(i),
                request=f"dd-1.8f2c0000.{i:032x}",
                holder="dd-1",
                digest=f"{i:032x}",
                outcome=Outcome(
                    status=201,
                    headers=(("Content-Type", "application/json"),),
                    body=b"%48d" % i,
                ),
            )
            for i in range(2_000)
        }

    return {"us": measure_us(decide), "bytes_a_key": measure_bytes(make_index, 2_000)}


def make_stream(n: int, n_tokens: int) -> Stream:
    """Makes an open stream that has received `n_tokens` tokens of its answer."""
    request = StreamRequest(
        id=f"dd-1.8f2c0000.{n:016x}",
        deployment="d",
        customer="c",
        weight=1.0,
        priority=5,
        chat=False,
        stream=True,
        body={"model": "m", "prompt": f"{n:02000d}", "max_tokens": n_tokens},
        patience_s=1.3,
        deadline_s=60.0,
    )
    stream = Stream(request=request, accepted_at=0.0, deadline=60.0, start_by=1.3)
    for _ in range(n_tokens):
        stream.add(" word")
    return stream


def measure_streams() -> dict[str, float]:
    """Measures the memory of a stream's state, by answer length."""
    bytes_by_tokens = {
        n_tokens: measure_bytes(
            lambda n_tokens=n_tokens: [make_stream(i, n_tokens) for i in range(300)],  # type: ignore[misc]
            300,
        )
        for n_tokens in (0, ANSWER_TOKENS, 4 * ANSWER_TOKENS)
    }
    per_token = (bytes_by_tokens[4 * ANSWER_TOKENS] - bytes_by_tokens[0]) / (
        4 * ANSWER_TOKENS
    )
    return {
        "bytes_a_stream_with_2000_byte_prompt": bytes_by_tokens[0],
        "bytes_a_token": per_token,
        f"bytes_at_{ANSWER_TOKENS}_tokens": bytes_by_tokens[ANSWER_TOKENS],
    }


def run_decisions(_seed: int, _minutes: float) -> Result:
    """Runs all measurements; passes if a pool step is within `ROUTING_BOUND_US`."""
    routing = {n: measure_routing(n) for n in REPLICA_SIZES}
    figures: dict[str, Any] = {
        "routing_by_replicas": routing,
        "pool_step_by_replicas": {n: measure_pool(n) for n in REPLICA_SIZES},
        "admission_us": measure_admission(),
        "membership_by_members": {n: measure_membership(n) for n in MEMBER_SIZES},
        "ledger": measure_ledger(),
        "streams": measure_streams(),
    }
    steps = figures["pool_step_by_replicas"]
    return Result(figures=figures, passed=steps[1_111]["us"] <= ROUTING_BOUND_US)
