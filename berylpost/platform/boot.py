"""Decoding of the platform's settings file into the settings of an entry daemon.

The file is JSON, and an environment variable gives its path. Unknown fields are
ignored; the error for a missing field names the path of the field.
"""

import os
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec

from ..edge.model import Bounds, EdgeSettings, Endpoint
from ..errors import SettingsError
from .names import ROLLOUT_CONTRACT, SETTINGS_VARIABLE

# Also set in deploy/system.toml; the usual port of metrics exporters.
METRICS_PORT: Final = 9464
_MS: Final = 1_000.0
_MB: Final = 1e6

_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class _Listen(msgspec.Struct, frozen=True, rename="pascal"):
    front: _Address
    readiness: _Address
    directory: _Address


class _Bounds(msgspec.Struct, frozen=True, rename="pascal"):
    """Bounds, whose defaults are the strictest values of the current deployments."""

    lease_ms: float = 3_000
    grace_s: float = 8
    drain_ms: float = 2_000
    revoke_ms: float = 5_000
    ttl_max_s: float = msgspec.field(default=5, name="ttl_max_s")
    report_window_s: float = 5
    usage_late_s: float = 10
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_extra: float = 50
    quota_window_s: float = 8
    quota_extra: float = 0
    quota_overshoot: float = 0.1
    exposure_share: float = 0.1
    exposure_extra: float = 50
    rollback_ms: float = 5_000


class _Remote(msgspec.Struct, frozen=True, rename="pascal"):
    address: _Address
    duties: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    memory_mb: float = 160  # the least of the current deployments


class _SettingsFile(msgspec.Struct, frozen=True, rename="pascal"):
    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Remote
    port_range: tuple[int, int]
    region: str = ""
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    cloud: _Remote | None = None
    heartbeat_ms: float = 1_200
    contracts: Any = ()


def parse_endpoint(text: str) -> Endpoint:
    """Parses `IP:PORT`.

    Raises:
        ValueError: the text is not of this form.
    """
    ip, _, port = text.rpartition(":")
    if not ip:
        raise ValueError(f"not IP:PORT: {text!r}")
    return Endpoint(ip, int(port))


def load_boot_settings(environment: dict[str, str] | None = None) -> EdgeSettings:
    """Loads the settings file whose path is in the environment.

    Args:
        environment: variables to use; those of the process by default.

    Raises:
        SettingsError: the variable is not set, the file cannot be read, or a field is
            wrong.
    """
    variables: Any = os.environ if environment is None else environment
    path = variables.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    try:
        return decode_boot_settings(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"settings file {path}: {error}") from error


def decode_boot_settings(data: bytes) -> EdgeSettings:
    """Decodes the content of the settings file.

    Raises:
        SettingsError: the content is not JSON, or a field is missing or of the wrong
            type.
    """
    try:
        document = msgspec.json.decode(data, type=_SettingsFile)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings file: {error}") from error
    bounds = document.bounds
    return EdgeSettings(
        name=document.node,
        ip=document.ip,
        zone=document.zone,
        region=document.region,
        front=parse_endpoint(document.listen.front),
        readiness=parse_endpoint(document.listen.readiness),
        directory=parse_endpoint(document.listen.directory),
        peer=Endpoint(document.ip, document.port_range[0]),
        tunnels=Endpoint(document.ip, document.port_range[0] + 1),
        metrics=Endpoint(document.ip, METRICS_PORT),
        store=parse_endpoint(document.platform.address),
        cloud=parse_endpoint(document.cloud.address) if document.cloud else None,
        duties=frozenset(document.cloud.duties if document.cloud else ()),
        bounds=Bounds(
            lease_s=bounds.lease_ms / _MS,
            grace_s=bounds.grace_s,
            drain_s=bounds.drain_ms / _MS,
            revoke_s=bounds.revoke_ms / _MS,
            address_ttl_s=bounds.ttl_max_s,
            usage_window_s=bounds.report_window_s,
            usage_late_s=bounds.usage_late_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.budget_extra,
            quota_window_s=bounds.quota_window_s,
            quota_extra=bounds.quota_extra,
            quota_overshoot=bounds.quota_overshoot,
            heartbeat_s=document.heartbeat_ms / _MS,
            exposure_share=bounds.exposure_share,
            exposure_extra=bounds.exposure_extra,
            rollback_s=bounds.rollback_ms / _MS,
        ),
        n_cores=document.limits.cpu_share * document.limits.cpu_cores,
        memory_bytes=document.limits.memory_mb * _MB,
        has_rollouts=_lists_rollouts(document.contracts),
    )


def _lists_rollouts(contracts: Any) -> bool:
    """Tells whether the platform's contracts, a list of names, include rollouts."""
    return isinstance(contracts, list | dict) and ROLLOUT_CONTRACT in contracts
