"""Steps that replay client loads against the decision who loses memory."""

from behave import given, then, when
from behave.runner import Context

from berylpost.policy.client_limits import (
    MIN_BYTES_PER_S,
    Held,
    IdleConnection,
    choose_connection,
    choose_losers,
    cost_request,
    limit_connections,
)

MB = 1 << 20
ORDINARY = 8_192
STEP_S = 0.01
RETURN_S = 0.2  # a caller that lost its place returns after this time


def choose_by_policy(held, n_bytes, n_needed, now):
    return choose_losers(held, asker_bytes=n_bytes, n_needed=n_needed, now=now)


def choose_none(held, n_bytes, n_needed, now):
    """The rule before: whoever asks is rejected."""
    return []


def choose_oldest(held, n_bytes, n_needed, now):
    losers = []
    for one in sorted(held, key=lambda h: h.started_at):
        if n_needed > 0:
            losers.append(one)
            n_needed -= one.n_bytes
    return losers


RULES = {
    "policy": choose_by_policy,
    "reject the new": choose_none,
    "evict the oldest": choose_oldest,
}


class Room:
    """Memory that requests share, and who holds it."""

    def __init__(self, *, n_bytes, choose):
        self.n_bytes = n_bytes
        self.choose = choose
        self.held = {}

    def take(self, key, n_bytes, now, n_expected=0, **fields):
        """Gives room to a request of which `n_bytes` have arrived so far."""
        others = [h for h in self.held.values() if h.key != key]
        n_needed = sum(h.n_bytes for h in others) + n_bytes - self.n_bytes
        if n_needed > 0:
            n_asked = max(n_bytes, n_expected)
            losers = self.choose(others, n_asked, n_needed, now)
            for loser in losers:
                del self.held[loser.key]
            if sum(h.n_bytes for h in losers) < n_needed:
                self.held.pop(key, None)
                return False
        fields = {"started_at": now, "active_at": now, **fields}
        self.held[key] = Held(key=key, n_bytes=n_bytes, **fields)
        return True


@given("{n:d} MB of room")
def step_room(context: Context, n: int) -> None:
    context.n_room = n * MB


@given("{n:d} MB of room and {n_callers:d} callers that {hold}")
def step_room_with_callers(context: Context, n: int, n_callers: int, hold: str) -> None:
    context.n_room = n * MB
    context.n_callers = n_callers
    context.hold = hold


@when('{n:d} ordinary requests ask for room by the rule "{rule}"')
def step_ask(context: Context, n: int, rule: str) -> None:
    room = Room(n_bytes=context.n_room, choose=RULES[rule])
    back_at = dict.fromkeys(range(context.n_callers), 0.0)
    context.n_done = 0
    for step in range(n):
        now = step * STEP_S
        for key, at in back_at.items():
            if key in room.held:
                if context.hold == "send a byte at a time":
                    one = room.held[key]
                    room.take(key, one.n_bytes, now, started_at=one.started_at)
                continue
            if now >= at:
                size = 4 * MB - 1 if key % 2 else MB
                room.take(key, size, now)
                back_at[key] = now + RETURN_S
        if room.take("ordinary", ORDINARY, now):
            context.n_done += 1
            del room.held["ordinary"]


@when(
    "a caller with an upload of {size:d} MB that takes {takes:d} s arrives each second "
    'for {seconds:d} s, by the rule "{rule}"'
)
def step_upload(
    context: Context, size: int, takes: int, seconds: int, rule: str
) -> None:
    room = Room(n_bytes=context.n_room, choose=RULES[rule])
    uploads = {}
    context.n_done = 0
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        if step % round(1 / STEP_S) == 0:
            uploads[step] = now
        for key, began_at in list(uploads.items()):
            n_bytes = min(size * MB, int((now - began_at) / takes * size * MB) + 1)
            is_new = began_at == now
            # Whoever lost its room is rejected.
            kept = (is_new or key in room.held) and room.take(
                key, n_bytes, now, n_expected=size * MB, started_at=began_at
            )
            if not kept or n_bytes == size * MB:
                context.n_done += bool(kept)
                room.held.pop(key, None)
                del uploads[key]


@then("at least {least:d} and at most {most:d} of them get it")
@then("at least {least:d} and at most {most:d} of the uploads end")
def step_check_done(context: Context, least: int, most: int) -> None:
    assert least <= context.n_done <= most, context.n_done


@given("a stalled request, an unread answer, a slow large one and an ordinary one")
def step_holders(context: Context) -> None:
    def hold(key, n_bytes, age_s, silent_s, *, is_answer=False):
        return Held(
            key=key,
            n_bytes=n_bytes,
            started_at=100.0 - age_s,
            active_at=100.0 - silent_s,
            is_answer=is_answer,
        )

    slow_s = 4.0 + MB / MIN_BYTES_PER_S
    context.holders = [
        hold("ordinary", ORDINARY, 0.1, 0.0),
        hold("slow", MB, slow_s, 0.0),
        hold("unread", MB, 2.0, 2.0, is_answer=True),
        hold("stalled", 4 * MB, 5.0, 2.0),
        hold("read", MB, 9.0, 0.1, is_answer=True),
    ]


@when("an ordinary request asks for 1 byte, then for as much as all others hold")
def step_ask_twice(context: Context) -> None:
    context.losers = [
        [h.key for h in choose_losers(context.holders, **request, now=100.0)]
        for request in (
            {"asker_bytes": ORDINARY, "n_needed": 1},
            {"asker_bytes": ORDINARY, "n_needed": 6 * MB},
            {"asker_bytes": ORDINARY, "n_needed": 6 * MB + 1},
        )
    ]


@then("the stalled request loses first, and then all but the ordinary one")
def step_check_losers(context: Context) -> None:
    assert context.losers[:2] == [["stalled"], ["stalled", "slow", "unread"]], (
        context.losers
    )


@then("a request that would need more is rejected and nobody loses")
def step_check_rejected(context: Context) -> None:
    assert context.losers[2] == [], context.losers


@given("idle connections, of which some have served")
def step_idle(context: Context) -> None:
    rows = [("a", 1.0, True), ("b", 3.0, False), ("c", 2.0, False), ("d", 0.5, True)]
    context.idle = [
        IdleConnection(key=key, active_at=at, has_served=served)
        for key, at, served in rows
    ]


@then("the one that has not served and was idle for longest makes way")
def step_check_idle(context: Context) -> None:
    assert choose_connection(context.idle).key == "c"
    assert choose_connection([]) is None


@then("with 1638, 4096 and 10250 descriptors at least half stay for the daemon")
def step_check_descriptors(context: Context) -> None:
    for n_descriptors in (1_638, 4_096, 10_250):
        n = limit_connections(n_descriptors, float("inf"))
        assert 0.4 * n_descriptors < n <= 0.5 * n_descriptors, n
    assert limit_connections(10, 1.0) == 1
    # Some hundred ordinary callers fit into a machine of 160 MB and 1,638 descriptors.
    n_request_bytes = 0.5 * 0.2 * 160e6
    assert limit_connections(1_638, n_request_bytes) >= 700
    assert 500 * cost_request(20, 3_000) < n_request_bytes * 0.5
