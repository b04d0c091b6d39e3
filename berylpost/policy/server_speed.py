"""Server speed: learns from answers how fast a server works and predicts its next one.

The policy is designed for engines whose speeds differ by a factor of two for good, and
for plain servers on machines where a neighbour makes work take 2.5 times as long for
fractions of a second, 15% of the time. 69 daemons see few answers of each server each,
and most of what they know of it is a gossip round old. What a server does usually is
therefore a median of many answers, what it does now is its newest figure, and that
figure loses its weight within a second.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final

NORMAL_PERCENT: Final = 100.0  # figure of a machine on which work takes its usual time
# Age at which a figure counts as missing: the specification's.
FIGURE_TTL_S: Final = 1.0
# Mean time for which a figure stays true: the specification's neighbour changes every
# 600 ms.
FIGURE_CHANGE_S: Final = 0.6
# Samples that a median is taken of: at 15% of slow answers, more than half of 15 are
# slow in one case of a thousand.
N_SAMPLES: Final = 15
MIN_SAMPLES: Final = 3  # the median of three ignores one outlier
# Prompts with fewer tokens to read say more about the engine's step, 5 ms, than about
# its reading, 51 tokens/ms.
MIN_TOKENS: Final = 2_000.0
# Percentile of the rates that counts as the server's own: most answers of a busy server
# waited for requests that this daemon does not know of, and a quarter may be too fast
# because the engine had more of the prompt in its cache than this daemon knew.
FAST_SHARE: Final = 0.75
# Prompts ahead of which it is unknown how much is read are counted half, and samples
# with more of them than the prompt's own tokens say too little.
AHEAD_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerSpeed:
    """Predicted speed of a server for the next request.

    Attributes:
        tokens_per_s: prompt tokens that an engine reads per second.
        work_s: time that a plain server takes for one request.
    """

    tokens_per_s: float
    work_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """A server's own statement how long work takes on its machine.

    Attributes:
        percent: time that work takes; 100 is normal.
        at: boot-time clock when it was stated.
    """

    percent: float
    at: float


def measure_rate(
    *, n_tokens: float, n_ahead: float, first_s: float, percent: float
) -> float | None:
    """Measures the tokens per second that an engine reads when its figure is normal.

    Args:
        n_tokens: prompt tokens that the engine had to read for the request.
        n_ahead: tokens sent to it before and not known to be read.
        first_s: time from sending the request to its first token.
        percent: the engine's figure at the time.

    Returns:
        The rate, or None if the answer says too little about it.
    """
    if n_tokens < MIN_TOKENS or n_ahead > n_tokens or first_s <= 0:
        return None
    n_read = n_tokens + AHEAD_SHARE * n_ahead
    return n_read / first_s * percent / NORMAL_PERCENT


def measure_work(*, answer_s: float, percent: float) -> float:
    """Measures the time of a plain request on a server whose figure is normal."""
    return answer_s * NORMAL_PERCENT / percent


def find_typical(samples: Sequence[float], default: float) -> float:
    """Returns the median of a server's samples, or the default if there are too few."""
    return median(samples) if len(samples) >= MIN_SAMPLES else default


def find_fast(samples: Sequence[float], default: float, *, share: float) -> float:
    """Returns a percentile of a server's samples, or the default if there are too few.

    Args:
        samples: rates or times.
        default: value of a server with too few samples.
        share: `FAST_SHARE` for rates, the rest of 1 for times.
    """
    if len(samples) < MIN_SAMPLES:
        return default
    return sorted(samples)[round(share * (len(samples) - 1))]


def find_service_typical(values: Iterable[float], default: float) -> float:
    """Returns the median of a service's servers, or the default if none is known."""
    known = list(values)
    return median(known) if known else default


def predict_percent(figure: Figure | None, *, usual: float, now: float) -> float:
    """Predicts the figure of a server for a request that is sent now.

    Args:
        figure: its newest known figure, if any.
        usual: its usual figure, which holds if the newest one is too old.
        now: boot-time clock.
    """
    if figure is None or now - figure.at >= FIGURE_TTL_S:
        return usual
    weight = math.exp(-max(0.0, now - figure.at) / FIGURE_CHANGE_S)
    return usual + weight * (figure.percent - usual)
