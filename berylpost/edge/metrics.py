"""Metrics of the entry daemon in Prometheus' text format.

Kept as plain numbers: importing prometheus_client costs a small VM's daemon several
megabytes, which are priced there.
"""

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

from .model import Route

if TYPE_CHECKING:
    from .daemon import EdgeDaemon

BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.3, 2.0, 5.0, 15.0)

_outcomes: dict[tuple[str, str], int] = {}
_first: dict[str, list[int]] = {}
_sums: dict[str, float] = {}


def observe_request(outcome: str, route: Route, first_s: float, total_s: float) -> None:
    """Counts one request that ended; times in seconds, first below 0 for none."""
    key = (outcome, route.kind.value)
    _outcomes[key] = _outcomes.get(key, 0) + 1
    if first_s < 0:
        return
    counts = _first.setdefault(route.kind.value, [0] * (len(BUCKETS_S) + 1))
    counts[bisect_left(BUCKETS_S, first_s)] += 1
    _sums[route.kind.value] = _sums.get(route.kind.value, 0.0) + first_s


def render_metrics(daemon: "EdgeDaemon") -> bytes:
    """Renders all metrics."""
    lines = ["# TYPE berylpost_edge_requests counter"]
    for (outcome, kind), n_requests in sorted(_outcomes.items()):
        labels = f'outcome="{outcome}",kind="{kind}"'
        lines.append(f"berylpost_edge_requests{{{labels}}} {n_requests}")
    lines.append("# TYPE berylpost_edge_first_byte_seconds histogram")
    for kind, counts in sorted(_first.items()):
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
        seconds = f"{_sums[kind]:.6f}"
        lines.append(
            f'berylpost_edge_first_byte_seconds_sum{{kind="{kind}"}} {seconds}'
        )
    held = daemon.catalogue.configuration
    gauges = {
        "berylpost_edge_members": len(daemon.members.list_alive()) + 1,
        "berylpost_edge_backends": len(daemon.catalogue.backends),
        "berylpost_edge_configuration_number": held.number if held else 0,
        "berylpost_edge_confirmation_age_seconds": round(
            min(1e6, daemon.catalogue.read_confirmation_age()), 3
        ),
        "berylpost_edge_busy_connections": daemon.front.count_busy(),
    }
    counters = {
        "berylpost_edge_store_watches": daemon.watch.n_calls,
        "berylpost_edge_peer_bytes": daemon.members.n_bytes,
        "berylpost_edge_upstream_connections": sum(
            slot.pool.n_opened for slot in daemon.table.slots.values()
        ),
    }
    for kind, figures in (("gauge", gauges), ("counter", counters)):
        for name, value in figures.items():
            lines += [f"# TYPE {name} {kind}", f"{name} {value}"]
    return "\n".join(lines).encode() + b"\n"
