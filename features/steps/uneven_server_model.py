"""Replays of many daemons that choose among servers of uneven speed, in virtual time.

Times are seconds. Each daemon knows its own requests at once, those of the others as of
their last gossip round, and the servers' figures from answers and by gossip.
"""

import heapq
import itertools
import random
from collections import deque

from msgspec.msgpack import encode

from berylpost.edge.backend_table import ANSWER_TIME_WEIGHT
from berylpost.edge.model import Backend, BackendState, Endpoint, LoadReport
from berylpost.edge.server_speeds import DEFAULT_WORK_S, ServerSpeeds
from berylpost.policy.placement import (
    BackendLoad,
    Choice,
    choose_engine,
    choose_server,
    pick_lowest,
)

N_DAEMONS = 69
ROUND_S = 0.25
TRANSIT_S = 0.001
NOISE_PERIOD_S = 0.6
NOISE_SHARE = 0.15
NOISE_PERCENT = 250.0
TOKENS_PER_S = 40_000.0  # a chunk of 1,024 tokens at 51.1 tokens/ms and a 5.09 ms step
ENGINE_SPEEDS = (0.55, 1.2, 1.2, 1.2)
# Prompt tokens to read and their weights: the three routes, and one prompt in ten whose
# shared part is not cached.
PROMPTS = ((3_720, 30), (2_890, 30), (1_110, 30), (17_020, 10))


class World:
    """The clock and the events of one replay."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def at(self, time, action):
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


class Server:
    """A server with slots and a queue in order of arrival.

    Attributes:
        n_parallel: requests that it works on at the same time.
        slowness: time that its work takes, as a multiple of the normal one.
        percent: figure that it states; None while it states none.
    """

    def __init__(
        self, world, name, *, slots, n_parallel=0, slowness=1.0, percent=100.0
    ):
        self.world = world
        self.slots = slots
        self.n_parallel = n_parallel or slots
        self.slowness = slowness
        self.percent = percent
        self.backend = Backend(
            id=name,
            service="s",
            address=Endpoint("127.0.0.1", 1),
            zone="a",
            software_version="1",
            slots=slots,
            state=BackendState.READY,
        )
        self._queue = deque()
        self._n_running = 0

    def receive(self, work_s, answer):
        self._queue.append((work_s, answer))
        self._start()

    def _start(self):
        while self._queue and self._n_running < self.n_parallel:
            self._n_running += 1
            work_s, answer = self._queue.popleft()
            end = self.world.now + work_s * self.slowness
            self.world.at(end, lambda answer=answer: self._finish(answer))

    def _finish(self, answer):
        self._n_running -= 1
        n_waiting = len(self._queue)
        self._start()
        answer(LoadReport(self._n_running, n_waiting, self.slots, self.percent))


def make_noise(world, server, random_state, states_figure):
    """Makes a server's work slow for single periods."""

    def change():
        slow = random_state.random() < NOISE_SHARE
        server.slowness = NOISE_PERCENT / 100 if slow else 1.0
        if states_figure(world.now):
            server.percent = 100 * server.slowness
        else:
            server.percent = None
        world.at(world.now + NOISE_PERIOD_S, change)

    world.at(random_state.random() * NOISE_PERIOD_S, change)


class Daemon:
    """One daemon's knowledge of the servers.

    Attributes:
        own: its outstanding requests and pending tokens by server.
        told: the same, as of its last gossip round.
    """

    def __init__(self, world, name, servers, random_state):
        self.name = name
        self.world = world
        self.random = random_state
        self.servers = servers
        self.own = {name: [0, 0.0] for name in servers}
        self.told = {name: (0, 0.0) for name in servers}
        self.mean_answer_s = dict.fromkeys(servers, 0.0)
        self.speeds = ServerSpeeds(
            find_service=lambda _name: "s",
            random_state=random_state,
            read_clock=lambda: world.now,
        )
        self.turn = random_state.randrange(len(servers))

    def view_loads(self, totals):
        known = sorted(filter(None, self.mean_answer_s.values()))
        middle = known[len(known) // 2] if known else 0.0
        loads = []
        for name, server in self.servers.items():
            mean_s = self.mean_answer_s[name]
            factor = mean_s / middle if mean_s and middle else 1.0
            n_own, tokens_own = self.own[name]
            n_told, tokens_told = self.told[name]
            loads.append(
                BackendLoad(
                    id=name,
                    slots=server.slots,
                    n_outstanding=n_own + totals[name][0] - n_told,
                    pending_tokens=tokens_own + totals[name][1] - tokens_told,
                    failure_rate=0.0,
                    slow_factor=min(8.0, max(0.5, factor)),
                    suspect=False,
                    near=True,
                )
            )
        return loads

    def note_answer_time(self, name, answer_s):
        known = self.mean_answer_s[name] or answer_s
        self.mean_answer_s[name] = known + ANSWER_TIME_WEIGHT * (answer_s - known)


def choose_in_turn(daemon, _totals, _uncached):
    """The baseline: each daemon takes one server after the other."""
    daemon.turn = (daemon.turn + 1) % len(daemon.servers)
    return Choice(id=list(daemon.servers)[daemon.turn], queue_s=0.0, prefill_s=0.0)


def make_chooser(*, uses_speeds):
    """Makes the decision as before, or the one with the servers' speeds."""

    def choose(daemon, totals, n_tokens):
        loads = daemon.view_loads(totals)
        pick_engine = pick_server = pick_lowest
        if uses_speeds:
            loads = daemon.speeds.add_speeds("s", loads)
            pick_engine = daemon.speeds.find_engine_pick("s")
            pick_server = daemon.speeds.find_server_pick("s")
        if n_tokens:
            uncached = [n_tokens] * len(loads)
            return choose_engine(loads, uncached, pick=pick_engine)
        return choose_server(
            loads,
            work_s=DEFAULT_WORK_S,
            tie_breaker=daemon.random.randrange(len(loads)),
            pick=pick_server,
        )

    return choose


CHOOSERS = {
    "speeds": make_chooser(uses_speeds=True),
    "before": make_chooser(uses_speeds=False),
    "turns": choose_in_turn,
}


class Replay:
    """One replay of many daemons.

    Attributes:
        warm_up_s: time whose requests are not counted.
        times: time from arrival to the answer, or to the first token.
        errors: prediction errors of the time to the first token.
        metered_s: predicted time to read the prompts, by which a fleet is sized.
        busy_s: time that the servers took for them.
        datagram_bytes: bytes of figures in each datagram.
    """

    def __init__(self, *, seed, choose, n_daemons=N_DAEMONS, warm_up_s=10.0):
        self.warm_up_s = warm_up_s
        self.world = World()
        self.random = random.Random(seed)
        self.choose = choose
        self.n_daemons = n_daemons
        self.servers = {}
        self.times = []
        self.errors = []
        self.metered_s = 0.0
        self.busy_s = 0.0
        self.datagram_bytes = []

    def add_server(self, name, **shape):
        self.servers[name] = Server(self.world, name, **shape)
        return self.servers[name]

    def run(self, *, rate, seconds, draw):
        """Sends requests at a rate; `draw` returns the work and the prompt tokens."""
        world = self.world
        self.daemons = [
            Daemon(world, f"d{n}", self.servers, random.Random(self.random.random()))
            for n in range(self.n_daemons)
        ]
        self.totals = {name: [0, 0.0] for name in self.servers}
        for daemon in self.daemons:
            world.at(self.random.random() * ROUND_S, lambda d=daemon: self.gossip(d))
        time = 0.0
        while time < seconds:
            time += self.random.expovariate(rate)
            work_s, n_tokens = draw(self.random)
            daemon = self.random.choice(self.daemons)
            world.at(
                time,
                lambda d=daemon, w=work_s, n=n_tokens: self.send(d, w, n),
            )
        world.run(seconds + 5.0)
        return self

    def gossip(self, daemon):
        for name, own in daemon.own.items():
            told = daemon.told[name]
            self.totals[name][0] += own[0] - told[0]
            self.totals[name][1] += own[1] - told[1]
            daemon.told[name] = tuple(own)
        figures, samples = daemon.speeds.export_state(ROUND_S)
        has_news = bool(figures or samples)
        self.datagram_bytes.append(len(encode((figures, samples))) if has_news else 0)
        for other in self.daemons if has_news else ():
            if other is not daemon:
                other.speeds.import_state(daemon.name, figures, samples)
        self.world.at(self.world.now + ROUND_S, lambda: self.gossip(daemon))

    def send(self, daemon, work_s, n_tokens):
        sent_at = self.world.now
        choice = self.choose(daemon, self.totals, n_tokens)
        name = choice.id
        server = self.servers[name]
        own = daemon.own[name]
        own[0] += 1
        own[1] += n_tokens
        if sent_at >= self.warm_up_s:
            self.metered_s += choice.prefill_s
            self.busy_s += work_s * server.slowness

        def answer(load):
            now = self.world.now + TRANSIT_S
            own[0] -= 1
            own[1] -= n_tokens
            elapsed_s = now - sent_at
            backend = server.backend
            daemon.speeds.note_load(backend, load)
            if n_tokens:
                daemon.speeds.note_first_token(
                    backend,
                    n_tokens=n_tokens,
                    n_ahead=choice.n_ahead,
                    first_s=elapsed_s,
                    predicted_s=choice.wait_s,
                )
            elif load.waiting == 0:
                daemon.speeds.note_answer(backend, elapsed_s)
                daemon.note_answer_time(name, elapsed_s)
            if sent_at >= self.warm_up_s:
                self.times.append(elapsed_s)
                self.errors.append(abs(elapsed_s - choice.wait_s))

        self.world.at(sent_at + TRANSIT_S, lambda: server.receive(work_s, answer))


def find_percentile(values, share):
    """Returns a percentile of some values."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def replay_plain(
    *, seed, choose, rate, seconds=40.0, figures_end=float("inf"), **shape
):
    """Replays plain requests to four servers with a noisy neighbour."""
    replay = Replay(seed=seed, choose=choose, **shape)
    for number in range(4):
        percent = 100.0 if figures_end > 0 else None
        server = replay.add_server(f"p{number}", slots=6, percent=percent)
        make_noise(
            replay.world,
            server,
            random.Random(seed * 10 + number),
            lambda now: now < figures_end,
        )
    return replay.run(
        rate=rate, seconds=seconds, draw=lambda rng: (rng.uniform(0.04, 0.08), 0)
    )


def replay_engines(
    *,
    seed,
    choose,
    share,
    speed_in_figure=True,
    seconds=25.0,
    n_engines=35,
    speeds=ENGINE_SPEEDS,
    **shape,
):
    """Replays prompts to engines of uneven speed at a share of what they can read."""
    replay = Replay(seed=seed, choose=choose, **shape)
    capacity = 0.0
    for number in range(n_engines):
        speed = speeds[number % len(speeds)]
        capacity += speed
        replay.add_server(
            f"e{number}",
            slots=16,
            n_parallel=1,  # prompts are read one after the other
            slowness=1 / speed,
            percent=100 / speed if speed_in_figure else 100.0,
        )
    tokens = [n for n, _ in PROMPTS]
    weights = [weight for _, weight in PROMPTS]
    mean = sum(n * w for n, w in PROMPTS) / sum(weights)

    def draw(rng):
        n_tokens = rng.choices(tokens, weights)[0]
        return n_tokens / TOKENS_PER_S, n_tokens

    rate = share * capacity * TOKENS_PER_S / mean
    return replay.run(rate=rate, seconds=seconds, draw=draw)
