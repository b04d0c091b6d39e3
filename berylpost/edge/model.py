"""The types that the modules of the entry daemon share.

They are plain data, without behaviour beyond look-ups and without names of any wire
format. The adapter in `berylpost.platform` creates them; other modules only read them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

UNLIMITED: Final = 0.0  # quota rate that means no limit


class Endpoint(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Renders `IP:PORT`."""
        return f"{self.ip}:{self.port}"


class RouteKind(StrEnum):
    """How often a route's request may run, and whether its answer is a stream."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Bounds that the platform declares; seconds unless the name says otherwise.

    Attributes:
        lease_s: shortest time between two holders of one duty.
        grace_s: time from SIGTERM to SIGKILL.
        drain_s: minimum time for which a leaving backend server keeps serving.
        revoke_s: age of a configuration's confirmation at which its keys must not be
            trusted.
        address_ttl_s: maximum time to live of a directory answer.
        usage_window_s: length of the window that one usage report covers.
        usage_late_s: time after a window by which its report is due.
        retry_ratio: retries allowed for each request to a service.
        retry_window_s: window over which retries are counted.
        retry_extra: retries allowed beyond the ratio in one window, over all daemons.
        quota_window_s: window over which a customer's quota is counted.
        quota_extra: units above the quota allowed in one window, over all daemons.
        quota_overshoot: share of the quota allowed above it in one window.
        heartbeat_s: time between two writes of a backend server's entry.
        exposure_share: share of a service's requests that a version which is not yet
            found good may get.
        exposure_extra: requests above that share, over all daemons.
        rollback_s: time after the last tolerated bad answer of a version from which on
            no request is sent to it.
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
    heartbeat_s: float = 1.2
    exposure_share: float = 0.1
    exposure_extra: float = 50.0
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """Settings that a daemon reads from its settings file at start.

    Attributes:
        front: address on which callers connect.
        readiness: address on which the platform checks whether this daemon is ready.
        directory: address on which callers ask which daemons to use.
        peer: UDP address for gossip and HTTP address for state, used by other daemons.
        tunnels: address on which other daemons ask for connections to backend servers.
        metrics: address on which metrics are served, None to serve none.
        store: address of the platform's object API.
        cloud: address of the platform's cloud API, None if there are no duties.
        duties: duties that the platform asks for.
        bounds: bounds that the platform declares.
        n_cores: processor cores that the daemon may use, also a part of one.
        memory_bytes: memory that the daemon may use.
        has_rollouts: whether the platform orders rollouts.
    """

    name: str
    ip: str
    zone: str
    region: str
    front: Endpoint
    readiness: Endpoint
    directory: Endpoint
    peer: Endpoint
    tunnels: Endpoint
    metrics: Endpoint | None
    store: Endpoint
    cloud: Endpoint | None
    duties: frozenset[str]
    bounds: Bounds
    n_cores: float = 1.0
    memory_bytes: float = 160e6
    has_rollouts: bool = False


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Routing rule for requests with a given host and path prefix.

    Attributes:
        prefix: path prefix that begins and ends with a slash.
        timeout_s: maximum wait for the final answer.
        objective_s: latency target of the first token or answer.
        max_gap_s: target for the longest pause between events of a stream.
        priority: priority of the requests; 0 is the most urgent.
        shares: services that handle the route's requests.
        max_attempts: maximum number of backend servers that may run one request.
        needs_key: whether callers must present a key.
        can_resume: whether an interrupted stream may continue on another server.
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
    """Capacity of a service's model engines.

    Attributes:
        slots: maximum number of concurrent requests.
        kv_tokens: maximum tokens of running requests and cached prompt parts.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBounds:
    """Limits and prices for ordering a service's servers.

    Attributes:
        n_min: minimum number of servers in each availability zone.
        n_max: maximum number of servers in each availability zone.
        boot_s: time from the order until the server serves.
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
    """A group of equivalent backend servers."""

    name: str
    max_connections: int
    engine: EngineShape | None
    fleet: FleetBounds | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer with its quota.

    Attributes:
        priority: priority that replaces the route's; None to keep the route's.
        counts_tokens: whether the quota counts tokens instead of requests.
        default_units: units charged for a request without token counts.
        rate: units per second over all daemons, `UNLIMITED` for no limit.
        burst: units allowed above the rate.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_units: float
    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on a caller's requests, and timeouts of its connection in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigurationRank(NamedTuple):
    """What orders configurations within one era of the store; zeros for none."""

    number: int
    revision: int


NO_CONFIGURATION: Final = ConfigurationRank(0, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingConfiguration:
    """One numbered configuration.

    Attributes:
        number: rises with each change.
        revision: revision of the object in the store's present era.
    """

    number: int
    revision: int
    routes: Mapping[str, tuple[Route, ...]]  # routes by host, longest prefix first
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
    keys: Mapping[str, str]  # customer name by key
    limits: CallerLimits


class BackendState(StrEnum):
    """Whether a backend server takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Backend:
    """A backend server as described by its entry in the store.

    Attributes:
        id: identifies this incarnation of the server.
        software_version: version of its software; versions may serve side by side.
        slots: maximum number of concurrent requests.
        leaves_in_s: time left after a reclaim notice, None if unknown.
        spot: whether the platform may reclaim it.
        started_ms: start of the incarnation, Unix milliseconds; 0 if not given.
    """

    id: str
    service: str
    address: Endpoint
    zone: str
    software_version: str
    slots: int
    state: BackendState
    spot: bool = False
    leaves_in_s: float | None = None
    started_ms: int = 0


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: str
    n_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Request line and headers of a caller's request, parsed.

    Attributes:
        id: id of the caller's attempt; empty if it sent none.
        deadline_s: how long the caller will wait, None if not given.
        key: bearer key, empty if there is none.
        prompt_tokens: tokens of the prompt; 0 if not given.
        output_tokens: maximum tokens to generate; 0 if not given.
        parts: parts of the prompt, in order.
        last_event_id: event after which a stream is to continue, empty for all events.
        resumed_id: id of the caller's attempt that brought the first event of the
            stream to continue; empty if it names none.
        headers: headers to forward, in order and as sent.
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
    resumed_id: str
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share."""
        return tuple(part.id for part in self.parts[:-1])


class LoadReport(NamedTuple):
    """Load that a backend server reports.

    Attributes:
        work_percent: how long work takes on its machine now, 100 is normal; None if
            the server does not say.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float | None = None
