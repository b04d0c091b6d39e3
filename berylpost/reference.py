"""Renders the reference pages from the code: settings, errors, metrics.

`python -m berylpost.reference` writes docs/settings.md, docs/errors.md and
docs/metrics.md. A test compares the committed pages with the rendered ones, so that no
key, kind or metric is missing.
"""

import sys
from pathlib import Path
from typing import Any, Final

import msgspec

from .edge.backend_table import MAX_REPORTED_ID_CHARS, PART_BYTES, PART_SHARE
from .edge.buffer_budget import BUFFER_SHARE, REQUEST_SHARE
from .edge.caller_server import CONTROL_SHARE
from .edge.callers import MAX_PIPELINED
from .edge.entry_budget import ENTRY_BYTES, ENTRY_SHARE, MAX_TEXT_COPIES
from .edge.paced_reader import PACED_SHARE, TURN_S
from .edge.request_account import RequestEnd
from .errors import ERROR_RESPONSES, ErrorKind
from .event_stream import MAX_EVENT_BYTES
from .logs import MAX_VALUE_CHARS
from .metrics import REGISTRY
from .policy.client_limits import (
    CALLER_DESCRIPTOR_SHARE,
    CONNECTION_BYTES,
    CONNECTION_SHARE,
    HEADER_LINE_BYTES,
    LARGE_SHARE,
    LONG_THREAD_SHARE,
    MIN_BYTES_PER_S,
    ORDINARY_LINES,
    OWN_DESCRIPTORS,
    STALL_S,
    START_S,
)
from .settings import SECTIONS, Settings

DOCS_DIR: Final = Path(__file__).parent.parent / "docs"

REQUEST_ENDS: Final[dict[RequestEnd, str]] = {
    RequestEnd.ANSWERED: "Those with a complete answer.",
    RequestEnd.CALLER_LEFT: "Those whose caller closed the connection before.",
    RequestEnd.BROKEN_OFF: "Those without a complete answer whose caller had not left.",
    RequestEnd.UNSENT: "Those of whose complete answer a part was dropped.",
    RequestEnd.UNSERVED: "Those that were dropped before they were passed on.",
    RequestEnd.UNFINISHED: "Those that the end of the process left open.",
}

# Unit and meaning of each key. Types and defaults are taken from the code.
SETTING_DESCRIPTIONS: Final[dict[str, str]] = {
    "daemon.id": "unique name of this daemon",
    "daemon.region": "region; daemons of one region know each other",
    "daemon.zone": "availability zone",
    "daemon.vm": "id of its VM at the cloud API; empty: reclaim notices are ignored",
    "daemon.deployments": "deployments it serves",
    "listen.http": "IP-NUMBER:PORT for callers and operators",
    "listen.peers": "IP-NUMBER:PORT for other daemons",
    "listen.tunnels": "address on which other daemons ask for connections to backend "
    "servers, IP-NUMBER:PORT; without it none are passed on or asked for",
    "listen.threads": "threads of the HTTP server; open streams do not occupy one",
    "listen.max_body_bytes": "bytes; larger request bodies are refused",
    "listen.read_timeout_s": "s; a caller that pauses longer in a request is cut off",
    "listen.tls_certificate": "PEM file; empty: plain HTTP",
    "listen.tls_key": "PEM file",
    "platform.objects": "object API, http(s)://HOST:PORT",
    "platform.cloud": "cloud API",
    "platform.weights": "weight store",
    "platform.timeout_s": "s; time-out of one call to the platform",
    "platform.watchers_per_zone": "daemons per zone that watch the platform for all",
    "platform.vm_poll_s": "s; interval at which these daemons read the list of VMs",
    "relay.max_streams": "requests that run or wait on one daemon",
    "relay.max_queue": "requests that wait; divided among customers by weight",
    "relay.caller_buffer_bytes": "bytes buffered for a slow caller",
    "relay.connect_timeout_s": "s; time-out for connecting to a model engine",
    "relay.stall_timeout_s": "s; an attempt ends if its engine is silent for this long",
    "relay.orphan_grace_s": "s; a request without a caller continues for this long",
    "relay.max_orphans": "requests without a caller, at most",
    "relay.retention_s": "s; finished answers can be fetched for this long",
    "relay.retained_bytes": "bytes of finished answers; the oldest are removed first",
    "relay.default_deadline_s": "s; deadline of a request without Prefer: wait",
    "relay.max_attempts": "failed attempts for one request; reclaims do not count",
    "relay.max_tokens": "largest max_tokens that is accepted",
    "relay.retry_ratio": "retries that each request adds to the retry budget",
    "ledger.n_shards": "shards of the region; must be equal on all its daemons",
    "ledger.lease_s": "s; without renewal for this long, an owner loses its shards",
    "ledger.segment_bytes": "bytes at which a journal segment is sealed",
    "ledger.writes_per_s": "sustained journal writes per second of one shard",
    "ledger.write_burst": "journal writes of one shard at once after a pause",
    "ledger.max_answer_bytes": "bytes; larger answers are not kept for repeated calls",
    "ledger.retention_s": "s; keys and results are kept for this long; at least 1200",
    "ledger.intent_timeout_s": "s; time-out for the grant to send a call",
    "ledger.call_timeout_s": "s; time-out of one call to a plain service",
    "peers.seeds": "IP-NUMBER:PORT of daemons to contact first",
    "peers.probe_interval_s": "s; interval between two probes",
    "peers.probe_timeout_s": "s; wait for an answer before others are asked to probe",
    "peers.suspicion_s": "s; wait for a suspect to answer before it is declared dead",
    "peers.degree": "number of neighbours that a daemon probes",
    "peers.sync_interval_s": "s; interval between two comparisons of tables",
    "peers.tombstone_s": "s; members that died or left are remembered for this long",
    "peers.public_key": "CURVE public key of its connections; none: no encryption",
    "peers.secret_key": "secret key of the same pair",
    "peers.accepted_keys": "additional public keys that may connect, for key rotation",
    "drain.address_ttl_s": "s; time to live of addresses that callers cache",
    "drain.planned_s": "s; a planned stop waits at most this long for streams",
    "drain.handover_timeout_s": "s; time-out for the answer of a successor",
    "recording.path": "file for decision records; empty: no recording",
    "recording.max_bytes": "bytes; recording stops when this many are written",
    "plugins": "plug-ins to run; empty: all",
    "log_level": "debug, info, warning or error",
    "fatal_invariants": "a broken invariant also raises an exception in its task",
}


def describe_type(field: msgspec.structs.FieldInfo) -> str:
    """Describes the type and bounds of a key in words."""
    type_info = msgspec.inspect.type_info(field.type)
    return _describe(type_info)


def _describe(type_info: Any) -> str:
    match type_info:
        case msgspec.inspect.BoolType():
            return "true or false"
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            return _describe_number(type_info)
        case msgspec.inspect.StrType():
            return (
                "text" if not type_info.pattern else f"text like `{type_info.pattern}`"
            )
        case msgspec.inspect.VarTupleType():
            return f"list of {_describe(type_info.item_type)}"
        case msgspec.inspect.UnionType():
            return " or ".join(_describe(t) for t in type_info.types)
        case msgspec.inspect.NoneType():
            return "nothing"
    return type(type_info).__name__


def _describe_number(type_info: Any) -> str:
    kind = (
        "whole number" if isinstance(type_info, msgspec.inspect.IntType) else "number"
    )
    bounds = []
    if type_info.ge is not None:
        bounds.append(f"from {type_info.ge:g}")
    if type_info.gt is not None:
        bounds.append(f"above {type_info.gt:g}")
    if type_info.le is not None:
        bounds.append(f"to {type_info.le:g}")
    return " ".join([kind, *bounds])


def list_settings() -> dict[str, msgspec.structs.FieldInfo]:
    """Maps the path of every key of a settings file to its field."""
    fields = {
        f"{section}.{field.name}": field
        for section, struct in SECTIONS.items()
        for field in msgspec.structs.fields(struct)
    }
    for field in msgspec.structs.fields(Settings):
        if field.name not in SECTIONS:
            fields[field.name] = field
    return fields


def _describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    if field.default is msgspec.NODEFAULT:
        return "none"
    if field.default in ("", (), None):
        return "none"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    if isinstance(field.default, float):
        return f"{field.default:g}"
    return str(field.default)


# Limits on what callers make a daemon hold: limit, default, who never reaches it.
CALLER_LIMITS: Final = (
    (
        "memory of all that callers make an entry daemon hold",
        f"{BUFFER_SHARE:g} of `Limits.MemoryMb`, less below 160 MB",
        "any, while requests and answers in progress fit; 500 ordinary requests take "
        "a third",
    ),
    (
        "part of it for requests and connections",
        f"{REQUEST_SHARE:g}",
        "as above; a request of 16,384 header bytes and a body of 4,194,304 fits",
    ),
    (
        "part of that for requests above 64 KiB",
        f"{LARGE_SHARE:g}",
        "three bodies of 4,194,304 bytes at once on 160 MB",
    ),
    (
        "memory counted for a header line beside its text",
        f"{HEADER_LINE_BYTES} bytes",
        "a section of 16,384 bytes takes 1 MB at most",
    ),
    (
        "time without a byte after which a request may lose its place, only when the "
        "memory or the threads are taken",
        f"{STALL_S:g} s",
        "whoever sends a request without pauses",
    ),
    (
        "time that a request may take, only then",
        f"{START_S:g} s and its bytes at {MIN_BYTES_PER_S * 8 / 1e6:g} Mbit/s",
        "whoever sends as fast as the narrowest link of a daemon",
    ),
    (
        "requests parsed behind the one in progress on a connection",
        f"{MAX_PIPELINED}",
        "whoever waits for answers; others are read later",
    ),
    (
        "connections of callers",
        f"{CALLER_DESCRIPTOR_SHARE:g} of the descriptors beside {OWN_DESCRIPTORS}; at "
        f"the entry daemon also {CONNECTION_SHARE:g} of the memory for requests, at "
        f"{CONNECTION_BYTES} bytes each",
        "787 connections with 1,638 descriptors and 160 MB; an idle one makes way",
    ),
    (
        "connections to each control address of an entry daemon",
        f"{CONTROL_SHARE:g} of those of callers",
        "78 connections with 1,638 descriptors; an idle one makes way",
    ),
    (
        "processor time for which a connection is parsed before others have a turn",
        f"{TURN_S * 1_000:g} ms; all that had more take {PACED_SHARE:g} of the time "
        "together",
        "whoever sends bodies and heads in pieces of some size; others are read later",
    ),
    (
        "incomplete event of a stream",
        f"{MAX_EVENT_BYTES} bytes, counted with the answers",
        "servers that end their events",
    ),
    (
        "threads of the own interface that read incomplete requests or long heads",
        f"{LONG_THREAD_SHARE:g} of `listen.threads`",
        f"requests up to 64 KiB that arrive as a whole, of {ORDINARY_LINES} lines",
    ),
)
# What other writers of the store and callers' words may take, and what goes first.
ENTRY_LIMITS: Final = (
    (
        "entries of backend servers",
        f"{ENTRY_SHARE:g} of `Limits.MemoryMb`, {ENTRY_BYTES} bytes each beside "
        f"{MAX_TEXT_COPIES} times their text",
        "those of services without a route, then the largest (`entries_given_up`)",
    ),
    (
        "parts of prompts in engines' KV caches",
        f"{PART_SHARE:g} of `Limits.MemoryMb`, {PART_BYTES} bytes each beside its id",
        "the least recently used of the engine with the most (`parts_given_up`)",
    ),
    (
        "ids of prompt parts in gossip, ids of streams",
        f"{MAX_REPORTED_ID_CHARS} characters",
        "longer ones are not reported, or named by a hash",
    ),
    ("one value in a log line", f"{MAX_VALUE_CHARS} characters", "the rest of it"),
)
# The entry daemon keeps its settings and metrics apart from those of this interface.
ENTRY_SETTINGS: Final = (
    "",
    "What other writers of the store and the words of callers may take in an entry "
    "daemon:",
    "",
    "| limit | default | what goes first |",
    "|---|---|---|",
    *(f"| {' | '.join(row)} |" for row in ENTRY_LIMITS),
    "",
    "The entry daemon reads the platform's settings file. For rollouts it uses:",
    "",
    "| key | meaning | default |",
    "|---|---|---|",
    "| `Contracts` | names; rollouts are carried out if `rollout` is one | none |",
    "| `Bounds.ExposureShare` | share for a version not yet found good | 0.1 |",
    "| `Bounds.ExposureExtra` | requests above that share | 50 |",
    "| `Bounds.RollbackMs` | ms from the 50th bad answer to the last request; "
    "only read, as a daemon without a word stops after 2 s | 5000 |",
)
ENTRY_METRICS: Final = (
    "",
    "The entry daemon has further metrics. Those of prediction errors exist once a",
    "server has stated a fourth figure in its load "
    "([uneven servers](design/uneven-servers.md)),",
    "those of rollouts only where rollouts are ordered:",
    "",
    "| metric | kind | meaning |",
    "|---|---|---|",
    "| `berylpost_edge_first_token_prediction_error_p50_seconds` | gauge | Median "
    "difference of predicted and actual time to first token, last 512 streams. |",
    "| `berylpost_edge_first_token_prediction_error_p95_seconds` | gauge | 95th "
    "percentile of the same. |",
    "| `berylpost_edge_rollouts_undecided` | gauge | Orders that are undecided. |",
    "| `berylpost_edge_rollout_share` | gauge | Largest share of a new version here. |",
    "| `berylpost_edge_rollout_requests` | counter | Requests sent to the versions "
    "of the last orders; begins anew with an order. |",
    "| `berylpost_edge_rollout_bad_answers` | counter | Their bad answers. |",
    "| `berylpost_edge_rollout_statuses` | counter | Statuses written here. |",
    "| `berylpost_edge_bad_entries` | counter | Entries of backend servers that name "
    "no server, each time one is read. |",
    "| `berylpost_edge_entries_given_up` | counter | Entries of backend servers given "
    "up since all together take too much memory. |",
    "| `berylpost_edge_entry_bytes` | gauge | Memory counted for the entries of "
    "backend servers. |",
    "| `berylpost_edge_parts_given_up` | counter | Prompt parts forgotten since all "
    "together take too much memory. |",
    "| `berylpost_edge_part_bytes` | gauge | Memory counted for the prompt parts in "
    "all engines' KV caches. |",
    "| `berylpost_edge_caller_connections_accepted` | counter | Connections that "
    "callers opened. |",
    "| `berylpost_edge_caller_requests_read` | counter | Requests that arrived as a "
    "whole. |",
    "| `berylpost_edge_caller_requests_open` | gauge | Those that have not ended. |",
    *(
        f"| `berylpost_edge_caller_requests_{end}` | counter | {text} |"
        for end, text in REQUEST_ENDS.items()
    ),
    "| `berylpost_edge_caller_closes_unread` | counter | Connections that the daemon "
    "closed while bytes of the caller waited in them. |",
    "| `berylpost_edge_caller_bytes_unread` | counter | Number of these bytes. |",
    "| `berylpost_edge_control_connections_displaced` | counter | Connections to "
    "control addresses closed for new ones. |",
    "| `berylpost_edge_control_connections_rejected` | counter | Connections to "
    "control addresses rejected. |",
)


def render_settings() -> str:
    """Renders docs/settings.md."""
    lines = [
        "# Settings",
        "",
        "A daemon reads one YAML file when it starts. Unknown keys, wrong types and",
        "values out of range are refused with the file, the path and what is accepted;",
        "`berylpost check FILE` validates without starting a daemon. What operators",
        "change while the system runs is the configuration, see operating.md.",
        "",
        "| key | meaning | type | default |",
        "|---|---|---|---|",
    ]
    for path, field in list_settings().items():
        type_text = describe_type(field).replace("|", "\\|")
        cells = [
            f"`{path}`",
            SETTING_DESCRIPTIONS[path],
            type_text,
            _describe_default(field),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    lines += [
        "",
        "## Limits on callers",
        "",
        "Both daemons bound what their callers make them hold. The limits follow from",
        "the memory, descriptors and threads of the process and are no settings. What",
        "exceeds them is rejected with 503 and `Retry-After` as not run, or closed.",
        "",
        "| limit | default | which client never reaches it |",
        "|---|---|---|",
    ]
    lines += [f"| {' | '.join(row)} |" for row in CALLER_LIMITS]
    return "\n".join((*lines, *ENTRY_SETTINGS)) + "\n"


ERROR_ADVICE: Final[dict[ErrorKind, str]] = {
    ErrorKind.BAD_REQUEST: "Correct what `detail` names.",
    ErrorKind.BODY_TOO_LARGE: "Send a smaller body, or raise `listen.max_body_bytes`.",
    ErrorKind.UNAUTHENTICATED: "Send `Authorization: Bearer TOKEN` of a customer.",
    ErrorKind.FORBIDDEN: "Use an operator's token for operators' resources.",
    ErrorKind.NOT_FOUND: "Also returned for a request of another customer.",
    ErrorKind.METHOD_NOT_ALLOWED: "`detail` names the methods that are allowed.",
    ErrorKind.STALE_NUMBER: "Read the configuration and make a new patch.",
    ErrorKind.NUMBER_REQUIRED: 'Send `If-Match: "NUMBER"`.',
    ErrorKind.INVALID_CONFIGURATION: "`faults` lists each fault with its path.",
    ErrorKind.KEY_REUSED: "Use a new key for a new request.",
    ErrorKind.KEY_EXPIRED: "Find out from the service itself whether the request ran.",
    ErrorKind.IN_PROGRESS: "Retry with the same key.",
    ErrorKind.LEAVING: "Use one of `addresses`.",
    ErrorKind.OVERLOADED: "Retry, no sooner than Retry-After.",
    ErrorKind.RATE_LIMITED: "Retry, no sooner than Retry-After.",
    ErrorKind.DEADLINE_UNREACHABLE: "Retry later, or allow more time by Prefer: wait.",
    ErrorKind.NO_BACKEND: "Retry; operators: see `berylpost vms`.",
    ErrorKind.QUARANTINED: "Do not repeat it before Retry-After.",
    ErrorKind.STORE_UNAVAILABLE: "Retry with the same key, no sooner than Retry-After.",
    ErrorKind.BACKEND_FAILED: "Retry if the call may be repeated.",
    ErrorKind.ANSWER_CUT: "The received part is not the whole answer; retry.",
    ErrorKind.OUTCOME_UNKNOWN: "Ask the service; the same key is never sent again.",
    ErrorKind.EXPIRED: "The request ran; its answer is no longer kept.",
    ErrorKind.INTERNAL: "A fault of this program; see the daemon's log.",
}


def render_errors() -> str:
    """Renders docs/errors.md."""
    lines = [
        "# Errors",
        "",
        "Every refusal and failure is a problem document (RFC 9457) with `kind` from",
        "this closed list and `ran`: `not_run` (the request certainly did not run and",
        "may be sent again), `unknown`, or `ran`. If more is known in one case, `ran`",
        "in the document differs from this table and takes precedence.",
        "",
        "| kind | status | ran | meaning | what to do |",
        "|---|---|---|---|---|",
    ]
    for kind, response in ERROR_RESPONSES.items():
        lines.append(
            f"| `{kind}` | {response.status} | {response.ran} | {response.title} "
            f"| {ERROR_ADVICE[kind]} |"
        )
    return "\n".join(lines) + "\n"


def render_metrics() -> str:
    """Renders docs/metrics.md."""
    lines = [
        "# Metrics",
        "",
        "`GET /metrics` in the Prometheus text format. Counters end in `_total`.",
        "",
        "| metric | kind | labels | meaning |",
        "|---|---|---|---|",
    ]
    # The registry has no public interface that lists the metrics with their labels.
    for collector in REGISTRY._collector_to_names:
        name = collector._name  # type: ignore[attr-defined]
        kind = collector._type  # type: ignore[attr-defined]
        labels = ", ".join(collector._labelnames) or "-"  # type: ignore[attr-defined]
        text = collector._documentation  # type: ignore[attr-defined]
        suffix = "_total" if kind == "counter" else ""
        lines.append(f"| `{name}{suffix}` | {kind} | {labels} | {text} |")
    return "\n".join((*lines, *ENTRY_METRICS)) + "\n"


PAGE_RENDERERS: Final = {
    "settings.md": render_settings,
    "errors.md": render_errors,
    "metrics.md": render_metrics,
}


def main() -> int:
    """Writes the reference pages."""
    for name, render in PAGE_RENDERERS.items():
        (DOCS_DIR / name).write_text(render())
    return 0


if __name__ == "__main__":
    sys.exit(main())
