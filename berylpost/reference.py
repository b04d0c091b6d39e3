"""Renders the reference pages from the code: settings, errors, metrics.

`python -m berylpost.reference` writes docs/settings.md, docs/errors.md and
docs/metrics.md; a test holds the committed pages against what it renders, so that
no key, kind or metric is without its row.
"""

import sys
from pathlib import Path
from typing import Any, Final

import msgspec

from .errors import ERROR_RESPONSES, ErrorKind
from .metrics import REGISTRY
from .settings import SECTIONS, Settings

DOCS: Final = Path(__file__).parent.parent / "docs"

# One line for each key: unit and meaning. Types and defaults come from the code.
SETTING_NOTES: Final[dict[str, str]] = {
    "daemon.id": "unique name of this daemon",
    "daemon.region": "region; daemons of one region know each other",
    "daemon.zone": "availability zone",
    "daemon.vm": "id of its VM at the cloud API; empty: no notices are heard",
    "daemon.deployments": "deployments it serves",
    "listen.http": "IP-NUMBER:PORT for callers and operators",
    "listen.peers": "IP-NUMBER:PORT for other daemons",
    "listen.threads": "threads of the HTTP server; open streams need none",
    "listen.max_body_bytes": "bytes; larger request bodies are refused",
    "listen.read_timeout_s": "s; a caller silent for longer in a request is cut",
    "listen.tls_certificate": "PEM file; empty: plain HTTP",
    "listen.tls_key": "PEM file",
    "platform.objects": "object API, http(s)://HOST:PORT",
    "platform.cloud": "cloud API",
    "platform.weights": "weight store",
    "platform.timeout_s": "s; for one call to the platform",
    "platform.watchers_per_zone": "daemons a zone that watch the platform for all",
    "platform.vm_poll_s": "s; between two readings of the list of VMs by those",
    "relay.max_streams": "requests that run or wait on one daemon",
    "relay.max_queue": "requests that wait; shared by customers' weights",
    "relay.caller_buffer_bytes": "bytes rendered ahead for a slow caller",
    "relay.connect_timeout_s": "s; to connect to a model engine",
    "relay.stall_timeout_s": "s; a silent engine is given up after",
    "relay.orphan_grace_s": "s; a request without a caller goes on for",
    "relay.max_orphans": "requests without a caller at once",
    "relay.retention_s": "s; finished answers can be fetched for",
    "relay.retained_bytes": "bytes of finished answers; the oldest go first",
    "relay.default_deadline_s": "s; for a request without Prefer: wait",
    "relay.max_attempts": "failed attempts for one request; reclaims do not count",
    "relay.max_tokens": "largest max_tokens that is accepted",
    "relay.retry_ratio": "retries that one request earns",
    "ledger.n_shards": "shards of the region; the same on all its daemons",
    "ledger.lease_s": "s; a silent owner loses its shards after",
    "ledger.segment_bytes": "bytes at which a journal segment is sealed",
    "ledger.writes_per_s": "journal writes a second of one shard, sustained",
    "ledger.write_burst": "journal writes of one shard at once after a rest",
    "ledger.max_answer_bytes": "bytes of an answer kept for repeats",
    "ledger.retention_s": "s; keys and results are remembered for, at least 1200",
    "ledger.intent_timeout_s": "s; to wait for a grant",
    "ledger.call_timeout_s": "s; for one call to a plain service",
    "peers.seeds": "IP-NUMBER:PORT of some daemons to ask first",
    "peers.probe_interval_s": "s; between two probes",
    "peers.probe_timeout_s": "s; after which others are asked to probe",
    "peers.suspicion_s": "s; a suspect that does not answer is dead after",
    "peers.degree": "neighbours that a daemon probes",
    "peers.sync_interval_s": "s; between two comparisons of tables",
    "peers.tombstone_s": "s; dead and left members are remembered for",
    "peers.public_key": "CURVE key it listens and calls with; none: no encryption",
    "peers.secret_key": "its secret half",
    "peers.accepted_keys": "further public keys that may connect, for rotation",
    "drain.address_ttl_s": "s; callers keep addresses for",
    "drain.planned_s": "s; a planned stop waits for streams at the most",
    "drain.handover_timeout_s": "s; a successor must answer within",
    "recording.path": "file for decision records; empty: off",
    "recording.max_bytes": "bytes; recording stops there",
    "plugins": "parts to run; empty: all",
    "log_level": "debug, info, warning or error",
    "fatal_invariants": "a broken invariant ends its task instead of being counted",
}


def describe_type(field: msgspec.structs.FieldInfo) -> str:
    """Describes a key's type and bounds for people."""
    described = msgspec.inspect.type_info(field.type)
    return _describe(described)


def _describe(described: Any) -> str:
    match described:
        case msgspec.inspect.BoolType():
            return "true or false"
        case msgspec.inspect.IntType() | msgspec.inspect.FloatType():
            return _describe_number(described)
        case msgspec.inspect.StrType():
            return (
                "text" if not described.pattern else f"text like `{described.pattern}`"
            )
        case msgspec.inspect.VarTupleType():
            return f"list of {_describe(described.item_type)}"
        case msgspec.inspect.UnionType():
            return " or ".join(_describe(t) for t in described.types)
        case msgspec.inspect.NoneType():
            return "nothing"
    return type(described).__name__


def _describe_number(described: Any) -> str:
    kind = (
        "whole number" if isinstance(described, msgspec.inspect.IntType) else "number"
    )
    bounds = []
    if described.ge is not None:
        bounds.append(f"from {described.ge:g}")
    if described.gt is not None:
        bounds.append(f"above {described.gt:g}")
    if described.le is not None:
        bounds.append(f"to {described.le:g}")
    return " ".join([kind, *bounds])


def list_settings() -> dict[str, msgspec.structs.FieldInfo]:
    """Lists every key of a settings file by its path."""
    found = {
        f"{section}.{field.name}": field
        for section, struct in SECTIONS.items()
        for field in msgspec.structs.fields(struct)
    }
    for field in msgspec.structs.fields(Settings):
        if field.name not in SECTIONS:
            found[field.name] = field
    return found


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


def render_settings() -> str:
    """Renders docs/settings.md."""
    lines = [
        "# Settings",
        "",
        "One YAML file a daemon, read at its start. Unknown keys, wrong types and",
        "values out of range are refused with the file, the path and what is accepted;",
        "`berylpost check FILE` does the same without starting. What operators change",
        "while the system runs is the configuration, see operating.md.",
        "",
        "| key | what | form | default |",
        "|---|---|---|---|",
    ]
    for path, field in list_settings().items():
        form = describe_type(field).replace("|", "\\|")
        cells = [f"`{path}`", SETTING_NOTES[path], form, _describe_default(field)]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


ERROR_NOTES: Final[dict[ErrorKind, str]] = {
    ErrorKind.BAD_REQUEST: "Mend what `detail` names.",
    ErrorKind.BODY_TOO_LARGE: "Send less, or raise `listen.max_body_bytes`.",
    ErrorKind.UNAUTHENTICATED: "Send `Authorization: Bearer TOKEN` of a customer.",
    ErrorKind.FORBIDDEN: "Use an operator's token for operators' resources.",
    ErrorKind.NOT_FOUND: "Also told for another customer's request.",
    ErrorKind.METHOD_NOT_ALLOWED: "`detail` names those that are.",
    ErrorKind.STALE_NUMBER: "Read the configuration, make the patch anew.",
    ErrorKind.NUMBER_REQUIRED: 'Send `If-Match: "NUMBER"`.',
    ErrorKind.INVALID_CONFIGURATION: "`faults` lists each with its path.",
    ErrorKind.KEY_REUSED: "Use a new key for a new request.",
    ErrorKind.KEY_EXPIRED: "Find out by the service itself whether it ran.",
    ErrorKind.IN_PROGRESS: "Ask again with the same key.",
    ErrorKind.LEAVING: "Use one of `addresses`.",
    ErrorKind.OVERLOADED: "Ask again after Retry-After.",
    ErrorKind.RATE_LIMITED: "Ask again after Retry-After.",
    ErrorKind.DEADLINE_UNREACHABLE: "Ask again later, or allow more by Prefer: wait.",
    ErrorKind.NO_BACKEND: "Ask again; operators: see `berylpost vms`.",
    ErrorKind.STORE_UNAVAILABLE: "Ask again with the same key after Retry-After.",
    ErrorKind.BACKEND_FAILED: "Ask again if the call may be repeated.",
    ErrorKind.ANSWER_CUT: "What came is not the whole answer; ask again.",
    ErrorKind.OUTCOME_UNKNOWN: "Ask the service; the same key is never sent again.",
    ErrorKind.EXPIRED: "It ran; the answer is not kept any more.",
    ErrorKind.INTERNAL: "A fault of this program; the daemon's log has it.",
}


def render_errors() -> str:
    """Renders docs/errors.md."""
    lines = [
        "# Errors",
        "",
        "Every refusal and failure is a problem document (RFC 9457) with `kind` from",
        "this closed list and `ran`: `not_run` (it truly did not run and may be sent",
        "again), `unknown`, or `ran`. A case may know more than its kind: `ran` in the",
        "document goes before this table.",
        "",
        "| kind | status | ran | meaning | what to do |",
        "|---|---|---|---|---|",
    ]
    for kind, answer in ERROR_RESPONSES.items():
        lines.append(
            f"| `{kind}` | {answer.status} | {answer.ran} | {answer.title} "
            f"| {ERROR_NOTES[kind]} |"
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
    # The registry has no public way to list what is registered with its labels.
    for collector in REGISTRY._collector_to_names:
        name = collector._name  # type: ignore[attr-defined]
        kind = collector._type  # type: ignore[attr-defined]
        labels = ", ".join(collector._labelnames) or "-"  # type: ignore[attr-defined]
        text = collector._documentation  # type: ignore[attr-defined]
        suffix = "_total" if kind == "counter" else ""
        lines.append(f"| `{name}{suffix}` | {kind} | {labels} | {text} |")
    return "\n".join(lines) + "\n"


PAGES: Final = {
    "settings.md": render_settings,
    "errors.md": render_errors,
    "metrics.md": render_metrics,
}


def main() -> int:
    """Writes the pages."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())
    return 0


if __name__ == "__main__":
    sys.exit(main())
