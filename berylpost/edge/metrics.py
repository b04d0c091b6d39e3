"""Metrics of the entry daemon in Prometheus' text format.

They are plain numbers, since importing prometheus_client would take several megabytes
of memory, which is priced on the small VMs that run the daemon.
"""

from bisect import bisect_left
from collections.abc import Mapping
from typing import Final

from .model import Route

BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.3, 2.0, 5.0, 15.0)

_request_counts: dict[tuple[str, str], int] = {}
_first_byte_counts: dict[str, list[int]] = {}
_first_byte_sums: dict[str, float] = {}


def observe_request(outcome: str, route: Route, first_s: float, total_s: float) -> None:
    """Records a finished request.

    Args:
        outcome: how the request ended.
        route: the request's route.
        first_s: seconds to the first byte of the answer; negative if there was none.
        total_s: seconds in total; not recorded.
    """
    key = (outcome, route.kind.value)
    _request_counts[key] = _request_counts.get(key, 0) + 1
    if first_s < 0:
        return
    counts = _first_byte_counts.setdefault(route.kind.value, [0] * (len(BUCKETS_S) + 1))
    counts[bisect_left(BUCKETS_S, first_s)] += 1
    _first_byte_sums[route.kind.value] = (
        _first_byte_sums.get(route.kind.value, 0.0) + first_s
    )


def render_metrics(gauges: Mapping[str, float], counters: Mapping[str, float]) -> bytes:
    """Renders all metrics.

    Args:
        gauges: current values by name.
        counters: values that only increase, by name.
    """
    lines = ["# TYPE berylpost_edge_requests counter"]
    for (outcome, kind), n_requests in sorted(_request_counts.items()):
        labels = f'outcome="{outcome}",kind="{kind}"'
        lines.append(f"berylpost_edge_requests{{{labels}}} {n_requests}")
    lines.append("# TYPE berylpost_edge_first_byte_seconds histogram")
    for kind, counts in sorted(_first_byte_counts.items()):
        total = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), counts, strict=True):
            total += count
            labels = f'kind="{kind}",le="{bound}"'
            lines.append(
                f"berylpost_edge_first_byte_seconds_bucket{{{labels}}} {total}"
            )
        lines.append(
            f'berylpost_edge_first_byte_seconds_count{{kind="{kind}"}} {total}'
        )
        seconds = f"{_first_byte_sums[kind]:.6f}"
        lines.append(
            f'berylpost_edge_first_byte_seconds_sum{{kind="{kind}"}} {seconds}'
        )
    for kind, figures in (("gauge", gauges), ("counter", counters)):
        for name, value in figures.items():
            full = f"berylpost_edge_{name}"
            lines += [f"# TYPE {full} {kind}", f"{full} {value}"]
    return "\n".join(lines).encode() + b"\n"
