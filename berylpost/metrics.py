"""All metrics of the daemon, in one registry.

docs/metrics.md lists them; a test compares the page with this module.
"""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

REGISTRY: Final = CollectorRegistry()

LATENCY_BUCKETS: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5, 10, 30)
GAP_BUCKETS: Final = (0.01, 0.02, 0.03, 0.042, 0.06, 0.1, 0.2, 0.5, 1, 5)


def _counter(name: str, text: str, *labels: str) -> Counter:
    return Counter(name, text, labels, registry=REGISTRY)


def _gauge(name: str, text: str, *labels: str) -> Gauge:
    return Gauge(name, text, labels, registry=REGISTRY)


INVARIANT_FAILURES: Final = _counter(
    "berylpost_invariant_failures", "Broken invariants by name.", "name"
)
REQUESTS: Final = _counter(
    "berylpost_requests", "Requests by customer and outcome.", "customer", "outcome"
)
REFUSALS: Final = _counter("berylpost_refusals", "Refusals by error kind.", "kind")
DISPLACED: Final = _counter(
    "berylpost_callers_displaced",
    "Connections, requests and answers of callers that lost their place to others.",
    "event",
)
ATTEMPTS: Final = _counter(
    "berylpost_attempts", "Attempts sent to backend servers by reason.", "reason"
)
RECOMPUTED_TOKENS: Final = _counter(
    "berylpost_recomputed_tokens", "Tokens computed again after an attempt ended."
)
LATE_ANSWERS: Final = _counter(
    "berylpost_late_answers", "Answers of an older attempt that were dropped."
)
FIRST_TOKEN: Final = Histogram(
    "berylpost_first_token_seconds",
    "Time from acceptance to the first token.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
TOKEN_GAP: Final = Histogram(
    "berylpost_token_gap_seconds",
    "Time between two tokens of one stream; one gap in 16 is observed.",
    buckets=GAP_BUCKETS,
    registry=REGISTRY,
)
OPEN_STREAMS: Final = _gauge("berylpost_open_streams", "Streams this daemon holds.")
QUEUED_STREAMS: Final = _gauge("berylpost_queued_streams", "Streams awaiting a slot.")
MEMBERS: Final = _gauge("berylpost_members", "Known daemons by state.", "state")
PEER_BYTES: Final = _counter(
    "berylpost_peer_bytes", "Bytes between daemons.", "direction"
)
PEER_REFUSALS: Final = _counter(
    "berylpost_peer_refused", "Peer connections or messages refused.", "reason"
)
STORE_CALLS: Final = _counter(
    "berylpost_store_calls",
    "Calls to the object API by kind and outcome.",
    "kind",
    "outcome",
)
CONFIGURATION_NUMBER: Final = _gauge(
    "berylpost_configuration_number", "Configuration in force.", "deployment"
)
LEDGER_BATCH: Final = Histogram(
    "berylpost_ledger_batch_entries",
    "Entries in one journal write.",
    buckets=(1, 2, 5, 10, 20, 50, 100, 200, 500),
    registry=REGISTRY,
)
LEDGER_SHARDS: Final = _gauge("berylpost_ledger_shards", "Shards owned here.")
FLEET_ACTIONS: Final = _counter(
    "berylpost_fleet_actions", "Actions of the fleet planner by kind.", "kind"
)
HANDOVERS: Final = _counter(
    "berylpost_handed_over", "Requests handed to another daemon, by way.", "way"
)
