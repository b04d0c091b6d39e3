"""All settings of a daemon, with units and defaults.

A settings file is YAML. `load_settings` converts it to frozen msgspec structs.
msgspec rejects unknown keys, wrong types and values out of range, and its message
gives the path of the key. docs/settings.md lists every key; a test compares the page
with this module. What operators change while the system runs is defined in
`configuration`.
"""

from pathlib import Path
from typing import Annotated, Final

import msgspec
import yaml
from msgspec import Meta, Struct

from .endpoints import split_endpoint
from .errors import SettingsError

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Endpoint = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^/ ]+$")]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1_024, le=1 << 30)]
Z85Key = Annotated[str, Meta(min_length=40, max_length=40)]

# Four compaction intervals, so that a compaction rewrites the entries of open work
# before they are old enough to be dropped.
MIN_RETENTION_S: Final = 1_200.0


class DaemonSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity of this daemon; its address and zone come from the settings alone."""

    id: Name
    region: Name
    zone: Name
    vm: str = ""
    deployments: Annotated[tuple[Name, ...], Meta(min_length=1)]


class ListenSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Listening addresses, as IP number and port, and limits of the HTTP server."""

    http: Endpoint
    peers: Endpoint
    tunnels: Endpoint | None = None
    threads: Count = 16
    max_body_bytes: Bytes = 1 << 20
    read_timeout_s: Seconds = 10.0
    tls_certificate: str = ""
    tls_key: str = ""


class PlatformSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services, time-outs and polling."""

    objects: Url
    cloud: Url
    weights: Url
    timeout_s: Seconds = 2.0
    watchers_per_zone: Count = 2
    vm_poll_s: Seconds = 1.0


class RelaySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits and time-outs of streams, and retention of their answers."""

    max_streams: Count = 1_000
    max_queue: Count = 500
    caller_buffer_bytes: Bytes = 65_536
    connect_timeout_s: Seconds = 1.0
    stall_timeout_s: Seconds = 15.0
    orphan_grace_s: Seconds = 30.0
    max_orphans: Count = 100
    retention_s: Seconds = 120.0
    retained_bytes: Bytes = 8 << 20
    default_deadline_s: Seconds = 60.0
    max_attempts: Count = 4
    max_tokens: Count = 16_384
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1


class LedgerSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Shards, leases and journal of the calls that run at most once."""

    n_shards: Count = 8
    lease_s: Seconds = 10.0
    segment_bytes: Bytes = 65_536
    writes_per_s: Annotated[float, Meta(gt=0, le=1_000)] = 10.0
    write_burst: Count = 10
    max_answer_bytes: Annotated[int, Meta(ge=0, le=65_536)] = 4_096
    retention_s: Seconds = 3_600.0
    intent_timeout_s: Seconds = 3.0
    call_timeout_s: Seconds = 10.0


class PeerSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Membership and gossip between daemons."""

    seeds: tuple[Endpoint, ...] = ()
    probe_interval_s: Seconds = 1.0
    probe_timeout_s: Seconds = 0.4
    suspicion_s: Seconds = 3.0
    degree: Annotated[int, Meta(ge=2, le=32)] = 6
    sync_interval_s: Seconds = 10.0
    tombstone_s: Seconds = 600.0
    public_key: Z85Key | None = None
    secret_key: Z85Key | None = None
    accepted_keys: tuple[Z85Key, ...] = ()


class DrainSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Shutdown: how long callers cache addresses and how long streams may finish."""

    address_ttl_s: Seconds = 5.0
    planned_s: Seconds = 120.0
    handover_timeout_s: Seconds = 1.0


class RecordingSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Decision records for `berylpost replay`; disabled when `path` is empty."""

    path: str = ""
    max_bytes: Bytes = 16 << 20


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Content of one daemon's settings file."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    relay: RelaySettings = RelaySettings()
    ledger: LedgerSettings = LedgerSettings()
    peers: PeerSettings = PeerSettings()
    drain: DrainSettings = DrainSettings()
    recording: RecordingSettings = RecordingSettings()
    plugins: tuple[Name, ...] = ()
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    fatal_invariants: bool = False


SECTIONS: Final[dict[str, type[Struct]]] = {
    "daemon": DaemonSettings,
    "listen": ListenSettings,
    "platform": PlatformSettings,
    "relay": RelaySettings,
    "ledger": LedgerSettings,
    "peers": PeerSettings,
    "drain": DrainSettings,
    "recording": RecordingSettings,
}


def load_settings(path: Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: the YAML file.

    Returns:
        The settings.

    Raises:
        SettingsError: the file cannot be read or is not valid; the message names
            the file, the path of the key and the accepted form.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Validates settings given as YAML text; see `load_settings`."""
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f"{source}: invalid YAML: {error}") from error
    try:
        settings = msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {error}") from error
    problem = _find_problem(settings)
    if problem:
        raise SettingsError(f"{source}: {problem}")
    return settings


def _find_problem(settings: Settings) -> str:
    """Describes the first violated rule that types cannot express; empty if none."""
    endpoints = {
        "$.listen.http": settings.listen.http,
        "$.listen.peers": settings.listen.peers,
        **({"$.listen.tunnels": t} if (t := settings.listen.tunnels) else {}),
        **{f"$.peers.seeds[{i}]": s for i, s in enumerate(settings.peers.seeds)},
    }
    for key_path, endpoint in endpoints.items():
        try:
            split_endpoint(endpoint)
        except ValueError as error:
            return f"{error} - at `{key_path}`, accepted: IP-NUMBER:PORT"
    peers = settings.peers
    if (peers.public_key is None) != (peers.secret_key is None):
        return "`public_key` and `secret_key` must be set together - at `$.peers`"
    listen = settings.listen
    if bool(listen.tls_certificate) != bool(listen.tls_key):
        return "`tls_certificate` and `tls_key` must be set together - at `$.listen`"
    if peers.probe_timeout_s >= peers.probe_interval_s:
        return "must be below `probe_interval_s` - at `$.peers.probe_timeout_s`"
    if settings.ledger.retention_s < MIN_RETENTION_S:
        return f"must be at least {MIN_RETENTION_S} - at `$.ledger.retention_s`"
    return ""
