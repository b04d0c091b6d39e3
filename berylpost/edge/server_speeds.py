"""What this daemon knows about the speed of each server, from answers and by gossip.

It covers only services whose servers state how long work takes on their machine;
`policy.server_speed` has the decisions.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Final

from ..policy.placement import (
    ENGINE_MARGIN_S,
    PREFILL_TOKENS_PER_S,
    SERVER_MARGIN_SHARE,
    BackendLoad,
    Pick,
    make_spread_pick,
    pick_lowest,
)
from ..policy.server_speed import (
    FAST_SHARE,
    FIGURE_CHANGE_S,
    FIGURE_TTL_S,
    N_SAMPLES,
    NORMAL_PERCENT,
    Figure,
    ServerSpeed,
    find_fast,
    find_service_typical,
    find_typical,
    measure_rate,
    measure_work,
    predict_percent,
)
from .clock import read_boottime
from .model import Backend, LoadReport

DEFAULT_WORK_S: Final = 0.06  # assumed time of one request to a plain backend server
# Figures within this share of each other are not told apart: a neighbour's work makes
# a difference of 150%.
SAME_SHARE: Final = 0.2
# Figures in one datagram: 20 bytes each, at most 4 KB/s in 100 datagrams a second, of
# the 8 KB/s that a daemon may send.
MAX_REPORTED: Final = 2
# Samples in one datagram: 30 bytes each, at most 3 KB/s.
MAX_REPORTED_SAMPLES: Final = 1
# One of so many samples is reported once a server's speed is known, to follow changes.
SAMPLES_PER_REPORT: Final = 8
MEDIAN_TTL_S: Final = 0.5  # medians of a service change with many answers only
# Longer than any repetition of a sample is under way, shorter than a VM takes to boot;
# the boot-time clock of a daemon whose VM has booted again begins anew.
IMPORT_MEMORY_S: Final = 5.0
N_ERRORS: Final = 512  # prediction errors of which percentiles are taken


# Figure of a server and its age in milliseconds, as sent to other daemons.
FigureRow = tuple[float, float]
# Server, whether it is a rate, tokens per second or microseconds, the server's figure,
# and the sender's clock in milliseconds, which tells new samples from known ones.
SampleRow = tuple[str, bool, float, float, float]
# Time, server, whether it is a rate, the rate or the seconds, and the server's figure.
_Sample = tuple[float, str, bool, float, float]


class _ServerState:
    """What is known of one server.

    Attributes:
        figure: its newest figure, from its own answers or by gossip.
        seen_at: boot-time clock of the newest figure on an answer to this daemon.
        reported: the newest figure that another daemon reported.
        usual_samples: its figures, one for each period of change.
        usual_at: boot-time clock of the newest of these.
        usual: its usual figure.
        rates: prompt tokens per second at a normal figure.
        works: seconds of a plain request at a normal figure.
        rate: its learned rate; 0 while unknown.
        work_s: its learned time of a plain request; 0 while unknown.
        n_samples: number of this daemon's own samples.
    """

    __slots__ = (
        "figure",
        "n_samples",
        "rate",
        "rates",
        "reported",
        "seen_at",
        "service",
        "usual",
        "usual_at",
        "usual_samples",
        "work_s",
        "works",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.figure: Figure | None = None
        self.seen_at = float("-inf")
        self.reported: Figure | None = None
        self.usual = NORMAL_PERCENT
        self.usual_samples: deque[float] = deque(maxlen=N_SAMPLES)
        self.usual_at = float("-inf")
        self.rates: deque[float] = deque(maxlen=N_SAMPLES)
        self.works: deque[float] = deque(maxlen=N_SAMPLES)
        self.rate = 0.0
        self.work_s = 0.0
        self.n_samples = 0

    def add_rate(self, tokens_per_s: float) -> None:
        """Adds a sample of the rate."""
        self.rates.append(tokens_per_s)
        self.rate = find_fast(self.rates, 0.0, share=FAST_SHARE)

    def add_work(self, work_s: float) -> None:
        """Adds a sample of the time of a plain request."""
        self.works.append(work_s)
        self.work_s = find_fast(self.works, 0.0, share=1 - FAST_SHARE)

    def add_usual(self, percent: float, now: float) -> None:
        """Adds a figure as one of its period of change, unless one is recorded."""
        if now - self.usual_at >= FIGURE_CHANGE_S:
            self.usual_at = now
            self.usual_samples.append(percent)
            self.usual = find_typical(self.usual_samples, NORMAL_PERCENT)


class ServerSpeeds:
    """Learned speeds and momentary figures of the servers, by service.

    Args:
        find_service: returns the service of a server; empty for an unknown server.
        random_state: source of the random choices.
        read_clock: returns the seconds of the clock that all times refer to.
    """

    def __init__(
        self,
        *,
        find_service: Callable[[str], str],
        random_state: random.Random,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._find_service = find_service
        self._pick_engine = make_spread_pick(random_state, margin_s=ENGINE_MARGIN_S)
        self._pick_server = make_spread_pick(
            random_state, margin_share=SERVER_MARGIN_SHARE
        )
        self._read_clock = read_clock
        self._servers: dict[str, _ServerState] = {}
        self._services: set[str] = set()
        self._medians: dict[str, tuple[float, ServerSpeed]] = {}
        self._errors: deque[float] = deque(maxlen=N_ERRORS)
        self._samples: deque[_Sample] = deque(maxlen=MAX_REPORTED_SAMPLES)
        # For each daemon its clock at its newest known sample, and when that arrived.
        self._imported: dict[str, tuple[float, float]] = {}

    def is_learned(self, service: str) -> bool:
        """Tells whether servers of a service state how long work takes."""
        return service in self._services

    def find_engine_pick(self, service: str) -> Pick:
        """Returns how one of a service's engines is picked by their costs."""
        return self._pick_engine if self.is_learned(service) else pick_lowest

    def find_server_pick(self, service: str) -> Pick:
        """Returns how one of a service's plain servers is picked by their costs."""
        return self._pick_server if self.is_learned(service) else pick_lowest

    def note_load(self, backend: Backend, load: LoadReport | None) -> None:
        """Records the figure of an answer; a missing one counts as normal."""
        percent = load.work_percent if load is not None else None
        if percent is not None:
            self._services.add(backend.service)
        elif not self.is_learned(backend.service):
            return
        now = self._read_clock()
        state = self._find_state(backend.id, backend.service)
        state.figure = Figure(percent=percent or NORMAL_PERCENT, at=now)
        state.seen_at = now
        state.add_usual(state.figure.percent, now)

    def note_first_token(
        self,
        backend: Backend,
        *,
        n_tokens: float,
        n_ahead: float,
        first_s: float,
        predicted_s: float,
    ) -> float | None:
        """Learns from the time from sending a prompt to its first token.

        Args:
            backend: the engine.
            n_tokens: prompt tokens that it read; 0 if that is unknown.
            n_ahead: tokens that it had to read before, as known when it was chosen.
            first_s: the time.
            predicted_s: the time that was predicted.

        Returns:
            The prediction error in seconds, None if the service is not learned.
        """
        if not self.is_learned(backend.service):
            return None
        state = self._find_state(backend.id, backend.service)
        percent = self._read_percent(state)
        rate = measure_rate(
            n_tokens=n_tokens, n_ahead=n_ahead, first_s=first_s, percent=percent
        )
        if rate is not None:
            state.add_rate(rate)
            sample = (self._read_clock(), backend.id, True, rate, percent)
            self._plan_report(state, len(state.rates), sample)
        error_s = first_s - predicted_s
        self._errors.append(abs(error_s))
        return error_s

    def note_answer(self, backend: Backend, answer_s: float) -> None:
        """Learns from the time of a plain request that did not wait for a slot."""
        if self.is_learned(backend.service):
            state = self._find_state(backend.id, backend.service)
            percent = self._read_percent(state)
            work_s = measure_work(answer_s=answer_s, percent=percent)
            state.add_work(work_s)
            sample = (self._read_clock(), backend.id, False, work_s, percent)
            self._plan_report(state, len(state.works), sample)

    def _plan_report(self, state: _ServerState, n_known: int, sample: _Sample) -> None:
        """Reports a sample to the other daemons: all at first, then some."""
        state.n_samples += 1
        if n_known < N_SAMPLES or not state.n_samples % SAMPLES_PER_REPORT:
            self._samples.append(sample)

    def add_speeds(self, service: str, loads: list[BackendLoad]) -> list[BackendLoad]:
        """Returns the loads with the predicted speeds of the servers.

        Those of a service whose servers do not state how long work takes are returned
        unchanged.
        """
        if not self.is_learned(service):
            return loads
        now = self._read_clock()
        typical = self._find_median(service, now)
        return [
            replace(load, speed=self._predict(load.id, typical, now)) for load in loads
        ]

    def _predict(self, name: str, typical: ServerSpeed, now: float) -> ServerSpeed:
        state = self._servers.get(name)
        if state is None:
            return typical
        percent = predict_percent(state.figure, usual=state.usual, now=now)
        stretch = percent / NORMAL_PERCENT
        rate = state.rate or typical.tokens_per_s
        work_s = state.work_s or typical.work_s
        return ServerSpeed(tokens_per_s=rate / stretch, work_s=work_s * stretch)

    def _find_median(self, service: str, now: float) -> ServerSpeed:
        """Returns the median speed of a service's servers at a normal figure."""
        at, speed = self._medians.get(service, (float("-inf"), None))
        if speed is not None and now - at < MEDIAN_TTL_S:
            return speed
        states = [s for s in self._servers.values() if s.service == service]
        rates = [state.rate for state in states if state.rate]
        works = [state.work_s for state in states if state.work_s]
        speed = ServerSpeed(
            tokens_per_s=find_service_typical(rates, PREFILL_TOKENS_PER_S),
            work_s=find_service_typical(works, DEFAULT_WORK_S),
        )
        self._medians[service] = (now, speed)
        return speed

    def export_state(
        self, report_s: float
    ) -> tuple[dict[str, FigureRow], list[SampleRow]]:
        """Returns figures and samples that other daemons do not know.

        Args:
            report_s: time for which a sample is reported.
        """
        now = self._read_clock()
        figures = self._list_unusual(now)
        samples: list[SampleRow] = [
            (
                name,
                is_rate,
                round(value * (1 if is_rate else 1e6)),
                round(percent),
                round(at * 1_000),
            )
            for at, name, is_rate, value, percent in self._samples
            if now - at <= report_s
        ]
        return figures, samples

    def _list_unusual(self, now: float) -> dict[str, FigureRow]:
        """Returns figures that differ from what the other daemons assume."""
        rows = []
        for name, state in self._servers.items():
            figure = state.figure
            age_s = now - state.seen_at
            if figure is None or figure.at != state.seen_at or age_s >= FIGURE_TTL_S:
                continue
            if not is_same(
                figure.percent, predict_known(state.reported, state.usual, now)
            ):
                rows.append((age_s, name, figure.percent))
        rows.sort()
        return {
            name: (round(percent), round(age_s * 1_000))
            for age_s, name, percent in rows[:MAX_REPORTED]
        }

    def import_state(
        self,
        member: str,
        figures: Mapping[str, FigureRow],
        samples: Iterable[SampleRow],
    ) -> None:
        """Records what another daemon has seen of the servers."""
        now = self._read_clock()
        for name, (percent, age_ms) in figures.items():
            figure = Figure(percent=percent, at=now - max(0, age_ms) / 1_000)
            server = self._find_reported(name, percent)
            if server is None:
                continue
            if server.figure is None or figure.at > server.figure.at:
                server.figure = figure
            if server.reported is None or figure.at > server.reported.at:
                server.reported = figure
        imported_until, _ = self._imported.get(member, (-1.0, now))
        for name, is_rate, value, percent, at_ms in samples:
            server = self._find_reported(name, value, percent)
            if server is None or at_ms <= imported_until:
                continue
            self._imported[member] = at_ms, now
            server.add_usual(percent, now)
            if is_rate:
                server.add_rate(value)
            else:
                server.add_work(value / 1e6)

    def _find_reported(self, name: str, *values: float) -> _ServerState | None:
        """Returns the state of a server of which another daemon reports values."""
        service = self._find_service(name)
        if not service or not all(0 < value < math.inf for value in values):
            return None
        self._services.add(service)
        return self._find_state(name, service)

    def sweep(self, names: Iterable[str]) -> None:
        """Forgets servers that are not among the names, and daemons silent for long."""
        horizon = self._read_clock() - IMPORT_MEMORY_S
        self._imported = {m: v for m, v in self._imported.items() if v[1] >= horizon}
        for name in self._servers.keys() - set(names):
            del self._servers[name]

    def read_errors(self) -> dict[str, float]:
        """Returns percentiles of the prediction error of the time to first token."""
        if not self._errors:
            return {}
        errors = sorted(self._errors)
        return {
            f"first_token_prediction_error_p{share}_seconds": round(
                errors[len(errors) * share // 100], 6
            )
            for share in (50, 95)
        }

    def _find_state(self, name: str, service: str) -> _ServerState:
        state = self._servers.get(name)
        if state is None or state.service != service:
            state = self._servers[name] = _ServerState(service)
        return state

    def _read_percent(self, state: _ServerState) -> float:
        """Returns the figure that held during an answer that has just arrived."""
        return predict_percent(
            state.figure, usual=state.usual, now=min(self._read_clock(), state.seen_at)
        )


def predict_known(reported: Figure | None, usual: float, now: float) -> float:
    """Returns the figure that the other daemons assume for a server."""
    if reported is None or now - reported.at >= FIGURE_TTL_S:
        return usual
    return reported.percent


def is_same(percent: float, other: float) -> bool:
    """Tells whether two figures are about equal."""
    return abs(percent - other) <= SAME_SHARE * other
