"""The types that the parts of the entry daemon share.

Plain data: no behaviour beyond look-ups, no names of any wire format. The platform's
adapter makes them, everything else only reads them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

UNLIMITED: Final = 0.0  # a quota rate that means no limit


class Endpoint(NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Renders `IP:PORT`."""
        return f"{self.ip}:{self.port}"


class RouteKind(StrEnum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Bounds that the platform declares; seconds unless the name says otherwise.

    Attributes:
        lease_s: shortest time between two holders of one duty.
        grace_s: from SIGTERM to SIGKILL.
        drain_s: for how long a leaving backend server serves on, at the least.
        revoke_s: age of a configuration at which its keys must not be trusted.
        address_ttl_s: longest time to live of a directory answer.
        usage_window_s: length of one usage report.
        usage_late_s: when a report is due after its window.
        retry_ratio: repeats allowed for each request to a service.
        retry_window_s: window over which repeats are counted.
        retry_extra: repeats allowed beyond the ratio in one window, all daemons.
        quota_window_s: window over which a customer's quota is counted.
        quota_extra: units above quota allowed in one window, all daemons.
        quota_overshoot: share above quota allowed in one window.
    """

    lease_s: float
    grace_s: float
    drain_s: float
    revoke_s: float
    address_ttl_s: float
    usage_window_s: float
    usage_late_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    quota_window_s: float
    quota_extra: float
    quota_overshoot: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """What a daemon learns from its settings file at start.

    Attributes:
        front: where callers connect.
        readiness: where the platform asks whether this daemon is ready.
        directory: where callers ask which daemons to use.
        peer: UDP address of this daemon for the other daemons.
        metrics: where metrics are served, None for nowhere.
        store: the platform's object API.
        cloud: the platform's cloud API, None where there is no duty.
    """

    name: str
    ip: str
    zone: str
    region: str
    front: Endpoint
    readiness: Endpoint
    directory: Endpoint
    peer: Endpoint
    metrics: Endpoint | None
    store: Endpoint
    cloud: Endpoint | None
    duties: frozenset[str]
    bounds: Bounds


class ServiceShare(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests with a host and a path prefix go, and how.

    Attributes:
        prefix: begins and ends with a slash.
        timeout_s: longest wait for the final answer.
        objective_s: first token or answer within this time is on time.
        max_gap_s: longest pause between events of a stream that is on time.
        priority: 0 is the most urgent.
        shares: the services that take its requests.
        max_attempts: backend servers that may run one request.
        needs_key: whether callers must show a key.
        can_resume: whether a broken stream may go on elsewhere.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    max_gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    needs_key: bool
    can_resume: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.can_resume


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """What a service's model engines can hold.

    Attributes:
        slots: requests that run at once.
        kv_tokens: tokens of running requests and cached prompt parts.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBounds:
    """How many servers of a service may be ordered in a zone, and at what price.

    Attributes:
        n_min: fewest in each zone.
        n_max: most in each zone.
        boot_s: from order to serving.
        spot_price: price of a reclaimable server as a share of an on-demand one.
        zone_prices: price of a server-second by availability zone.
    """

    n_min: int
    n_max: int
    boot_s: float
    spot_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of alike backend servers."""

    name: str
    max_connections: int
    engine: EngineShape | None
    fleet: FleetBounds | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer with its quota.

    Attributes:
        priority: goes before the route's, None to keep the route's.
        counts_tokens: whether the quota counts tokens or requests.
        default_units: what a request without token counts weighs.
        rate: units a second over all daemons, `UNLIMITED` for none.
        burst: units above the rate.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_units: float
    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send and how long its connection may idle, seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingConfiguration:
    """One numbered configuration; `revision` is the store's, for comparing age."""

    number: int
    revision: int
    routes: Mapping[str, tuple[Route, ...]]  # by host, longest prefix first
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
    keys: Mapping[str, str]  # key to customer name
    limits: CallerLimits


class BackendState(StrEnum):
    """Whether a backend server takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Backend:
    """A backend server as its entry in the store says.

    Attributes:
        id: of this incarnation.
        slots: requests it runs at once.
        leaves_in_s: time left after a reclaim notice, None when unknown.
        spot: whether it may be reclaimed.
        started_ms: start of the incarnation, Unix milliseconds; 0 when not told.
    """

    id: str
    service: str
    address: Endpoint
    zone: str
    slots: int
    state: BackendState
    spot: bool = False
    leaves_in_s: float | None = None
    started_ms: int = 0


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share."""

    id: str
    n_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """What a caller's request says about itself.

    Attributes:
        id: of the caller's attempt; empty when it sent none.
        deadline_s: how long the caller will wait, None when not told.
        key: bearer key, empty when none.
        prompt_tokens: 0 when not told.
        output_tokens: most tokens to generate; 0 when not told.
        parts: of the prompt, in order.
        last_event_id: the event after which a stream is to go on, empty for all.
        headers: to be passed on, in order, as sent.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    id: str
    deadline_s: float | None
    key: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: str
    headers: tuple[tuple[bytes, bytes], ...]


class LoadReport(NamedTuple):
    """What a backend server says of its load."""

    running: int
    waiting: int
    slots: int
