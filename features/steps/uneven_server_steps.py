"""Steps for servers of uneven speed, most of them in virtual time."""

import asyncio
import random

from behave import given, then, when
from steps.entry_steps import (
    Caller,
    first_daemon,
    make_request_line,
    send_request,
    start_world,
    wait_for,
)
from steps.uneven_server_model import (
    CHOOSERS,
    TOKENS_PER_S,
    find_percentile,
    replay_engines,
    replay_plain,
)

from berylpost.edge.model import Backend, BackendState, Endpoint, LoadReport
from berylpost.edge.server_speeds import ServerSpeeds
from berylpost.platform.headers import parse_load
from berylpost.policy.placement import BackendLoad
from berylpost.policy.server_speed import (
    FAST_SHARE,
    N_SAMPLES,
    NORMAL_PERCENT,
    Figure,
    find_fast,
    measure_rate,
    predict_percent,
)

SEEDS = (1, 2)
SLOW, FAST = 0.55, 1.2
# Metered work follows the time that it takes to read the prompts within this share.
METER_SHARE = 0.1


@then('a server\'s load of "{value}" counts as "{counted}"')
def check_load(context, value, counted):
    load = parse_load(value.encode())
    found = "nothing" if load is None else " ".join(str(figure) for figure in load)
    assert found == counted, found


def learn_rate(speed, rng):
    """Returns the rate learned from answers with noise, queues and cached prompts."""
    samples = []
    while len(samples) < N_SAMPLES:
        n_tokens = rng.choice((2_890, 3_720, 17_020))
        n_read = n_tokens * (0.5 if rng.random() < 0.1 else 1.0)
        first_s = n_read / (TOKENS_PER_S * speed)
        first_s *= 2.5 if rng.random() < 0.15 else 1.0
        first_s += rng.expovariate(10.0) if rng.random() < 0.5 else 0.0
        rate = measure_rate(
            n_tokens=n_tokens, n_ahead=0.0, first_s=first_s, percent=NORMAL_PERCENT
        )
        samples.append(rate)
    return find_fast(samples, 0.0, share=FAST_SHARE)


@then(
    "in {n:d} random histories the learned rates tell the two apart, with 15% of the "
    "answers 2.5 times as slow, half of them queued and a tenth cached"
)
def check_learned(context, n):
    rng = random.Random(1)
    for _ in range(n):
        slow, fast = learn_rate(SLOW, rng), learn_rate(FAST, rng)
        assert slow < fast, (slow, fast)


@then("a figure of {percent} that is {age:g} s old counts as {counted:g}")
def check_figure(context, percent, age, counted):
    figure = None if percent == "missing" else Figure(percent=float(percent), at=5.0)
    found = predict_percent(figure, usual=NORMAL_PERCENT, now=5.0 + age)
    assert round(found) == counted, found


@then(
    "a server without answers gets the rate of the middle one of servers that read "
    "{a:d}, {b:d} and {c:d} tokens a second"
)
def check_unknown_server(context, a, b, c):
    now = 0.0
    speeds = ServerSpeeds(
        find_service=lambda _: "s",
        random_state=random.Random(1),
        read_clock=lambda: now,
    )
    for name, rate in zip("abc", (a, b, c), strict=True):
        backend = Backend(
            id=name,
            service="s",
            address=Endpoint("127.0.0.1", 1),
            zone="a",
            software_version="1",
            slots=16,
            state=BackendState.READY,
        )
        for _ in range(N_SAMPLES):
            now += 1.0
            speeds.note_load(backend, LoadReport(1, 0, 16, NORMAL_PERCENT))
            speeds.note_first_token(
                backend, n_tokens=rate, n_ahead=0.0, first_s=1.0, predicted_s=1.0
            )
    load = BackendLoad(
        id="new",
        slots=16,
        n_outstanding=0,
        pending_tokens=0.0,
        failure_rate=0.0,
        slow_factor=1.0,
        suspect=False,
        near=True,
    )
    (found,) = speeds.add_speeds("s", [load])
    assert found.speed.tokens_per_s == b, found


@then("a reported figure or sample of {value} is ignored")
def check_reported_value(context, value):
    number = float(value)
    speeds = ServerSpeeds(
        find_service=lambda _: "s",
        random_state=random.Random(1),
        read_clock=lambda: 5.0,
    )
    for at_ms in (1e3, 2e3, 3e3):
        samples = [
            ("a", True, 40_000.0, number, at_ms),
            ("a", True, number, 100.0, 9e9),
        ]
        speeds.import_state("d-1", {"a": (number, 0)}, samples)
    assert not speeds.is_learned("s")
    assert not speeds._servers


@then(
    "samples of a daemon count once, and again when its clock has begun anew {later:g} "
    "s later"
)
def check_clock_begun_anew(context, later):
    context.now = 1.0
    context.speeds = speeds = ServerSpeeds(
        find_service=lambda _: "s",
        random_state=random.Random(1),
        read_clock=lambda: context.now,
    )

    def count_after(at_ms):
        speeds.import_state("d-1", {}, [("a", True, 40_000, 100, at_ms)])
        speeds.sweep(["a"])
        return len(speeds._servers["a"].rates)

    assert [count_after(at_ms) for at_ms in (9e6, 9e6, 8e6)] == [1, 1, 1]
    context.now += later
    speeds.sweep(["a"])
    assert [count_after(at_ms) for at_ms in (2e3, 2e3)] == [2, 2]


@then("no clock is kept of a daemon that has been silent for {silence:g} s")
def check_clocks_forgotten(context, silence):
    context.now += silence
    context.speeds.sweep(["a"])
    assert not context.speeds._imported


def replay_all(replay, **options):
    """Replays the load with each decision and several seeds."""
    return {
        name: [replay(seed=seed, choose=choose, **options) for seed in SEEDS]
        for name, choose in CHOOSERS.items()
    }


def find_p95(replays, attribute="times"):
    values = [value for replay in replays for value in getattr(replay, attribute)]
    return find_percentile(values, 0.95)


@when("69 daemons send 4 plain servers of 6 slots {rate:d} requests a second")
def replay_noise(context, rate):
    context.replays = replay_all(replay_plain, rate=rate)


@when(
    '69 daemons send 35 engines that state "{figures}" prompts at {share:g} of their '
    "capacity"
)
def replay_uneven(context, figures, share):
    context.replays = replay_all(
        replay_engines, share=share, speed_in_figure=figures == "their speed"
    )


@when(
    "69 daemons send 4 plain servers of 6 slots {rate:d} requests a second and the "
    "figures end after {end:d} s"
)
def replay_lost_figures(context, rate, end):
    context.replays = replay_all(
        replay_plain, rate=rate, figures_end=float(end), warm_up_s=float(end)
    )


@when("69 daemons send 4 plain servers that state no figure {rate:d} requests a second")
def replay_no_figures(context, rate):
    context.replays = replay_all(replay_plain, rate=rate, figures_end=0.0)


@then("the 95th percentile of the {_} is lower than before and than in turns")
def check_p95(context, _):
    found = {name: find_p95(replays) for name, replays in context.replays.items()}
    print("p95 in seconds:", found)
    assert found["speeds"] < min(found["before"], found["turns"]), found


@then("the prediction error of the first tokens is lower than before")
def check_error(context):
    found = {
        name: find_p95(replays, "errors") for name, replays in context.replays.items()
    }
    assert found["speeds"] < found["before"], found


@then("the 95th percentile of the answers after that is no higher than before")
def check_lost_figures(context):
    found = {name: find_p95(replays) for name, replays in context.replays.items()}
    print("p95 in seconds:", found)
    assert found["speeds"] <= found["before"], found


@then("every answer takes as long as before")
def check_unchanged(context):
    pairs = zip(context.replays["speeds"], context.replays["before"], strict=True)
    for new, old in pairs:
        assert new.times == old.times


@then(
    "the work metered for the same prompts on engines of speed 0.55 is that on engines "
    "of speed 1 divided by 0.55"
)
def check_metered(context):
    choose = CHOOSERS["speeds"]
    metered = {}
    for speed in (SLOW, 1.0):
        replay = replay_engines(
            seed=1, choose=choose, share=0.3 / speed * SLOW, speeds=(speed,)
        )
        metered[speed] = replay.metered_s
    ratio = metered[SLOW] * SLOW / metered[1.0]
    assert abs(ratio - 1) < METER_SHARE, ratio


@given('two entry daemons and servers that state a load of "{load}"')
def start_daemons(context, load):
    start_world(context, n_daemons=2)
    for replica in context.world.replicas:
        replica.load_suffix = load.removeprefix("1,0,8")


@when("the first daemon is sent {n_plain:d} plain requests and {n_prompts:d} prompts")
def send_requests(context, n_plain, n_prompts):
    daemon = first_daemon(context)
    header = "X-Berylpost-Prompt-Prefix: a:300,own:2500"
    for n in range(n_plain):
        line = make_request_line("read")
        answer = context.world.run(send_request(daemon, line, f"p{n}"))
        assert answer.status == 200, answer
    for n in range(n_prompts):
        line = make_request_line("stream")
        sent = send_request(daemon, line, f"s{n}", extra_headers=(header,))
        answer = context.world.run(sent)
        assert answer.status == 200 and answer.complete, answer


@then(
    'the first daemon has learned "{learned}" and shows the prediction error: "{shown}"'
)
def check_daemon(context, learned, shown):
    daemon = first_daemon(context)
    assert daemon.speeds.is_learned("app") == (learned == "yes")
    text = context.world.run(read_metrics(daemon))
    for percentile in ("p50", "p95"):
        name = f"berylpost_edge_first_token_prediction_error_{percentile}_seconds "
        assert (name in text) == (shown == "yes"), text


@then('the other daemon has heard of the speeds: "{heard}"')
def check_exchange(context, heard):
    _, other = context.world.daemons.values()
    if heard == "yes":
        wait_for(2.0, lambda: other.speeds.is_learned("app"))
    else:
        assert not other.speeds.is_learned("app")


async def read_metrics(daemon):
    caller = Caller(*await asyncio.open_connection(*daemon.settings.metrics))
    caller.writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
    answer = await caller.read()
    caller.close()
    return answer.body.decode()
